"""Steps for the home of a flow: its Echoes and what it remembers."""

from behave import given, then, when
from fixtures import (
    CALLER,
    OTHER_SERVICE,
    REBOUND,
    SERVICE,
    TARGETS,
    WORKSPACE,
    Core,
    command,
    record,
)

from lagoontally_core import (
    CallerRequest,
    Flow,
    Forwarded,
    IdentityReply,
    Ping,
    Received,
    Relay,
    ReplyStatus,
    RequestKind,
    SendDiscarded,
    UpstreamReply,
)

PEER = 2_000_002
DEAD = 3
PAUSE_MS = 10_000
SHORT_PAUSE_MS = 4_000  # ends before the deadline
UNKNOWN_HOME_WAIT_MS = 1_200


@given("a balancer that serves")
def step_serving(context):
    """A lone balancer serves once it has a template."""
    context.core = Core().serve()


@given("a peer that noticed {pause_count:d} pauses")
def step_peer(context, pause_count):
    """A peer is learned from its ping."""
    context.peer = record(PEER, pause_count=pause_count)
    context.core.receive_ping(context.peer)


@given("a command that runs")
def step_running(context):
    """A command with a fresh Echo is sent to a target."""
    context.echo = context.core.echo()
    context.core.command(context.echo)
    (context.sent,) = context.core.sent_upstream()


@given("a command that was run and answered")
def step_answered(context):
    """A target's answer ends a command."""
    step_running(context)
    step_target_answers(context)


@given("a target that reports another service")
def step_foreign(context):
    """A target at a reused address reports its own service."""
    reply = IdentityReply(TARGETS[SERVICE], WORKSPACE, OTHER_SERVICE)
    context.core.handle_event(reply)


@when("the target answers")
def step_target_answers(context):
    """The answer carries the exchange's token."""
    sent = context.sent
    answered = ReplyStatus.ANSWERED
    reply = UpstreamReply(
        sent.target, sent.path, sent.token, answered, False, 0, b"done"
    )
    context.core.handle_event(reply)


@when("the target's answer was queued before a pause and is handled after it")
def step_queued_answer(context):
    """The process stands still while the answer waits."""
    handle_queued_reply(context, ReplyStatus.ANSWERED)


@when("the target's refusal was queued before a pause and is handled after it")
def step_queued_refusal(context):
    """The target has shed the command."""
    handle_queued_reply(context, ReplyStatus.SHED)


def handle_queued_reply(context, status):
    """Handle a target's reply that arrived before a pause."""
    core, sent = context.core, context.sent
    reply = UpstreamReply(sent.target, sent.path, sent.token, status, False, 1, b"done")
    received = Received(core.now_ms, reply)
    core.now_ms += SHORT_PAUSE_MS
    core.handle_event(received)


@when("its sending is discarded after a pause")
def step_discarded(context):
    """The executor reports it once the process goes on."""
    core = context.core
    received = Received(core.now_ms + SHORT_PAUSE_MS, SendDiscarded(context.sent.token))
    core.now_ms += SHORT_PAUSE_MS + 1
    core.handle_event(received)


@then("the answer is sent")
def step_answer_sent(context):
    """The caller gets what the target said."""
    assert [item.answer for item in context.core.answers()] == [Forwarded(b"done")]


@when("a command comes with {kind}")
def step_command(context, kind):
    """The command carries an Echo of the named kind."""
    _ECHOES[kind](context)


def _with_echo(context, echo):
    context.core.command(echo)


def _forged(context):
    echo = context.core.echo()
    _with_echo(context, echo[:-1] + bytes([echo[-1] ^ 1]))


def _aged(age_ms):
    def send(context):
        echo = context.core.echo()
        context.core.wait(age_ms)
        _with_echo(context, echo)

    return send


def _dead_home(context):
    peer = record(PEER)
    context.core.receive_ping(peer)
    other = record(PEER + 1)
    context.core.receive_ping(other, updates=[peer._replace(status=DEAD, revision=1)])
    _with_echo(context, Core(PEER).serve().echo())


