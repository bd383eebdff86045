"""Steps for a balancer that stands still while callers try."""

import itertools

from behave import then, when

from lagoontally_standins.packets import Outcome

DATA_CENTRE = "tifton"
DEADLINE_S = 2.5


@when("{count:d} flows are opened just before routers leave a paused balancer out")
def step_open_while_paused(context, count):
    """Their SYNs wait in it, copies open them through the other balancer."""
    deployment = context.deployment
    context.paused = deployment.balancers[f"{DATA_CENTRE}-1"]
    context.paused.pause()
    misses = deployment.routers[DATA_CENTRE].misses
    assert deployment.loop.run_until(lambda: any(misses.values()), DEADLINE_S)
    routes = itertools.cycle(deployment.routes)
    callers = deployment.callers[DATA_CENTRE]
    context.flows = [callers.open(next(routes), DEADLINE_S) for _ in range(count)]
    for number, flow in enumerate(context.flows):
        flow.ask(f"p{number}")
    opened = deployment.loop.run_until(
        lambda: all(flow.opened for flow in context.flows), DEADLINE_S
    )
    assert opened, [flow.outcome for flow in context.flows]


@when("it goes on")
def step_resume(context):
    """It reads what waited in its socket."""
    context.paused.resume()
    assert context.deployment.loop.run_until(context.deployment.all_ready, 5)


@then("no target but its own got a SYN of any flow")
def step_one_target(context):
    """A second target's answer would lead the caller there."""
    context.deployment.loop.run_until(
        lambda: all(flow.outcome is not Outcome.PENDING for flow in context.flows),
        DEADLINE_S,
    )
    flows = {flow.flow for flow in context.flows}
    reached = [
        flow
        for _, target in context.deployment.targets.values()
        for flow in target.opening
        if flow in flows
    ]
    assert len(reached) == len(set(reached)), len(reached) - len(set(reached))
    outcomes = {flow.outcome for flow in context.flows}
    assert outcomes == {Outcome.ANSWERED}, outcomes


@when("nobody asks anything for {duration_ms:d} ms")
def step_nobody(context, duration_ms):
    """Balancers only watch the store."""
    context.deployment.loop.run_for(duration_ms / 1_000)


@then("no SYN was dropped")
def step_no_drops(context):
    """No caller had to wait for a copy."""
    for balancer in context.deployment.balancers.values():
        drops = [line for line in balancer.log() if line["event"] == "drop"]
        assert not drops, drops
