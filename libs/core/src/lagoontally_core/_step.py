"""One step: handles an event and returns actions."""

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
    SendDiscarded,
    TemplateRead,
    TemplateRejected,
    Tick,
    UpstreamReply,
)
from ._exchanges import (
    DispatcherTimer,
    ExchangeTimer,
    on_dispatcher_timer,
    on_exchange_reply,
    on_exchange_timer,
    on_placed,
    on_send_discarded,
)
from ._health import HealthTimer, check_health, record_receipt
from ._home import ForgetRequest, forget_request
from ._ingress import (
    on_caller_ack,
    on_caller_request,
    on_caller_reset,
    on_home_known,
    on_relay,
    on_relay_ack,
    on_relay_fresh,
    on_unknown_home_timer,
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
from ._registrations import RegistrationTimer, check_registration
from ._state import Phase, State
from ._step_context import StepContext
from ._succession import ForgetSuccession, forget_succession
from ._templates import (
    IdentityTimer,
    on_identity_reply,
    on_identity_timer,
    on_outdated_template,
    on_template_digest,
    on_template_read,
    on_template_rejected,
    on_template_sections,
    on_template_want,
    serve_entries,
)
from ._unknown_homes import (
    HomeKnown,
    UnknownHomeExpired,
    UnknownHomeTimer,
    forget_unknown_home,
)

TICK_MS = 100
PAUSE_MS = 1_000
LATE_EVENT_MS = 400
JOIN_WAIT_MS = 5_000
LIST_READ_INTERVAL_MS = 500


def step(state: State, event, now_ms: int, random: Random) -> list:
    """Handle one event.

    Args:
        state: The balancer's state; changed in place.
        event: The event to handle.
        now_ms: The balancer's monotonic clock.
        random: Source of random numbers.

    Returns:
        The actions that the edges execute, in order.
    """
    context = StepContext(state, now_ms, random, [])
    _detect_pause(context)
    if isinstance(event, Received):
        if event.received_ms < state.resumed_ms:
            handle_outdated(event.event, context)
            return context.actions
        late = now_ms - event.received_ms >= LATE_EVENT_MS
        event = event.event
        if late and isinstance(event, CallerRequest):
            refuse_late(event, context)
            return context.actions
    handle(event, context)
    return context.actions


def _detect_pause(context):
    """Mark the view as stale when the clock has jumped between two steps."""
    state = context.state
    before_ms = state.clock_ms
    state.clock_ms = context.now_ms
    if before_ms is None:
        state.started_ms = context.now_ms
        state.resumed_ms = context.now_ms
        return
    if context.now_ms - before_ms < PAUSE_MS:
        return
    state.resumed_ms = context.now_ms
    state.pause_count += 1
    state.refreshed = False
    state.membership.probes.clear()
    context.count("pause")
    context.log("WARNING", "paused", pause_ms=context.now_ms - before_ms)
    context.act(ReadTemplate("the process was paused"))
    contact_some_members(context)


@singledispatch
def handle_outdated(_event, context):
    """Discard an event that was queued before a pause."""
    context.count("event.discarded_after_pause")


# The platform edge posts each version, and each rejection, only once.
handle_outdated.register(TemplateRead, on_outdated_template)
handle_outdated.register(TemplateRejected, on_template_rejected)
handle_outdated.register(SendDiscarded, on_send_discarded)


@handle_outdated.register
def on_outdated_reply(event: UpstreamReply, context):
    """Pass on a target's answer, which is as true as before the pause.

    A notification is discarded: its line has a newer state by now.
    """
    exchange = context.state.exchanges.get(event.token)
    if exchange is None:
        context.count("event.discarded_after_pause")
        return
    on_exchange_reply(exchange, event, context)


@singledispatch
def handle(event, context):
    """Handle an event by its type.

    Raises:
        TypeError: The event has no handler.
    """
    raise TypeError(f"no handler for {type(event).__name__}")


handle.register(CallerRequest, on_caller_request)
handle.register(CallerAck, on_caller_ack)
handle.register(CallerReset, on_caller_reset)
handle.register(TemplateRead, on_template_read)
handle.register(TemplateRejected, on_template_rejected)
handle.register(IdentityReply, on_identity_reply)
handle.register(SendDiscarded, on_send_discarded)
handle.register(InstancesRead, contact_instances)
handle.register(LeaveRequested, begin_leave)


@handle.register
def on_upstream_reply(event: UpstreamReply, context):
    """Pass a target's reply to its exchange or line."""
    target = context.state.targets.get(event.target)
    if target is not None:
        record_receipt(target, context)
    exchange = context.state.exchanges.get(event.token)
    if exchange is not None:
        on_exchange_reply(exchange, event, context)
        return
    line = context.state.line_tokens.get(event.token)
    if line is not None:
        on_line_reply(line, event, context)
        return
    context.count("upstream.late_reply")


@handle.register
def on_operator_query(event: OperatorQuery, context):
    """Answer an operator's query; start leaving on ``drain``."""
    if event.name == "drain":
        begin_leave(LeaveRequested(), context)
    context.act(AnswerOperator(event.query_id, answer_query(event, context)))


@handle.register
def on_peer_message(event: PeerMessage, context):
    """Handle another balancer's message by its type."""
    if event.sender == context.state.info.incarnation:
        return
    receive(event.message, event.sender, context)


@handle.register
def on_tick(event: Tick, context):
    """Fire due timers, probe members and advance joining or leaving."""
    if context.view_is_fresh():
        for timer in context.state.timers.take_due(context.now_ms):
            fire(timer, context)
    probe_members(event, context)
    _discover_members(context)
    _finish_joining(context)
    advance_leave(context)


def _discover_members(context):
    """Read the platform's list and contact the seeds while joining or alone."""
    state = context.state
    joining = state.phase is Phase.JOINING
    if context.now_ms < state.next_list_ms or not (joining or _is_alone(state)):
        return
    state.next_list_ms = context.now_ms + LIST_READ_INTERVAL_MS
    contact_seeds(context)
    if joining:
        context.act(ReadInstances())


def _is_alone(state):
    return not state.membership.alive()


def _finish_joining(context):
    """Start serving once a template is in force and the peers were queried."""
    state = context.state
    if state.phase is not Phase.JOINING or state.template is None:
        return
    if not _join_wait_elapsed(context) and not _is_known_to_members(context):
        return
    state.phase = Phase.SERVING
    serve_entries(context)
    context.log("INFO", "serving", version=state.template_version)


def _join_wait_elapsed(context):
    """Return whether the time for peers to answer has passed."""
    return context.now_ms - context.state.started_ms >= JOIN_WAIT_MS


def _is_known_to_members(context):
    """Return whether the members know this balancer and have no newer template.

    A ``Welcome`` carries its sender's template version before the template arrives.
    """
    state = context.state
    if state.membership.newest_version() > state.template_version:
        return False
    return state.welcomed and state.membership.known_to_all()


@singledispatch
def receive(message, sender, context):
    """Handle a peer message by its type.

    Raises:
        TypeError: The message has no handler.
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
def on_succession(message: peer.Succession, _sender, context):
    """Handle an announced succession."""
    learn_succession(message, context)


@singledispatch
def fire(timer, context):
    """Handle an expired timer by its type.

    Raises:
        TypeError: The timer has no handler.
    """
    raise TypeError(f"no handler for {type(timer).__name__}")


fire.register(HealthTimer, check_health)
fire.register(ExchangeTimer, on_exchange_timer)
fire.register(DispatcherTimer, on_dispatcher_timer)
fire.register(LeaseTimer, on_lease_timer)
fire.register(ForgetRequest, forget_request)
fire.register(LineTimer, check_line)
fire.register(RegistrationTimer, check_registration)
fire.register(MoveTimer, move_line)
fire.register(IdentityTimer, on_identity_timer)
fire.register(ForgetSuccession, forget_succession)
fire.register(DropStaged, drop_staged)
fire.register(UnknownHomeTimer, on_unknown_home_timer)
fire.register(HomeKnown, on_home_known)
fire.register(UnknownHomeExpired, forget_unknown_home)
