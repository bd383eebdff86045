"""Steps for callers that use a port for another flow."""

from behave import given, then, when

from lagoontally_flows import REFUSED, FlowReset

FORMER_ACKNOWLEDGED = 5_000
NEW_SEQUENCE = 2_000_000_000


@given("an open flow whose caller uses the port for another flow")
def step_former(context):
    """Half a second passes in between."""
    context.flow, context.former = context.world.open_flow()
    context.world.wait(500)


@when("the new flow's SYN passes through this balancer")
def step_syn(context):
    """It may get any target but the former."""
    target = context.world.syn(context.flow).target
    assert target != context.former, target


@when("a packet of the new flow passes through this balancer")
def step_packet(context):
    """Another balancer placed the flow."""
    others = [one for one in context.targets if one != context.former]
    context.world.send(context.flow, cookie=others[0].cookie, ack=NEW_SEQUENCE)


@when("the former target is found dead")
def step_dead(context):
    """By a probe of this balancer."""
    world = context.world
    world.balancer.on_probe_result(context.former.cookie, REFUSED, world.now_ms)
    world.collect()


@then("no reset is sent to the port")
def step_no_reset(context):
    """It would end the new flow."""
    assert not context.world.take_effects_of(FlowReset)


@then("a reset names only what the former flow's caller has acknowledged")
def step_sequence(context):
    """A caller ignores a reset that isn't near its open flow's last number."""
    (reset,) = context.world.take_effects_of(FlowReset)
    assert reset.sequence == FORMER_ACKNOWLEDGED, reset
