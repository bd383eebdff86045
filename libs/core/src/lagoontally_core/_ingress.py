"""Ingress: what any balancer does with a packet that it happens to get."""

from ._actions import Refused, SendPeer
from ._admission import spread_retry_s
from ._echo import decode_echo
from ._events import CallerAck, CallerRequest, CallerReset, Flow, RequestKind
from ._exchanges import start_exchange
from ._home import (
    LEAVING_RETRY_S,
    Standing,
    answer_lost_home,
    ask_echo,
    pass_on,
    serve_at_home,
)
from ._members import MemberStatus
from ._notifications import (
    COUNTER_BITS,
    message_slot,
    on_line_ack,
    on_line_reset,
)
from ._peer_messages import Ping, Relay, RelayAck, RelayFresh
from ._probing import NO_PROBE, own_record
from ._state import Phase
from ._strangers import (
    StrangerKnown,
    StrangerTimer,
    hold_for_stranger,
    take_held,
)
from ._succession import is_successor_in_chain, resolve_home
from ._templates import read_newer_template
from ._turn import flow_subjects, reply_to_request


def takes_requests(turn):
    """Tell whether requests are served now.

    A joining balancer serves none, nor does one whose view is old.
    """
    if turn.state.phase in (Phase.JOINING, Phase.LEFT):
        return False
    return turn.view_is_fresh()


def on_caller_request(event: CallerRequest, turn):
    """Serve a caller's request here, or relay it to the home of its flow."""
    flow, request = event
    if not takes_requests(turn):
        turn.count("request.dropped_not_serving")
        return
    if flow.service not in turn.state.service_targets:
        # Its template may be newer elsewhere, where a copy may be run.
        turn.count("request.dropped_no_service")
        return
    if request.kind is RequestKind.IDEMPOTENT:
        _serve_idempotent(flow, request, turn)
        return
    _route_to_home(flow, request, turn)


def refuse_late(event: CallerRequest, turn):
    """Refuse a request that waited here for too long; more wait behind it.

    Working on it would make the others late too, until none is answered in
    time. A command with an Echo is dropped as if it had been lost: only its home
    may refuse it, and its caller repeats it.
    """
    flow, request = event
    turn.count("request.late")
    if request.kind is RequestKind.COMMAND and request.echo:
        return
    if takes_requests(turn):
        answer = Refused(spread_retry_s(turn.random), "the balancer is overloaded")
        turn.answer(reply_to_request(flow, request), answer)


def _serve_idempotent(flow, request, turn):
    if turn.state.phase is not Phase.SERVING:
        pass_on(flow, request, turn)
        return
    reply_to = reply_to_request(flow, request)
    echo = decode_echo(request.echo)
    hint = echo.target_hint if echo else 0
    started = start_exchange(turn, reply_to, request, hint=hint)
    if isinstance(started, Refused):
        turn.count("request.idempotent.refused")
        turn.note(flow_subjects(flow, request.token), "refused", started.reason)
        turn.answer(reply_to, started)


def _route_to_home(flow, request, turn):
    state = turn.state
    echo = decode_echo(request.echo)
    if echo is None:
        ask_echo(flow, request, "the request needs an Echo", turn)
        return
    read_newer_template(echo.template_version, turn)
    home = resolve_home(state, echo.home, echo.session)
    if home == state.info.incarnation:
        _judge(flow, request, echo, turn)
    elif home is not None:
        _relay(home, flow, request, turn)
    elif _was_known(state, echo.home) or not hold_for_stranger(
        echo.home, flow, request, turn
    ):
        answer_lost_home(flow, request, turn)


def _was_known(state, incarnation):
    return incarnation in state.membership.records or incarnation in state.successions


def on_stranger_timer(timer: StrangerTimer, turn):
    """Give up requests whose home no member could name."""
    for flow, request in take_held(timer.incarnation, turn):
        answer_lost_home(flow, request, turn)


def on_stranger_known(release: StrangerKnown, turn):
    """Route the requests that waited for a balancer to become known."""
    for flow, request in take_held(release.incarnation, turn):
        _route_to_home(flow, request, turn)