def _unknown_home(context):
    _with_echo(context, Core(PEER).serve().echo())
    context.core.wait(UNKNOWN_HOME_WAIT_MS)


_ECHOES = {
    "no Echo": lambda context: _with_echo(context, b""),
    "a fresh Echo": lambda context: _with_echo(context, context.core.echo()),
    "a forged Echo": _forged,
    "an Echo of another service": lambda context: _with_echo(
        context, context.core.echo(service=OTHER_SERVICE)
    ),
    "an expired Echo": _aged(121_000),
    "an Echo older than what is remembered": _aged(361_000),
    "an Echo of a dead home": _dead_home,
    "an Echo of a home that nobody knows": _unknown_home,
    "an Echo of the peer": lambda context: _with_echo(
        context, Core(PEER).serve().echo()
    ),
}


@when("a copy of it comes from another address")
def step_copy(context):
    """The same datagram arrives after a NAT device has rebound the address."""
    context.core.command(context.echo, caller=REBOUND)


@when("a command that was queued before a pause is handled after it")
def step_queued(context):
    """The event carries the time at which it arrived."""
    core = context.core
    event = CallerRequest(Flow(SERVICE, CALLER), command(core.echo()))
    received = Received(core.now_ms, event)
    core.now_ms += PAUSE_MS
    core.handle_event(received)


@when("the peer relays a command with the pause count before a pause")
def step_old_relay(context):
    """The relay was sent before the pause and is read after it."""
    core = context.core
    request = command(core.echo())
    pause_count = core.state.pause_count
    core.now_ms += PAUSE_MS
    relay = Relay(
        core.state.info.incarnation, pause_count, Flow(SERVICE, CALLER), request
    )
    core.receive_message(context.peer, relay)


@then("no target gets it")
def step_not_run(context):
    """Nothing is sent to a target."""
    assert not context.core.sent_upstream(), context.core.actions


@then("its caller gets no answer")
def step_no_answer(context):
    """No answer is sent."""
    assert not context.core.answers(), context.core.actions


@then("its caller is answered {kind}")
def step_answer_kind(context, kind):
    """One answer of the named type is sent."""
    kinds = [type(item.answer).__name__ for item in context.core.answers()]
    assert kinds == [kind], kinds


@then("the answer is sent again, to that address")
def step_same_answer(context):
    """The target's answer goes to where the copy came from."""
    (answer,) = context.core.answers()
    assert answer.answer == Forwarded(b"done"), answer
    assert answer.reply_to.flow.caller == REBOUND, answer


@then("it is relayed to the peer with pause count {pause_count:d}")
def step_relayed(context, pause_count):
    """The relay names the home and its known pause count."""
    relays = [
        item for item in context.core.sent_to(context.peer) if isinstance(item, Relay)
    ]
    assert [(item.home, item.pause_count) for item in relays] == [
        (PEER, pause_count)
    ], relays


@then("the peer receives the new pause count")
def step_learns_pause_count(context):
    """The sender of a discarded relay gets this balancer's record."""
    pings = [
        item for item in context.core.sent_to(context.peer) if isinstance(item, Ping)
    ]
    assert [item.sender.pause_count for item in pings] == [1], pings


@when("a read is handled {late_ms:d} ms after it arrived")
def step_late_read(context, late_ms):
    """A read may be refused by any balancer."""
    take_late(context.core, command(b"")._replace(kind=RequestKind.IDEMPOTENT), late_ms)


@when("a command without Echo is handled {late_ms:d} ms after it arrived")
def step_late_first(context, late_ms):
    """A command without an Echo never runs."""
    take_late(context.core, command(b""), late_ms)


@when("a command with its Echo is handled {late_ms:d} ms after it arrived")
def step_late_command(context, late_ms):
    """Only a command's home may answer that it wasn't run."""
    take_late(context.core, command(context.core.echo()), late_ms)


def take_late(core, request, late_ms):
    """Handle a request that has waited in the queue."""
    event = CallerRequest(Flow(SERVICE, CALLER), request)
    core.handle_event(Received(core.now_ms - late_ms, event))
