"""Steps for flows whose SYN reached two targets."""

from behave import given, then, when

from lagoontally_flows import DealtAnew

SEQUENCES = {"first": 5_000, "second": 3_000_000_000}
OTHER_FLOW = 1_700_000_000


@given("a flow whose SYN and copy were answered by two targets")
def step_two_answers(context):
    """The first answer was late, so the copy went elsewhere."""
    world = context.world
    context.flow = world.new_flow()
    first = world.syn(context.flow).target
    world.wait(200)
    context.answering = {
        "first": first,
        "second": world.syn(context.flow, copy=1).target,
    }
    assert first != context.answering["second"]


def send(context, sequence, which, length=0):
    """Send a packet with the cookie of one of the targets."""
    cookie = context.answering[which].cookie
    context.action = context.world.send(
        context.flow, cookie=cookie, ack=sequence, length=length
    )


@when("the caller acknowledges the {which} target")
def step_acknowledge(context, which):
    """The flow opens there."""
    send(context, SEQUENCES[which], which)
    context.opened_at = which


@when("sends data with the cookie of the second")
def step_data(context):
    """The second target's answer has arrived since."""
    send(context, SEQUENCES[context.opened_at], "second", length=100)


@when("sends data of another flow with the cookie of the second")
def step_other_flow(context):
    """The flow was opened through another balancer."""
    send(context, OTHER_FLOW, "second", length=100)


@then("the data goes to the {which} target")
def step_target(context, which):
    """The cookie alone doesn't decide."""
    assert context.action.target == context.answering[which], context.action


@then("the flow counts at the first target only")
def step_counted(context):
    """The second target has no flow."""
    flows = context.world.balancer.flows.open_flows
    assert flows == {context.answering["first"].cookie: 1}, flows


@then("no member is told that flows were rehashed")
def step_not_rehashed(context):
    """All packets came through this balancer."""
    assert not context.world.take_effects_of(DealtAnew)
