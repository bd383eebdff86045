"""Steps for data centres that tell each other their versions."""

from behave import given, then, when
from data_centres import DataCentres

from lagoontally_flows import InForce


@given(
    "{number:d} data centres of {count:d} balancers that have run for "
    "{duration_ms:d} ms"
)
def step_data_centres(context, number, count, duration_ms):
    """Settled data centres."""
    context.sites = DataCentres(number, count)
    context.sites.run(duration_ms)


@when("{duration_ms:d} ms pass for the data centres")
def step_run(context, duration_ms):
    """Time passes."""
    context.sites.run(duration_ms)


@when("a configuration is published")
def step_publish(context):
    """Every data centre's watches return it."""
    context.sites.publish()


@when("a configuration is published that the first data centre's watches lack")
def step_publish_missed(context):
    """Its reader goes on after the change as if it knew it."""
    context.sites.publish(missed=True)


@when("a configuration is published every {pause_ms:d} ms for {duration_ms:d} ms")
def step_publish_often(context, pause_ms, duration_ms):
    """The operator is busy."""
    for _ in range(duration_ms // pause_ms):
        context.sites.publish()
        context.sites.run(pause_ms)
    context.sites.run(3_000)


@when("the last follower reads it all the same")
def step_follower_reads(context):
    """It has just started, for instance."""
    follower = [one for one in context.sites.first() if not one.is_reader][-1]
    version = follower.fleet.store.version
    follower.balancer.version = version
    follower.balancer.store_sync.on_configuration(version, follower.fleet.routes)


@when("the first data centre's reader ignores what it hears")
def step_reader_ignores(context):
    """Its program is older than these messages."""
    for one in context.sites.first():
        one.ignores = one.is_reader


@when("the store stops answering the first data centre")
def step_outage(context):
    """Other data centres reach it."""
    fleet = context.sites.fleets[0]
    fleet.store.unreachable_from = {one.name for one in fleet.balancers}


@when("the store answers the first data centre")
def step_outage_ends(context):
    """Calls succeed again."""
    context.sites.fleets[0].store.unreachable_from = set()


@when("every balancer hears of version {version:d} every 2 s for {duration_s:d} s")
def step_forged_often(context, version, duration_s):
    """Nobody has published it."""
    for _ in range(duration_s // 2):
        for one in context.sites.balancers:
            one.on_message(InForce(version), "10.9.9.9", context.sites.now_ms)
        context.sites.run(2_000)


@when("a follower hears of version {version:d} once")
def step_forged_once(context, version):
    """Anyone may send a datagram."""
    follower = next(one for one in context.sites.first() if not one.is_reader)
    follower.on_message(InForce(version), "10.9.9.9", context.sites.now_ms)


@then("every data centre has the configuration")
def step_all_have(context):
    """No configuration is outdated."""
    old = [
        one.host
        for one in context.sites.balancers
        if one.balancer.version != one.fleet.store.version
    ]
    assert not old, old


@then("every follower has the configuration")
def step_followers_have(context):
    """Only the faulty reader is left."""
    old = [
        one.host
        for one in context.sites.balancers
        if one.balancer.version != one.fleet.store.version and not one.is_reader
    ]
    assert not old, old


@then("the first data centre has read the store again once")
def step_read_once(context):
    """The reader did; nobody else did, here or elsewhere."""
    readings = {one.host: one.readings for one in context.sites.balancers}
    reader = next(one for one in context.sites.first() if one.is_reader)
    assert readings.pop(reader.host) == 1, (reader.readings, readings)
    assert not any(readings.values()), readings


@then("its reader has reported that it was behind once")
def step_reported(context):
    """Operators learn of it, and of nothing else."""
    sites = context.sites
    reports = [one.reports for one in sites.balancers if one.reports]
    assert reports == [[sites.fleets[0].store.version]], reports


@then("nobody has read the store again")
def step_nobody_read(context):
    """Calls are billed."""
    readings = {one.host: one.readings for one in context.sites.balancers}
    assert not any(readings.values()), readings


@then("the balancers of a data centre have read the store again at most {most:d} times")
def step_bounded(context, most):
    """All of them together."""
    sites = context.sites
    sums = [sum(one.readings for one in sites.of(fleet)) for fleet in sites.fleets]
    assert max(sums) <= most, sums


@then("each balancer has reported that it was behind at most once")
def step_reports_bounded(context):
    """Logs are limited."""
    reports = {one.host: one.reports for one in context.sites.balancers}
    assert all(len(versions) <= 1 for versions in reports.values()), reports
