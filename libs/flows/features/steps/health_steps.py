"""Steps for targets that don't answer: stalls, probes and verdicts."""

from behave import then, when
from fixtures import check_goes_on

from lagoontally_flows import FlowReset, Probe, Verdict


def repeat_request(context, flow, target):
    """Send a request and retransmit it after 200 ms."""
    context.world.send(flow, cookie=target.cookie, ack=5_000, length=100)
    context.world.wait(200)
    context.world.send(flow, cookie=target.cookie, ack=5_000, length=100)


@when("its caller repeats a request")
def step_repeat(context):
    """The target acknowledged nothing for 200 ms."""
    repeat_request(context, context.flow, context.target)


@when("two flows are opened to one target")
def step_two_flows(context):
    """Open enough flows that one target has two."""
    context.opened = [context.world.open_flow() for _ in range(4)]


@when("the caller of the first repeats a request while the second is answered")
def step_repeat_answered(context):
    """One flow stalls, the other makes progress."""
    (flow, target), *_, (other, other_target) = context.opened
    assert target == other_target
    context.world.send(flow, cookie=target.cookie, ack=5_000, length=100)
    context.world.wait(100)
    context.world.send(other, cookie=target.cookie, ack=6_000)
    context.world.wait(100)
    context.world.send(flow, cookie=target.cookie, ack=5_000, length=100)


@when("flows to {count:d} targets are opened and all their callers repeat requests")
def step_repeat_all(context, count):
    """No target answers."""
    context.opened = [context.world.open_flow() for _ in range(count)]
    for flow, target in context.opened:
        repeat_request(context, flow, target)


@when("all their callers repeat requests")
def step_repeat_again(context):
    """No target has answered since."""
    for flow, target in context.opened:
        context.world.send(flow, cookie=target.cookie, ack=5_000, length=100)


@when('the probe ends as "{evidence}"')
def step_probe_ends(context, evidence):
    """The forwarder reports the result of the probe."""
    cookie = context.target.cookie
    context.world.balancer.on_probe_result(cookie, evidence, context.world.now_ms)
    context.world.collect()


@when("a peer reports that its target is dead")
def step_verdict(context):
    """Another balancer found the target dead."""
    verdict = Verdict(context.target.cookie, True, "silent", 0)
    context.world.balancer.on_verdict(verdict, "peer", context.world.now_ms)
    context.world.collect()


@then("no target is probed")
def step_no_probe(context):
    """No target is suspected."""
    assert not context.world.take_effects_of(Probe)


@then("its target is probed")
@then("the first target is probed")
def step_probe(context):
    """The target is suspected."""
    assert Probe(context.target.cookie) in context.world.take_effects_of(Probe)


@then("the flow is reset")
def step_flow_reset(context):
    """The reset carries the caller's last acknowledgement number."""
    resets = context.world.take_effects_of(FlowReset)
    assert [(one.flow, one.sequence) for one in resets] == [(context.flow, 5_000)]


@then("the flow isn't reset")
def step_flow_kept(context):
    """The flow goes on."""
    assert not context.world.take_effects_of(FlowReset)
    check_goes_on(context)


@then("the peers are notified that the target is {state}")
def step_notified(context, state):
    """A verdict is sent."""
    newest = context.world.take_effects_of(Verdict)[-1]
    assert newest.cookie == context.target.cookie, newest
    assert newest.dead == (state == "dead"), newest


@then("no verdict is sent to the peers")
def step_no_verdict(context):
    """No verdict is sent."""
    assert not context.world.take_effects_of(Verdict)


@then("the balancer considers itself isolated")
def step_isolated(context):
    """The fault is likely in its own network."""
    assert context.world.balancer.health.isolated(context.world.now_ms)


@when("a SYN isn't answered for {duration_ms:d} ms")
def step_unanswered(context, duration_ms):
    """The target's host refused it, which only the caller sees."""
    flow = context.flow = context.world.new_flow()
    context.target = context.world.syn(flow).target
    context.world.wait(duration_ms)


@when("the same caller opens another flow")
def step_same_caller(context):
    """The new flow has another port."""
    context.action = context.world.syn(context.world.new_flow())


@then("it goes to another target")
def step_goes_elsewhere(context):
    """The same caller avoids the unanswered target."""
    assert context.action.target != context.target, context.action


@when("a caller opens {count:d} flows and answers none")
def step_flood(context, count):
    """All of them arrive at the same time."""
    for _ in range(count):
        context.world.syn(context.world.new_flow())


@then("at most {count:d} of them are checked for its next flow")
def step_looked_at(context, count):
    """The cost of a SYN doesn't rise with the flood."""
    half_open_flows = context.world.balancer.half_open_flows
    assert all(len(keys) <= count for keys in half_open_flows.by_caller.values())


@then("no half-open flow is kept")
def step_no_opening(context):
    """Half-open flows expire."""
    half_open_flows = context.world.balancer.half_open_flows
    assert not half_open_flows.pending and not half_open_flows.by_caller


@when("the store recovers from an outage")
def step_recovered(context):
    """It answers again."""
    context.world.balancer.view.store_recovered_ms = context.world.now_ms


@when("the caller opens a flow from the same port again and gets an answer")
def step_port_again(context):
    """Its network stack has given up the first one."""
    target = context.world.syn(context.flow).target
    context.world.wait(6)
    context.world.send(context.flow, cookie=target.cookie, ack=5_000)


@then("it gets a target")
def step_gets_target(context):
    """Its SYN is forwarded."""
    assert context.action.target is not None, context.action


@then("one half-open flow is kept")
def step_one_opening(context):
    """Only the newest flow isn't open yet."""
    half_open_flows = context.world.balancer.half_open_flows
    assert len(half_open_flows.pending) == 1, half_open_flows.pending
    assert [len(keys) for keys in half_open_flows.by_caller.values()] == [1]