def _relay(home, flow, request, turn):
    record = turn.state.membership.records[home]
    turn.count("request.relayed")
    turn.act(
        SendPeer(record.peer_address, Relay(home, record.pause_count, flow, request))
    )


def _judge(flow, request, echo, turn):
    """Serve a request as its home, or as the heir of its home."""
    standing = _standing(echo, turn)
    if standing is None:
        answer_lost_home(flow, request, turn)
        return
    serve_at_home(flow, request, standing, turn)


def _standing(echo, turn):
    state = turn.state
    if echo.home == state.info.incarnation:
        age_ms = turn.now_ms - echo.issued_ms
        return Standing(
            echo.session, echo.target_hint, state.info.echo_key, age_ms, False
        )
    origin = state.origins.get(echo.home)
    if origin is None or not is_successor_in_chain(state, echo.home, echo.session):
        return None
    age_ms = origin.clock_at(turn.now_ms) - echo.issued_ms
    return Standing(echo.session, echo.target_hint, origin.echo_key, age_ms, True)


def on_relay(relay: Relay, sender, turn):
    """Serve a relayed request as its home; a relay to an earlier wake is void.

    Only a balancer that has announced its succession relays further, so that
    balancers with different views never pass a request round.
    """
    state = turn.state
    if relay.home != state.info.incarnation:
        turn.count("relay.misdirected")
        return
    if relay.pause_count != state.pause_count:
        turn.count("relay.before_pause")
        _tell_own_record(sender, turn)
        return
    if not takes_requests(turn):
        turn.count("request.dropped_not_serving")
        return
    echo = decode_echo(relay.request.echo)
    if echo is None:
        turn.count("relay.misdirected")
        return
    home = resolve_home(state, echo.home, echo.session)
    if home == state.info.incarnation:
        _judge(relay.flow, relay.request, echo, turn)
    elif state.info.incarnation in state.successions and home is not None:
        _relay(home, relay.flow, relay.request, turn)
    else:
        turn.count("relay.misdirected")


def _tell_own_record(sender, turn):
    """Tell an ingress of this balancer's latest pause."""
    record = turn.state.membership.records.get(sender)
    if record is not None:
        ping = Ping(NO_PROBE, own_record(turn), [], [])
        turn.act(SendPeer(record.peer_address, ping))


def on_relay_fresh(message: RelayFresh, _sender, turn):
    """Serve a request that a leaving balancer won't run."""
    flow, request = message
    state = turn.state
    if state.phase is not Phase.SERVING or not takes_requests(turn):
        answer = Refused(LEAVING_RETRY_S, "the balancer is leaving")
        turn.answer(reply_to_request(flow, request), answer)
        return
    if request.kind is RequestKind.IDEMPOTENT:
        _serve_idempotent(flow, request, turn)
        return
    ask_echo(flow, request, "the home of the flow is leaving", turn)


def on_caller_ack(event: CallerAck, turn):
    """Take a caller's acknowledgement to the home of its line."""
    _take_to_line(event.flow, event.message_id, False, turn)


def on_caller_reset(event: CallerReset, turn):
    """Take a caller's reset to the home of its line."""
    _take_to_line(event.flow, event.message_id, True, turn)


def _take_to_line(flow: Flow, message_id, reset, turn):
    """Find the homes whose message ids have this slot, and tell each."""
    slot = message_id >> COUNTER_BITS
    if slot == message_slot(turn.state.info.incarnation):
        _apply_to_line(flow, message_id, reset, turn)
    message = RelayAck(flow, message_id, reset)
    for record in turn.state.membership.records.values():
        if record.status > MemberStatus.SUSPECT:
            continue
        if message_slot(record.incarnation) == slot:
            turn.act(SendPeer(record.peer_address, message))


def on_relay_ack(message: RelayAck, _sender, turn):
    """Apply a relayed acknowledgement or reset."""
    _apply_to_line(message.flow, message.message_id, message.reset, turn)


def _apply_to_line(flow, message_id, reset, turn):
    if reset:
        on_line_reset(flow, message_id, turn)
    else:
        on_line_ack(flow, message_id, turn)
