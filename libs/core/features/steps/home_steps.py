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
    UpstreamReply,
)

PEER = 2_000_002
DEAD = 3
PAUSE_MS = 10_000
STRANGER_MS = 1_200


@given("a balancer that serves")
def step_serving(context):
    """A balancer alone serves once it has a template."""
    context.core = Core().serve()


@given("a peer that noticed {wake:d} pauses")
def step_peer(context, wake):
    """A peer makes itself known by a probe."""
    context.peer = record(PEER, pause_count=wake)
    context.core.hear(context.peer)


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


@given("a target that says it serves another service")
def step_foreign(context):
    """A target at a reused address names its own service."""
    reply = IdentityReply(TARGETS[SERVICE], WORKSPACE, OTHER_SERVICE)
    context.core.take(reply)


@when("the target answers")
def step_target_answers(context):
    """The answer carries the exchange's token."""
    sent = context.sent
    answered = ReplyStatus.ANSWERED
    reply = UpstreamReply(
        sent.target, sent.path, sent.token, answered, False, 0, b"done"
    )
    context.core.take(reply)


@when("a command comes with {kind}")
def step_command(context, kind):
    """The command brings an Echo of the kind named."""
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
    context.core.hear(peer)
    other = record(PEER + 1)
    context.core.hear(other, updates=[peer._replace(status=DEAD, revision=1)])
    _with_echo(context, Core(PEER).serve().echo())


def _unknown_home(context):
    _with_echo(context, Core(PEER).serve().echo())
    context.core.wait(STRANGER_MS)


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
    """The same datagram arrives after a device has rebound the address."""
    context.core.command(context.echo, caller=REBOUND)


@when("a command that was queued before a pause is handled after it")
def step_queued(context):
    """The event carries the time at which it arrived."""
    core = context.core
    event = CallerRequest(Flow(SERVICE, CALLER), command(core.echo()))
    received = Received(core.now_ms, event)
    core.now_ms += PAUSE_MS
    core.take(received)


@when("the peer relays a command with the wake before a pause")
def step_old_relay(context):
    """The relay was sent before the pause and is read after it."""
    core = context.core
    request = command(core.echo())
    pause_count = core.state.pause_count
    core.now_ms += PAUSE_MS
    relay = Relay(
        core.state.info.incarnation, pause_count, Flow(SERVICE, CALLER), request
    )
    core.tell(context.peer, relay)


@then("no target gets it")
def step_not_run(context):
    """Nothing is sent to a target."""
    assert not context.core.sent_upstream(), context.core.actions


@then("its caller is told nothing")
def step_told_nothing(context):
    """No answer is sent."""
    assert not context.core.answers(), context.core.actions


@then("its caller is told {kind}")
def step_told(context, kind):
    """One answer of the type named is sent."""
    kinds = [type(item.answer).__name__ for item in context.core.answers()]
    assert kinds == [kind], kinds


@then("the answer is sent again, to that address")
def step_same_answer(context):
    """The target's answer goes to where the copy came from."""
    (answer,) = context.core.answers()
    assert answer.answer == Forwarded(b"done"), answer
    assert answer.reply_to.flow.caller == REBOUND, answer


@then("it is relayed to the peer for its wake {wake:d}")
def step_relayed(context, wake):
    """The relay names the home and the wake known of it."""
    relays = [
        item for item in context.core.sent_to(context.peer) if isinstance(item, Relay)
    ]
    assert [(item.home, item.pause_count) for item in relays] == [(PEER, wake)], relays


@then("the peer learns of the new wake")
def step_learns_wake(context):
    """The sender of a void relay is told this balancer's record."""
    pings = [
        item for item in context.core.sent_to(context.peer) if isinstance(item, Ping)
    ]
    assert [item.sender.pause_count for item in pings] == [1], pings


@when("a read is taken up {late_ms:d} ms after it arrived")
def step_late_read(context, late_ms):
    """A read may be refused by any balancer."""
    take_late(context.core, command(b"")._replace(kind=RequestKind.IDEMPOTENT), late_ms)


@when("a command without Echo is taken up {late_ms:d} ms after it arrived")
def step_late_first(context, late_ms):
    """A command without an Echo never runs."""
    take_late(context.core, command(b""), late_ms)


@when("a command with its Echo is taken up {late_ms:d} ms after it arrived")
def step_late_command(context, late_ms):
    """Only the home that remembers a command may say that it wasn't run."""
    take_late(context.core, command(context.core.echo()), late_ms)


def take_late(core, request, late_ms):
    """Take a request that has waited in the queue."""
    event = CallerRequest(Flow(SERVICE, CALLER), request)
    core.take(Received(core.now_ms - late_ms, event))
