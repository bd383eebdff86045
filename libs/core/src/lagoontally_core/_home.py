"""The home of a flow: runs what must run at most once, and remembers it."""

from hashlib import blake2b
from typing import NamedTuple

from lagoontally_model import REMEMBER_MARGIN_MS

from ._actions import NeedEcho, Refused, SendPeer, Unknown
from ._echo import echo_is_genuine
from ._events import RequestKind
from ._exchanges import start_exchange
from ._lines import close_caller_line, open_line
from ._peer_messages import RelayFresh
from ._state import Exchange, Phase, Remembered
from ._turn import flow_subjects, reply_to_request

KEY_BYTES = 16
REMEMBERED_LIMIT = 200_000
LEAVING_RETRY_S = 1


class ForgetRequest(NamedTuple):
    """Timer: no copy of a remembered request can arrive any more."""

    key: bytes


class Standing(NamedTuple):
    """How an Echo of this balancer, or of one it inherited from, is judged.

    Attributes:
        session: The session that it names.
        target_hint: The target that it names.
        echo_key: The key that it must have been issued under.
        age_ms: How long ago it was issued.
        inherited: True when another balancer issued it.
    """

    session: int
    target_hint: int
    echo_key: bytes
    age_ms: int
    inherited: bool


def request_key(service, body):
    """Return the key of a request: equal only for copies of one datagram.

    The caller's address is no part of it, since it may change between copies;
    the datagram holds its Echo, so that two callers never share one.
    """
    digest = blake2b(service.encode(), digest_size=KEY_BYTES)
    digest.update(body)
    return digest.digest()


def forget_request(timer: ForgetRequest, turn):
    """Drop a remembered request."""
    turn.state.remembered.pop(timer.key, None)


def ask_echo(flow, request, reason, turn, *, session=None):
    """Answer that nothing was run and that the Echo given is to be returned.

    Safe for every request that this balancer hasn't run and never will run
    under the Echo, if any, that it came with.
    """
    if turn.state.phase is Phase.SERVING:
        if session is None:
            session = turn.new_session()
        echo = turn.fresh_echo(flow.service, session)
        turn.answer(reply_to_request(flow, request), NeedEcho(reason), echo)
        turn.count("echo.asked")
        return
    pass_on(flow, request, turn)


def pass_on(flow, request, turn):
    """Hand a request that this balancer won't run to a peer, to start afresh."""
    alive = turn.state.membership.alive()
    if alive:
        peer = turn.random.choice(alive)
        turn.act(SendPeer(peer.peer_address, RelayFresh(flow, request)))
        turn.count("request.passed_on")
        return
    answer = Refused(LEAVING_RETRY_S, "the balancer is leaving")
    turn.answer(reply_to_request(flow, request), answer)


def serve_at_home(flow, request, standing, turn):
    """Serve a request whose Echo names this balancer or one it inherited from.

    Args:
        flow: The caller's endpoint and service.
        request: The request.
        standing: How its Echo is judged.
        turn: The step in progress.
    """
    if not echo_is_genuine(request.echo, flow.service, standing.echo_key):
        turn.count("echo.forged")
        ask_echo(flow, request, "the Echo isn't genuine", turn)
        return
    if request.kind is RequestKind.COMMAND:
        _serve_command(flow, request, standing, turn)
    elif request.kind is RequestKind.LINE_OPEN:
        _serve_line(flow, request, standing, turn)
    else:
        close_caller_line(flow, request, standing.session, turn)


def _serve_command(flow, request, standing, turn):
    key = request_key(flow.service, request.body)
    entry = turn.state.remembered.get(key)
    if entry is not None:
        _answer_again(entry, flow, request, turn)
        return
    timing = turn.state.timing
    if standing.age_ms > timing.remember_ms - REMEMBER_MARGIN_MS:
        reason = "the Echo is older than what is remembered"
        _answer_unknown(flow, request, reason, turn, session=standing.session)
        return
    if standing.inherited or standing.age_ms > timing.echo_life_ms:
        reason = "the Echo has expired"
        ask_echo(flow, request, reason, turn, session=standing.session)
        return
    if turn.state.phase is not Phase.SERVING:
        pass_on(flow, request, turn)
        return
    _run_command(flow, request, key, standing, turn)


def _answer_again(entry, flow, request, turn):
    turn.count("request.repeated")
    reply_to = reply_to_request(flow, request)
    if entry.answer is not None:
        echo = turn.fresh_echo(flow.service, entry.session)
        turn.answer(reply_to, entry.answer, echo)
    elif isinstance(entry.exchange, Exchange):
        entry.exchange.reply_to = reply_to


def _answer_unknown(flow, request, reason, turn, *, session=None):
    turn.count("request.command.unknown")
    turn.note(flow_subjects(flow, request.token), "unknown", reason)
    echo = b""
    if turn.state.phase is Phase.SERVING:
        session = turn.new_session() if session is None else session
        echo = turn.fresh_echo(flow.service, session)
    turn.answer(reply_to_request(flow, request), Unknown(reason), echo)


def answer_lost_home(flow, request, turn):
    """Answer a request whose home is gone: it may have been run there."""
    if request.kind is RequestKind.COMMAND:
        _answer_unknown(flow, request, "the home of the flow is gone", turn)
        return
    ask_echo(flow, request, "the home of the flow is gone", turn)


def _run_command(flow, request, key, standing, turn):
    state = turn.state
    if len(state.remembered) >= REMEMBERED_LIMIT:
        # A refusal would have to be remembered too, or a copy might still run.
        reason = "too many requests are remembered"
        _answer_unknown(flow, request, reason, turn, session=standing.session)
        return
    entry = state.remembered[key] = Remembered(standing.session)
    due_ms = turn.now_ms + state.timing.remember_ms
    state.timers.add(due_ms, ForgetRequest(key))
    reply_to = reply_to_request(flow, request)
    started = start_exchange(
        turn,
        reply_to,
        request,
        session=standing.session,
        key=key,
        hint=standing.target_hint,
    )
    if isinstance(started, Exchange):
        entry.exchange = started
        return
    entry.answer = started
    turn.count("request.command.refused")
    turn.note(flow_subjects(flow, request.token), "refused", started.reason)
    echo = turn.fresh_echo(flow.service, standing.session)
    turn.answer(reply_to, started, echo)


def _serve_line(flow, request, standing, turn):
    session = standing.session
    known = (session, request.token) in turn.state.lines
    if standing.age_ms > turn.state.timing.echo_life_ms and not known:
        ask_echo(flow, request, "the Echo has expired", turn, session=session)
        return
    if known or turn.state.phase is Phase.SERVING:
        open_line(flow, request, session, turn)
        return
    pass_on(flow, request, turn)
