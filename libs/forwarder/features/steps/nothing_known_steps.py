"""Steps for a data centre whose balancers all restart."""

import itertools

from behave import then, when
from deployments import OTHER, request_all

from lagoontally_standins.packets import Outcome

FLOWS = 8
PAUSE_S = 0.2


@when("all balancers of the other data centre are killed and restarted")
def step_restart_other(context):
    """What they knew is lost; the seed is in the callers' data centre."""
    balancers = context.deployment.balancers.values()
    others = [one for one in balancers if one.settings["data_centre"] == OTHER]
    for balancer in others:
        balancer.kill()
    for balancer in others:
        balancer.start()


@then("flows of its callers are answered within {timeout_s:d} s")
def step_answered(context, timeout_s):
    """Each through one of the restarted balancers."""
    loop, callers = context.deployment.loop, context.deployment.callers[OTHER]
    end_s = loop.now + timeout_s
    while True:
        routes = itertools.cycle(context.deployment.routes)
        flows = [callers.open(next(routes)) for _ in range(FLOWS)]
        request_all(context, flows)
        outcomes = {flow.outcome for flow in flows}
        if outcomes == {Outcome.ANSWERED}:
            return
        assert loop.now < end_s, outcomes
        loop.run_for(PAUSE_S)
