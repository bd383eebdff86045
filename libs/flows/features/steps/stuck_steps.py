"""Steps for targets that accept requests and don't answer."""

from behave import given, then, when
from fixtures import IDLE_TIMEOUT_MS, REQUEST_BYTES, ROUTE, SERVICE

from lagoontally_flows import (
    ACK,
    ANSWERED,
    FIN,
    STUCK,
    UNANSWERED,
    Configuration,
    FlowReset,
    Route,
    Verdict,
)

REPORTED_WAIT_MS = 360  # age of a request in a peer's report


@given("requests mustn't be repeated")
def step_unsafe(context):
    """The route is for commands."""
    route = Route("r", ((SERVICE, 1),), False)
    configuration = Configuration(5, {ROUTE: route}, IDLE_TIMEOUT_MS)
    context.world.balancer.configure(configuration)


def send_request(context, flow, target):
    """Send a request."""
    context.world.send(flow, cookie=target.cookie, ack=5_000, length=REQUEST_BYTES)


@when("its caller sends a request and gets no answer for {duration_ms:d} ms")
def step_unanswered(context, duration_ms):
    """Nothing is acknowledged."""
    send_request(context, context.flow, context.target)
    context.world.wait(duration_ms)


@when("its caller sends a request")
def step_request(context):
    """A request leaves for the target."""
    send_request(context, context.flow, context.target)


@when("its caller sends a request that is answered after {duration_ms:d} ms")
def step_request_answered(context, duration_ms):
    """The target works normally."""
    step_unanswered(context, duration_ms)
    step_answered(context)


@when("its caller gets the answer")
def step_answered(context):
    """It acknowledges the answer."""
    cookie = context.target.cookie
    context.world.send(context.flow, cookie=cookie, sequence=269, ack=6_000)


@when("{count:d} peers report that its target is stuck")
def step_peers(context, count):
    """Requests to it are overdue elsewhere."""
    for number in range(count):
        deliver_verdict(context, context.target, STUCK, number)


@when("{count:d} peers report that callers gave up on its target")
def step_given_up(context, count):
    """Callers of other balancers got no answer."""
    for number in range(count):
        deliver_verdict(context, context.target, "unanswered", number)


@when(
    "{count:d} peers report that callers gave up on its target after {waited_ms:d} ms"
)
def step_given_up_after(context, count, waited_ms):
    """The reports tell when the requests were sent."""
    world = context.world
    for number in range(count):
        verdict = Verdict(context.target.cookie, True, UNANSWERED, waited_ms)
        world.balancer.on_verdict(verdict, f"peer-{number}", world.now_ms)
    world.collect()


@when("its caller gives up")
def step_caller_gives_up(context):
    """It ends its flow with nothing new acknowledged."""
    cookie = context.target.cookie
    context.world.send(context.flow, ACK | FIN, cookie=cookie, ack=5_000)


@when("every target is reported as stuck")
def step_all(context):
    """A peer reports overdue requests to each."""
    for target in context.targets:
        deliver_verdict(context, target, STUCK)


@when("earlier effects are ignored")
def step_forget_effects(context):
    """Later steps check only new effects."""
    context.world.effects.clear()


@when("a peer reports that it answers")
@when("a peer reports that it answered {age_ms:d} ms ago")
def step_peer_refutes(context, age_ms=0):
    """A request through another balancer was answered."""
    verdict = Verdict(context.target.cookie, False, ANSWERED, age_ms)
    context.world.balancer.on_verdict(verdict, "peer-9", context.world.now_ms)


@when("{peers:d} peers report {count:d} targets as stuck, its own among them")
def step_peers_many(context, peers, count):
    """The network in between may be the cause."""
    others = [one for one in context.targets if one != context.target]
    for target in [context.target, *others][:count]:
        for number in range(peers):
            deliver_verdict(context, target, STUCK, number)


@when("the first has a pending request and the second was answered before")
def step_one_idle(context):
    """Both flows are for commands."""
    (context.flow, context.target), *_, (context.idle, _) = context.opened
    cookie = context.target.cookie
    send_request(context, context.idle, context.target)
    context.world.wait(30)
    context.world.send(context.idle, cookie=cookie, sequence=269, ack=6_000)
    context.world.wait(450)
    send_request(context, context.flow, context.target)


@when("the process is paused for {duration_ms:d} ms")
def step_paused(context, duration_ms):
    """No tick comes meanwhile."""
    context.world.now_ms += duration_ms


@then("the open flow is reset")
def step_open_reset(context):
    """The reset doesn't wait for a packet of the caller."""
    assert [reset.flow for reset in context.world.take_effects_of(FlowReset)] == [
        context.flow
    ]


@then("only the second flow is reset")
def step_idle_reset(context):
    """The command on the first one may be running."""
    assert [reset.flow for reset in context.world.take_effects_of(FlowReset)] == [
        context.idle
    ]


@then("the peers get no verdict")
def step_no_verdict(context):
    """A verdict costs one datagram per peer."""
    assert not context.world.take_effects_of(Verdict)


