"""One step: an event in, actions out."""

from functools import singledispatch
from random import Random

from . import _peer_messages as peer
from ._actions import AnswerOperator, ReadInstances, ReadTemplate
from ._dispatch import LeaseTimer, on_lease_timer, on_place_ask, on_place_done
from ._events import (
    CallerAck,
    CallerRequest,
    CallerReset,
    IdentityReply,
    InstancesRead,
    LeaveRequested,
    OperatorQuery,
    PeerMessage,
    Received,
    TemplateRead,
    TemplateRejected,
    Tick,
    UpstreamReply,
)
from ._exchanges import (
    AskTimer,
    ExchangeTimer,
    on_ask_timer,
    on_exchange_reply,
    on_exchange_timer,
    on_placed,
)
from ._health import HealthTimer, check_health, note_heard
from ._home import ForgetRequest, forget_request
from ._ingress import (
    on_caller_ack,
    on_caller_request,
    on_caller_reset,
    on_relay,
    on_relay_ack,
    on_relay_fresh,
    on_stranger_known,
    on_stranger_timer,
    refuse_late,
)
from ._inherit import DropStaged, drop_staged, learn_succession, on_handover_part
from ._leave import (
    advance_leave,
    begin_leave,
    on_handover_ack,
    on_succession_ack,
)
from ._lines import (
    LineTimer,
    MoveTimer,
    check_line,
    move_line,
    on_line_reply,
)
from ._operator import answer_query
from ._probing import (
    contact_instances,
    contact_seeds,
    contact_some_members,
    on_join,
    on_ping,
    on_ping_ack,
    on_ping_request,
    on_welcome,
    probe_members,
)
from ._registrations import RegisterTimer, check_registration
from ._state import Phase, State
from ._strangers import (
    StrangerForgotten,
    StrangerKnown,
    StrangerTimer,
    forget_stranger,
)
from ._succession import ForgetSuccession, forget_succession
from ._templates import (
    IdentityTimer,
    on_identity_reply,
    on_identity_timer,
    on_template_digest,
    on_template_read,
    on_template_rejected,
    on_template_sections,
    on_template_want,
    serve_entries,
)
from ._turn import Turn

TICK_MS = 100
PAUSE_MS = 1_000
LATE_MS = 400
JOIN_WAIT_MS = 5_000
LIST_READ_MS = 500


def step(state: State, event, now_ms: int, random: Random) -> list:
    """Take one decision.

    Args:
        state: The balancer's state; changed in place.
        event: What has happened.
        now_ms: The balancer's monotonic clock.
        random: Source of random numbers.

    Returns:
        The actions for the edges, in order.
    """
    turn = Turn(state, now_ms, random, [])
    _notice_pause(turn)
    if isinstance(event, Received):
        if event.received_ms < state.resumed_ms:
            turn.count("event.discarded_after_pause")
            return turn.actions
        late = now_ms - event.received_ms >= LATE_MS
        event = event.event
        if late and isinstance(event, CallerRequest):
            refuse_late(event, turn)
            return turn.actions
    handle(event, turn)
    return turn.actions


def _notice_pause(turn):
    """Treat the view as old when the clock has jumped between two steps."""
    state = turn.state
    before_ms = state.clock_ms
    state.clock_ms = turn.now_ms
    if before_ms is None:
        state.started_ms = turn.now_ms
        state.resumed_ms = turn.now_ms
        return
    if turn.now_ms - before_ms < PAUSE_MS:
        return
    state.resumed_ms = turn.now_ms
    state.pause_count += 1
    state.refreshed = False
    state.membership.probes.clear()
    turn.count("pause")
    turn.log("WARNING", "paused", pause_ms=turn.now_ms - before_ms)
    turn.act(ReadTemplate("the process was paused"))
    contact_some_members(turn)


@singledispatch
def handle(event, turn):
    """Handle an event by its type.

    Raises:
        TypeError: There is no such event.
    """
    raise TypeError(f"no handler for {type(event).__name__}")


handle.register(CallerRequest, on_caller_request)
handle.register(CallerAck, on_caller_ack)
handle.register(CallerReset, on_caller_reset)
handle.register(TemplateRead, on_template_read)
handle.register(TemplateRejected, on_template_rejected)
handle.register(IdentityReply, on_identity_reply)
handle.register(InstancesRead, contact_instances)
handle.register(LeaveRequested, begin_leave)


