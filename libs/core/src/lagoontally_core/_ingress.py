"""Ingress: handles callers' packets that arrive at any balancer."""

from ._actions import Refused, SendPeer
from ._admission import random_retry_s
from ._echo import decode_echo
from ._events import CallerAck, CallerRequest, CallerReset, Flow, RequestKind
from ._exchanges import start_exchange
from ._home import (
    LEAVING_RETRY_S,
    EchoValidation,
    answer_lost_home,
    answer_need_echo,
    relay_to_any_peer,
    serve_at_home,
)
from ._member_status import MemberStatus
from ._notifications import (
    COUNTER_BITS,
    home_slot,
    on_line_ack,
    on_line_reset,
)
from ._peer_messages import Ping, Relay, RelayAck, RelayFresh
from ._probing import NO_PROBE, own_record
from ._state import Phase
from ._step_context import flow_subjects, reply_to_request
from ._succession import is_successor_in_chain, resolve_home
from ._templates import read_newer_template
from ._unknown_homes import (
    HomeKnown,
    UnknownHomeTimer,
    hold_for_unknown_home,
    take_held_requests,
)


def accepts_requests(context):
    """Return whether requests are served now.

    A joining balancer serves none, nor does one whose view is stale.
    """
    if context.state.phase in (Phase.JOINING, Phase.LEFT):
        return False
    return context.view_is_fresh()


def on_caller_request(event: CallerRequest, context):
    """Serve a caller's request here, or relay it to the home of its flow."""
    flow, request = event
    if not accepts_requests(context):
        context.count("request.dropped_not_serving")
        return
    if flow.service not in context.state.service_targets:
        # A balancer with a newer template may run another copy of it.
        context.count("request.dropped_no_service")
        return
    if request.kind is RequestKind.IDEMPOTENT:
        _serve_idempotent(flow, request, context)
        return
    _route_to_home(flow, request, context)


def refuse_late(event: CallerRequest, context):
    """Refuse a request that was queued for too long.

    Serving it would delay the requests queued behind it, until none is answered
    in time. A command with an Echo is dropped: only its home may refuse it, and
    its caller retransmits it.
    """
    flow, request = event
    context.count("request.late")
    if request.kind is RequestKind.COMMAND and request.echo:
        return
    if accepts_requests(context):
        answer = Refused(random_retry_s(context.random), "the balancer is overloaded")
        context.answer(reply_to_request(flow, request), answer)


def _serve_idempotent(flow, request, context):
    if context.state.phase is not Phase.SERVING:
        relay_to_any_peer(flow, request, context)
        return
    reply_to = reply_to_request(flow, request)
    echo = decode_echo(request.echo)
    hint = echo.target_hint if echo else 0
    started = start_exchange(context, reply_to, request, hint=hint)
    if isinstance(started, Refused):
        context.count("request.idempotent.refused")
        context.note(flow_subjects(flow, request.token), "refused", started.reason)
        context.answer(reply_to, started)


def _route_to_home(flow, request, context):
    state = context.state
    echo = decode_echo(request.echo)
    if echo is None:
        answer_need_echo(flow, request, "the request needs an Echo", context)
        return
    read_newer_template(echo.template_version, context)
    home = resolve_home(state, echo.home, echo.session)
    if home == state.info.incarnation:
        _serve_as_home(flow, request, echo, context)
    elif home is not None:
        _relay(home, flow, request, context)
    elif _was_known(state, echo.home) or not hold_for_unknown_home(
        echo.home, flow, request, context
    ):
        answer_lost_home(flow, request, context)


def _was_known(state, incarnation):
    return incarnation in state.membership.records or incarnation in state.successions


def on_unknown_home_timer(timer: UnknownHomeTimer, context):
    """Answer the requests whose home no member knew in time."""
    for flow, request in take_held_requests(timer.incarnation, context):
        answer_lost_home(flow, request, context)


def on_home_known(release: HomeKnown, context):
    """Route the requests that waited for this home."""
    for flow, request in take_held_requests(release.incarnation, context):
        _route_to_home(flow, request, context)


