"""Steps for a store that comes back from an older copy."""

from random import Random

from behave import then, when
from deployments import add_route, add_target, open_flows, request_all

LOST_WRITES = 150


@when("the store comes back from a copy, {age_s:d} s old, after {lost}")
def step_restored(context, age_s, lost):
    """What happened since the copy was made is written again by its writers."""
    deployment = context.deployment
    deployment.loop.run_for(age_s)
    context.flows = open_flows(context, 20)
    request_all(context, context.flows)
    if lost == "a target was added":
        add_target(context)
    elif lost == "a route was added":
        add_route(context)
    else:
        context.leaving = context.flows[0].target
        deployment.register(context.leaving, "draining")
        if lost == "a target ended":
            deployment.loop.run_for(3)
            deployment.remove_target(context.leaving)
    for number in range(LOST_WRITES):
        deployment.store.put("other/key", {"number": number})
    deployment.loop.run_for(1.2)
    deployment.restore_store(Random(1), age_s=age_s - 0.5, away_s=0.5)
    deployment.loop.run_for(0.5)


@when("{count:d} other items are written at once")
def step_other_items(context, count):
    """Revisions that the store has given out before are given out again."""
    for number in range(count):
        context.deployment.store.put("other/key", {"number": number})


@when("{duration_s:d} s pass")
def step_pass(context, duration_s):
    """Time passes."""
    context.deployment.loop.run_for(duration_s)


@then("no flow of another target was reset")
def step_no_other_reset(context):
    """A target that has ended may lose its flows."""
    ended = getattr(context, "leaving", None)
    resets = [flow for flow in context.flows if flow.resets and flow.target != ended]
    assert not resets, resets


@when("a target is added")
def step_added(context):
    """Its entry is written to the store."""
    add_target(context)


@then("no flow reaches it in the next {duration_s:d} s")
def step_never(context, duration_s):
    """New flows all the time."""
    end = context.deployment.loop.now + duration_s
    while context.deployment.loop.now < end:
        flows = open_flows(context, 8)
        request_all(context, flows)
        assert context.leaving not in {flow.target for flow in flows}
        context.deployment.loop.run_for(0.05)


@then("every balancer knows the targets and configuration within {timeout_s:d} s")
def step_all_agree(context, timeout_s):
    """Compare keys and states with the store's items."""
    deployment = context.deployment

    def differences():
        return {
            name: (balancer.fetch_targets() or set()) ^ deployment.listed_targets()
            for name, balancer in deployment.balancers.items()
        }

    agreed = deployment.loop.run_until(
        lambda: not any(differences().values()), timeout_s
    )
    assert agreed, differences()
    versions = {
        line["version"]
        for balancer in context.deployment.balancers.values()
        for line in balancer.read_log()
        if line["event"] == "configuration_in_force"
    }
    assert versions, {
        name: balancer.read_log()[:3] for name, balancer in deployment.balancers.items()
    }
    assert max(versions) == context.deployment.published["version"], versions