@then("the peers are notified that the target answers")
def step_refuted(context):
    """One verdict refutes all reports."""
    sent = [
        (one.cookie, one.evidence) for one in context.world.take_effects_of(Verdict)
    ]
    assert (context.target.cookie, ANSWERED) in sent, sent


def deliver_verdict(context, target, evidence, number=0):
    """Deliver a peer's verdict on a target."""
    world = context.world
    age_ms = REPORTED_WAIT_MS if evidence == STUCK else 0
    verdict = Verdict(target.cookie, True, evidence, age_ms)
    world.balancer.on_verdict(verdict, f"peer-{number}", world.now_ms)
    world.collect()


def open_flow_to_target(context):
    """Open a flow to the same target, even if it is suspected."""
    stuck_targets = context.world.balancer.stuck_targets
    suspects, stuck_targets.suspects = stuck_targets.suspects, {}
    target = None
    while target != context.target:
        flow, target = context.world.open_flow()
    stuck_targets.suspects = suspects
    return flow


@when("another caller of its target gives up after {duration_ms:d} ms")
def step_gives_up(context, duration_ms):
    """It ends its flow with nothing new acknowledged."""
    flow = open_flow_to_target(context)
    send_request(context, flow, context.target)
    context.world.wait(duration_ms)
    context.world.send(flow, ACK | FIN, cookie=context.target.cookie, ack=5_000)


@when("another caller of its target ends after its answer")
def step_ends(context):
    """Its last packet acknowledges the answer."""
    flow = open_flow_to_target(context)
    send_request(context, flow, context.target)
    context.world.wait(600)
    context.world.send(flow, ACK | FIN, cookie=context.target.cookie, ack=6_000)


@when("a flow of another balancer is rehashed to this one")
def step_moved(context):
    """Its first packet here isn't a SYN."""
    flow = context.world.new_flow()
    context.world.send(flow, cookie=context.targets[1].cookie, ack=77)


@when(
    "its caller retransmits a request for {duration_ms:d} ms "
    "while flows of others move here"
)
def step_retransmits(context, duration_ms):
    """Its retransmissions come after 200 ms, 600 ms and so on."""
    send_while_flows_move(context, duration_ms, retransmission_ms=(200, 600, 1_400))


@when(
    "its caller sends a request while flows of others move here for {duration_ms:d} ms"
)
def step_moves(context, duration_ms):
    """Its own flow has moved away, too."""
    send_while_flows_move(context, duration_ms)


@when("its caller retransmits the request")
def step_retransmission(context):
    """Nothing is acknowledged."""
    send_request(context, context.flow, context.target)


def send_while_flows_move(context, duration_ms, retransmission_ms=()):
    """Send a request, and the first packet of another flow each 100 ms."""
    other = next(one for one in context.targets if one != context.target)
    for waited_ms in range(0, duration_ms, 100):
        if waited_ms in (0, *retransmission_ms):
            send_request(context, context.flow, context.target)
        # An idle flow that moved brings a request.
        send_request(context, context.world.new_flow(), other)
        context.world.wait(100)


@then('its next request is reset as "{reason}"')
def step_request_reset(context, reason):
    """It is reset instead of forwarded."""
    action = context.world.send(
        context.flow, cookie=context.target.cookie, ack=5_000, length=REQUEST_BYTES
    )
    assert getattr(action, "reason", None) == reason, action


@when("the first request waits {duration_ms:d} ms while the second is answered")
def step_one_waits(context, duration_ms):
    """Only the first request takes long."""
    (flow, target), *_, (other, _) = context.opened
    context.target = target
    send_request(context, flow, target)
    context.world.wait(duration_ms // 2)
    send_request(context, other, target)
    context.world.wait(30)
    context.world.send(other, cookie=target.cookie, ack=6_000)
    context.world.wait(duration_ms // 2)


@then("{count:d} new flows reach the first target too")
def step_first_reached(context, count):
    """It gets new flows."""
    reached = {context.world.open_flow()[1].cookie for _ in range(count)}
    assert context.target.cookie in reached


@when("the balancer is out of the rotation")
def step_out(context):
    """It was told to stop."""
    context.world.balancer.in_rotation = False


@when("peers report {count:d} unknown targets both as stuck and as answering")
def step_unknown_targets(context, count):
    """Any host can send such verdicts."""
    balancer, now_ms = context.world.balancer, context.world.now_ms
    for cookie in range(1, count + 1):
        for evidence in (STUCK, ANSWERED):
            verdict = Verdict(cookie, evidence == STUCK, evidence, REPORTED_WAIT_MS)
            balancer.on_verdict(verdict, "peer", now_ms)


@then("no state of any target is kept")
def step_nothing_remembered(context):
    """Verdicts on unknown targets don't accumulate."""
    stuck_targets = context.world.balancer.stuck_targets
    assert not stuck_targets.suspects
    assert not stuck_targets.overdue_reports
    assert not stuck_targets.peer_answered_ms
