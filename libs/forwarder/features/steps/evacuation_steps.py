"""Steps for data centres that an operator empties, with real processes."""

from behave import given, then, when
from deployments import LOCAL, OTHER, eventually, open_flows, request_all, start

from lagoontally_standins.packets import Outcome

SETTLED_S = 3.0  # each data centre has a reader
EVACUATIONS = "op/evacuate/"


@given("a running deployment that follows the store")
def step_settled(context):
    """Each data centre has a reader."""
    start(context)
    context.deployment.loop.run_for(SETTLED_S)


@when("the callers' data centre is emptied")
def step_emptied(context):
    """The store acknowledges it."""
    context.deployment.evacuate(LOCAL)


@when("both data centres are emptied")
def step_both_emptied(context):
    """No target is left."""
    context.deployment.evacuate(LOCAL)
    context.deployment.evacuate(OTHER)


@when("the callers' data centre is taken back")
def step_taken_back(context):
    """The store acknowledges it."""
    context.deployment.evacuate(LOCAL, requested=False)


@when("the store hides evacuations from the watches of a data centre")
def step_hidden(context):
    """Reads return them, and the other data centre's watches do."""
    deployment = context.deployment
    for name, proxy in deployment.proxies.items():
        if deployment.balancers[name].settings["data_centre"] == LOCAL:
            deployment.store.withheld[proxy.host] = EVACUATIONS


@when("all balancers are killed and restarted")
def step_all_killed(context):
    """None of them remembers anything."""
    deployment = context.deployment
    for balancer in deployment.balancers.values():
        balancer.kill()
    routers = deployment.routers.values()
    assert deployment.loop.run_until(
        lambda: all(all(router.misses.values()) for router in routers), SETTLED_S
    )
    assert deployment.start()


@when("new flows reach only the other data centre within {timeout_s:d} s")
@then("new flows reach only the other data centre within {timeout_s:d} s")
def step_only_other(context, timeout_s):
    """Also all those that come after the first that do."""
    others = _targets(context, OTHER)
    assert eventually(context, lambda found: found <= others, timeout_s)
    for _ in range(4):
        flows = open_flows(context, 8)
        request_all(context, flows)
        assert {flow.outcome for flow in flows} == {Outcome.ANSWERED}, flows
        assert {flow.target for flow in flows} <= others


@then("new flows reach the callers' data centre within {timeout_s:d} s")
def step_local_again(context, timeout_s):
    """Callers are served where they arrive."""
    local = _targets(context, LOCAL)
    assert eventually(context, lambda found: found & local, timeout_s)


@then("new flows are reset within {timeout_s:d} s")
def step_reset(context, timeout_s):
    """At once, not after their deadline."""

    def all_reset(_targets):
        flows = open_flows(context, 8)
        request_all(context, flows)
        return {flow.outcome for flow in flows} == {Outcome.NOT_OPENED}

    assert eventually(context, all_reset, timeout_s)


@then('the logs give "{reason}" as the reason')
def step_counted(context, reason):
    """Operators tell them from other refusals."""
    balancers = context.deployment.balancers.values()
    lines = [line for one in balancers for line in one.read_log()]
    assert any(line.get("reason") == reason for line in lines)


def _targets(context, data_centre):
    """Return the ids of a data centre's targets."""
    deployment = context.deployment
    return {
        identity
        for identity, (index, _) in deployment.targets.items()
        if deployment.data_centres[index] == data_centre
    }
