"""Home of a flow: runs commands at most once and remembers their answers."""

from hashlib import blake2b
from typing import NamedTuple

from lagoontally_model import REMEMBER_MARGIN_MS

from ._actions import NeedEcho, Refused, SendPeer, Unknown
from ._echo import echo_is_authentic
from ._events import RequestKind
from ._exchanges import start_exchange
from ._lines import close_caller_line, open_line
from ._peer_messages import RelayFresh
from ._state import Exchange, Phase, RememberedRequest
from ._step_context import flow_subjects, reply_to_request

KEY_BYTES = 16
MAX_REMEMBERED_REQUESTS = 200_000
LEAVING_RETRY_S = 1


class ForgetRequest(NamedTuple):
    """Timer: a remembered request expires, as no copy can arrive any more."""

    key: bytes


class EchoValidation(NamedTuple):
    """What an Echo of this balancer, or of a predecessor, is checked against.

    Attributes:
        session: The session in the Echo.
        target_hint: The target hint in the Echo.
        echo_key: The key that it must have been issued under.
        age_ms: How long ago it was issued.
        inherited: True when a predecessor issued it.
    """

    session: int
    target_hint: int
    echo_key: bytes
    age_ms: int
    inherited: bool


def request_key(service, body):
    """Return the key of a request: equal only for copies of one datagram.

    The caller's address isn't part of it, since it may change between copies.
    The datagram contains its Echo, so that two callers never share a key.
    """
    digest = blake2b(service.encode(), digest_size=KEY_BYTES)
    digest.update(body)
    return digest.digest()


def forget_request(timer: ForgetRequest, context):
    """Delete an expired remembered request."""
    context.state.remembered.pop(timer.key, None)


def answer_need_echo(flow, request, reason, context, *, session=None):
    """Answer that the request wasn't run and must be repeated with a new Echo.

    Only for requests that this balancer hasn't run and never will run under
    the Echo, if any, that they came with.
    """
    if context.state.phase is Phase.SERVING:
        if session is None:
            session = context.new_session()
        echo = context.fresh_echo(flow.service, session)
        context.answer(reply_to_request(flow, request), NeedEcho(reason), echo)
        context.count("echo.asked")
        return
    relay_to_any_peer(flow, request, context)


def relay_to_any_peer(flow, request, context):
    """Relay a request that this balancer won't run to a random live peer."""
    alive = context.state.membership.alive()
    if alive:
        peer = context.random.choice(alive)
        context.act(SendPeer(peer.peer_address, RelayFresh(flow, request)))
        context.count("request.passed_on")
        return
    answer = Refused(LEAVING_RETRY_S, "the balancer is leaving")
    context.answer(reply_to_request(flow, request), answer)


def serve_at_home(flow, request, validation, context):
    """Serve a request whose Echo names this balancer or a predecessor.

    Args:
        flow: The caller's endpoint and service.
        request: The request.
        validation: What its Echo is checked against.
        context: The step's context.
    """
    if not echo_is_authentic(request.echo, flow.service, validation.echo_key):
        context.count("echo.forged")
        answer_need_echo(flow, request, "the Echo isn't genuine", context)
        return
    if request.kind is RequestKind.COMMAND:
        _serve_command(flow, request, validation, context)
    elif request.kind is RequestKind.LINE_OPEN:
        _serve_line(flow, request, validation, context)
    else:
        close_caller_line(flow, request, validation.session, context)


def _serve_command(flow, request, validation, context):
    key = request_key(flow.service, request.body)
    entry = context.state.remembered.get(key)
    if entry is not None:
        _answer_duplicate(entry, flow, request, context)
        return
    timing = context.state.timing
    if validation.age_ms > timing.remember_ms - REMEMBER_MARGIN_MS:
        reason = "the Echo is older than what is remembered"
        _answer_unknown(flow, request, reason, context, session=validation.session)
        return
    if validation.inherited or validation.age_ms > timing.echo_life_ms:
        reason = "the Echo has expired"
        answer_need_echo(flow, request, reason, context, session=validation.session)
        return
    if context.state.phase is not Phase.SERVING:
        relay_to_any_peer(flow, request, context)
        return
    _run_command(flow, request, key, validation, context)


def _answer_duplicate(entry, flow, request, context):
    context.count("request.repeated")
    reply_to = reply_to_request(flow, request)
    if entry.answer is not None:
        echo = context.fresh_echo(flow.service, entry.session)
        context.answer(reply_to, entry.answer, echo)
    elif isinstance(entry.exchange, Exchange):
        entry.exchange.reply_to = reply_to


def _answer_unknown(flow, request, reason, context, *, session=None):
    context.count("request.command.unknown")
    context.note(flow_subjects(flow, request.token), "unknown", reason)
    echo = b""
    if context.state.phase is Phase.SERVING:
        session = context.new_session() if session is None else session
        echo = context.fresh_echo(flow.service, session)
    context.answer(reply_to_request(flow, request), Unknown(reason), echo)


def answer_lost_home(flow, request, context):
    """Answer a request whose home is gone and may have run it."""
    if request.kind is RequestKind.COMMAND:
        _answer_unknown(flow, request, "the home of the flow is gone", context)
        return
    answer_need_echo(flow, request, "the home of the flow is gone", context)


def _run_command(flow, request, key, validation, context):
    state = context.state
    if len(state.remembered) >= MAX_REMEMBERED_REQUESTS:
        # A refusal would have to be remembered too: a copy might run later.
        reason = "too many requests are remembered"
        _answer_unknown(flow, request, reason, context, session=validation.session)
        return
    entry = state.remembered[key] = RememberedRequest(validation.session)
    due_ms = context.now_ms + state.timing.remember_ms
    state.timers.add(due_ms, ForgetRequest(key))
    reply_to = reply_to_request(flow, request)
    started = start_exchange(
        context,
        reply_to,
        request,
        session=validation.session,
        key=key,
        hint=validation.target_hint,
    )
    if isinstance(started, Exchange):
        entry.exchange = started
        return
    entry.answer = started
    context.count("request.command.refused")
    context.note(flow_subjects(flow, request.token), "refused", started.reason)
    echo = context.fresh_echo(flow.service, validation.session)
    context.answer(reply_to, started, echo)


def _serve_line(flow, request, validation, context):
    session = validation.session
    known = (session, request.token) in context.state.lines
    if validation.age_ms > context.state.timing.echo_life_ms and not known:
        answer_need_echo(
            flow, request, "the Echo has expired", context, session=session
        )
        return
    if known or context.state.phase is Phase.SERVING:
        open_line(flow, request, session, context)
        return
    relay_to_any_peer(flow, request, context)
