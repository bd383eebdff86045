"""Steps for balancers that find each other."""

from behave import given, then, when
from cluster import Cluster


@given("{count:d} balancers in {data_centres:d} data centres")
def step_cluster(context, count, data_centres):
    """Balancers that start within 300 ms."""
    context.cluster = Cluster(count, data_centres)


@given(
    "{count:d} balancers in {data_centres:d} data centres that lose 20% of datagrams"
)
def step_lossy_cluster(context, count, data_centres):
    """Balancers whose datagrams are lost at times."""
    context.cluster = Cluster(count, data_centres, loss=0.2)


@when("{duration_ms:d} ms pass for the cluster")
def step_run(context, duration_ms):
    """Time passes."""
    context.cluster.run(duration_ms)


@when("a balancer is added")
def step_added(context):
    """It has never run."""
    cluster = context.cluster
    cluster.start(cluster.add(len(cluster.instances)))


@when("a balancer restarts")
def step_restarts(context):
    """The last one, which isn't a seed."""
    cluster = context.cluster
    cluster.start(list(cluster.instances)[-1])


@when("a seed restarts")
def step_seed_restarts(context):
    """It loses its lists."""
    context.cluster.start(context.cluster.seeds[0])


@when("the seeds restart")
def step_seeds_restart(context):
    """They lose their lists at the same time."""
    for seed in context.cluster.seeds:
        context.cluster.start(seed)


@when("the seeds end")
def step_seeds_end(context):
    """No seed answers any more."""
    for seed in context.cluster.seeds:
        context.cluster.stop(seed)


@when("a balancer ends")
def step_ends(context):
    """The last one, which isn't a seed."""
    context.ended = list(context.cluster.instances)[-1]
    context.cluster.stop(context.ended)


@then("every balancer knows all members")
def step_all_known(context):
    """Those of its own data centre."""
    missing = context.cluster.missing()
    assert not missing, (len(missing), missing[:5])


@then("no balancer lists it")
def step_forgotten(context):
    """The members of its data centre have forgotten it."""
    listing = [
        one.host
        for one in context.cluster.running()
        if context.ended in one.membership.members
    ]
    assert not listing, listing


def messages_per_s(cluster, duration_ms):
    """Return the messages per second of each balancer while time passes."""
    before = {one.host: one.sent + one.received for one in cluster.running()}
    cluster.run(duration_ms)
    return {
        one.host: (one.sent + one.received - before[one.host]) * 1_000 / duration_ms
        for one in cluster.running()
    }


@then(
    "each balancer sends and receives at most {most:d} messages a second"
    " in {duration_ms:d} ms"
)
def step_bounded(context, most, duration_ms):
    """In a settled fleet."""
    rates = messages_per_s(context.cluster, duration_ms)
    assert max(rates.values()) <= most, max(rates.values())


@then("a balancer that is no seed sends and receives at most {most:d} message a second")
def step_quiet(context, most):
    """In a settled fleet."""
    rates = messages_per_s(context.cluster, 60_000)
    others = {
        host: rate for host, rate in rates.items() if host not in context.cluster.seeds
    }
    assert max(others.values()) <= most, max(others.values())