def _relay(home, flow, request, context):
    record = context.state.membership.records[home]
    context.count("request.relayed")
    context.act(
        SendPeer(record.peer_address, Relay(home, record.pause_count, flow, request))
    )


def _serve_as_home(flow, request, echo, context):
    """Serve a request as its home, or as the successor of its home."""
    validation = _echo_validation(echo, context)
    if validation is None:
        answer_lost_home(flow, request, context)
        return
    serve_at_home(flow, request, validation, context)


def _echo_validation(echo, context):
    state = context.state
    if echo.home == state.info.incarnation:
        age_ms = context.now_ms - echo.issued_ms
        return EchoValidation(
            echo.session, echo.target_hint, state.info.echo_key, age_ms, False
        )
    origin = state.origins.get(echo.home)
    if origin is None or not is_successor_in_chain(state, echo.home, echo.session):
        return None
    age_ms = origin.clock_at(context.now_ms) - echo.issued_ms
    return EchoValidation(echo.session, echo.target_hint, origin.echo_key, age_ms, True)


def on_relay(relay: Relay, sender, context):
    """Serve a relayed request as its home.

    A relay with an earlier pause count is discarded. Only a balancer that has
    announced its succession relays further, so that balancers with different
    views can't relay a request in a loop.
    """
    state = context.state
    if relay.home != state.info.incarnation:
        context.count("relay.misdirected")
        return
    if relay.pause_count != state.pause_count:
        context.count("relay.before_pause")
        _send_own_record(sender, context)
        return
    if not accepts_requests(context):
        context.count("request.dropped_not_serving")
        return
    echo = decode_echo(relay.request.echo)
    if echo is None:
        context.count("relay.misdirected")
        return
    home = resolve_home(state, echo.home, echo.session)
    if home == state.info.incarnation:
        _serve_as_home(relay.flow, relay.request, echo, context)
    elif state.info.incarnation in state.successions and home is not None:
        _relay(home, relay.flow, relay.request, context)
    else:
        context.count("relay.misdirected")


def _send_own_record(sender, context):
    """Send this balancer's record, with its pause count, to an ingress."""
    record = context.state.membership.records.get(sender)
    if record is not None:
        ping = Ping(NO_PROBE, own_record(context), [], [])
        context.act(SendPeer(record.peer_address, ping))


def on_relay_fresh(message: RelayFresh, _sender, context):
    """Serve a request that a leaving balancer didn't run."""
    flow, request = message
    state = context.state
    if state.phase is not Phase.SERVING or not accepts_requests(context):
        answer = Refused(LEAVING_RETRY_S, "the balancer is leaving")
        context.answer(reply_to_request(flow, request), answer)
        return
    if request.kind is RequestKind.IDEMPOTENT:
        _serve_idempotent(flow, request, context)
        return
    answer_need_echo(flow, request, "the home of the flow is leaving", context)


def on_caller_ack(event: CallerAck, context):
    """Route a caller's acknowledgement to the home of its line."""
    _route_to_line(event.flow, event.message_id, False, context)


def on_caller_reset(event: CallerReset, context):
    """Route a caller's reset to the home of its line."""
    _route_to_line(event.flow, event.message_id, True, context)


def _route_to_line(flow: Flow, message_id, reset, context):
    """Send to each balancer whose home slot is in the message id."""
    slot = message_id >> COUNTER_BITS
    if slot == home_slot(context.state.info.incarnation):
        _apply_to_line(flow, message_id, reset, context)
    message = RelayAck(flow, message_id, reset)
    for record in context.state.membership.records.values():
        if record.status > MemberStatus.SUSPECT:
            continue
        if home_slot(record.incarnation) == slot:
            context.act(SendPeer(record.peer_address, message))


def on_relay_ack(message: RelayAck, _sender, context):
    """Apply a relayed acknowledgement or reset."""
    _apply_to_line(message.flow, message.message_id, message.reset, context)


def _apply_to_line(flow, message_id, reset, context):
    if reset:
        on_line_reset(flow, message_id, context)
    else:
        on_line_ack(flow, message_id, context)
