"""Steps for a paused balancer and for idle periods."""

import itertools

from behave import then, when

from lagoontally_standins.packets import Outcome

DATA_CENTRE = "tifton"
DEADLINE_S = 2.5


@when("{count:d} flows are opened just before routers remove a paused balancer")
def step_open_while_paused(context, count):
    """Queue SYNs in the paused balancer; copies open the flows through the other."""
    deployment = context.deployment
    context.paused = deployment.balancers[f"{DATA_CENTRE}-1"]
    context.paused.pause()
    misses = deployment.routers[DATA_CENTRE].misses
    assert deployment.loop.run_until(lambda: any(misses.values()), DEADLINE_S)
    routes = itertools.cycle(deployment.routes)
    callers = deployment.callers[DATA_CENTRE]
    context.flows = [callers.open(next(routes), DEADLINE_S) for _ in range(count)]
    for number, flow in enumerate(context.flows):
        flow.send_request(f"p{number}")
    opened = deployment.loop.run_until(
        lambda: all(flow.opened for flow in context.flows), DEADLINE_S
    )
    assert opened, [flow.outcome for flow in context.flows]


@when("the paused balancer resumes")
def step_resume(context):
    context.paused.resume()
    assert context.deployment.loop.run_until(context.deployment.all_ready, 5)


@then("the SYNs of each flow reach only one target")
def step_one_target(context):
    """With a second target's answer the caller would switch to that target."""
    context.deployment.loop.run_until(
        lambda: all(flow.outcome is not Outcome.PENDING for flow in context.flows),
        DEADLINE_S,
    )
    flows = {flow.flow for flow in context.flows}
    reached = [
        flow
        for _, target in context.deployment.targets.values()
        for flow in target.first_syns
        if flow in flows
    ]
    assert len(reached) == len(set(reached)), len(reached) - len(set(reached))
    outcomes = {flow.outcome for flow in context.flows}
    assert outcomes == {Outcome.ANSWERED}, outcomes


@when("no requests are sent for {duration_ms:d} ms")
def step_idle(context, duration_ms):
    context.deployment.loop.run_for(duration_ms / 1_000)


@then("no SYN was dropped")
def step_no_drops(context):
    for balancer in context.deployment.balancers.values():
        drops = [line for line in balancer.read_log() if line["event"] == "drop"]
        assert not drops, drops