@handle.register
def on_upstream_reply(event: UpstreamReply, turn):
    """Match a target's reply to its exchange or line."""
    target = turn.state.targets.get(event.target)
    if target is not None:
        note_heard(target, turn)
    exchange = turn.state.exchanges.get(event.token)
    if exchange is not None:
        on_exchange_reply(exchange, event, turn)
        return
    line = turn.state.line_tokens.get(event.token)
    if line is not None:
        on_line_reply(line, event, turn)
        return
    turn.count("upstream.late_reply")


@handle.register
def on_operator_query(event: OperatorQuery, turn):
    """Answer an operator, or begin to leave at an operator's word."""
    if event.name == "drain":
        begin_leave(LeaveRequested(), turn)
    turn.act(AnswerOperator(event.query_id, answer_query(event, turn)))


@handle.register
def on_peer_message(event: PeerMessage, turn):
    """Handle another balancer's message by its type."""
    if event.sender == turn.state.info.incarnation:
        return
    receive(event.message, event.sender, turn)


@handle.register
def on_tick(event: Tick, turn):
    """Do what is due."""
    if turn.view_is_fresh():
        for timer in turn.state.timers.take_due(turn.now_ms):
            fire(timer, turn)
    probe_members(event, turn)
    _look_for_members(turn)
    _finish_joining(turn)
    advance_leave(turn)


def _look_for_members(turn):
    """Read the platform's list, and greet the seeds, often while joining."""
    state = turn.state
    joining = state.phase is Phase.JOINING
    if turn.now_ms < state.next_list_ms or not (joining or _is_alone(state)):
        return
    state.next_list_ms = turn.now_ms + LIST_READ_MS
    contact_seeds(turn)
    if joining:
        turn.act(ReadInstances())


def _is_alone(state):
    return not state.membership.alive()


def _finish_joining(turn):
    """Serve once a template is in force and the peers were asked for theirs."""
    state = turn.state
    if state.phase is not Phase.JOINING or state.template is None:
        return
    if not _had_time_to_ask(turn) and not _is_known(turn):
        return
    state.phase = Phase.SERVING
    serve_entries(turn)
    turn.log("INFO", "serving", version=state.template_version)


def _had_time_to_ask(turn):
    """Tell whether the peers had their time, whether they used it or not."""
    return turn.now_ms - turn.state.started_ms >= JOIN_WAIT_MS


def _is_known(turn):
    """Tell whether the others know this balancer, and have nothing newer.

    A welcome names its sender's version before the template itself arrives.
    """
    state = turn.state
    if state.membership.newest_version() > state.template_version:
        return False
    if state.listed_alone:
        return True
    return state.welcomed and state.membership.known_to_all()


@singledispatch
def receive(message, sender, turn):
    """Handle a peer message by its type.

    Raises:
        TypeError: There is no such message.
    """
    raise TypeError(f"no handler for {type(message).__name__}")


receive.register(peer.Ping, on_ping)
receive.register(peer.PingAck, on_ping_ack)
receive.register(peer.PingRequest, on_ping_request)
receive.register(peer.Join, on_join)
receive.register(peer.Welcome, on_welcome)
receive.register(peer.Relay, on_relay)
receive.register(peer.RelayAck, on_relay_ack)
receive.register(peer.RelayFresh, on_relay_fresh)
receive.register(peer.PlaceAsk, on_place_ask)
receive.register(peer.Placed, on_placed)
receive.register(peer.PlaceDone, on_place_done)
receive.register(peer.HandoverPart, on_handover_part)
receive.register(peer.HandoverAck, on_handover_ack)
receive.register(peer.SuccessionAck, on_succession_ack)
receive.register(peer.TemplateDigest, on_template_digest)
receive.register(peer.TemplateWant, on_template_want)
receive.register(peer.TemplateSections, on_template_sections)


@receive.register
def on_succession(message: peer.Succession, _sender, turn):
    """Take in an announced succession."""
    learn_succession(message, turn)


@singledispatch
def fire(timer, turn):
    """Do what a timer is for.

    Raises:
        TypeError: There is no such timer.
    """
    raise TypeError(f"no handler for {type(timer).__name__}")


fire.register(HealthTimer, check_health)
fire.register(ExchangeTimer, on_exchange_timer)
fire.register(AskTimer, on_ask_timer)
fire.register(LeaseTimer, on_lease_timer)
fire.register(ForgetRequest, forget_request)
fire.register(LineTimer, check_line)
fire.register(RegisterTimer, check_registration)
fire.register(MoveTimer, move_line)
fire.register(IdentityTimer, on_identity_timer)
fire.register(ForgetSuccession, forget_succession)
fire.register(DropStaged, drop_staged)
fire.register(StrangerTimer, on_stranger_timer)
fire.register(StrangerKnown, on_stranger_known)
fire.register(StrangerForgotten, forget_stranger)
