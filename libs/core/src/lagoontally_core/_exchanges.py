"""Requests sent to targets, until they are answered or given up."""

from typing import NamedTuple

from ._actions import Forwarded, RecordLatency, Refused, SendKind, SendUpstream, Unknown
from ._choice import choose_target, note_answer, note_failure
from ._echo import target_hint
from ._events import ReplyStatus, RequestKind
from ._state import FIRST_PATH, Exchange
from ._turn import flow_subjects

IDEMPOTENT_TRY_MS = 2_000
MIN_REMAINING_MS = 20
RETRY_SHARE = 0.1
RETRY_TOKENS_MAX = 20.0
NO_TARGET_RETRY_S = 1


class ExchangeTimer(NamedTuple):
    """Timer: an exchange, or its latest try, is to be given up."""

    token: bytes


def host_name(state, service):
    """Return the name by which targets know a service."""
    return f"{service}.{state.info.workspace}"


def start_exchange(turn, reply_to, request, *, session=0, key=None, hint=0):
    """Send a request to a target.

    Args:
        turn: The step in progress.
        reply_to: Where the answer goes.
        request: The request.
        session: The session that it came in.
        key: Key of the remembered request, None for an idempotent one.
        hint: The target that the caller's Echo names, 0 for none.

    Returns:
        The exchange, or a ``Refused`` when nothing was sent.
    """
    state = turn.state
    limit_ms = min(request.remaining_ms, state.timing.request_timeout_ms)
    if limit_ms < MIN_REMAINING_MS:
        return Refused(0, "the deadline has passed")
    target = choose_target(turn, reply_to.flow, hint=hint)
    if target is None:
        return Refused(NO_TARGET_RETRY_S, "no target takes new work")
    _earn_retry(state)
    exchange = Exchange(
        token=turn.new_token(),
        kind=request.kind,
        reply_to=reply_to,
        session=session,
        key=key,
        body=request.body,
        started_ms=turn.now_ms,
        deadline_ms=turn.now_ms + limit_ms,
    )
    _send(exchange, target, turn)
    return exchange


def _send(exchange, target, turn):
    state = turn.state
    exchange.target = target.address
    target.in_flight += 1
    state.exchanges[exchange.token] = exchange
    state.timers.add(
        _try_until_ms(exchange, turn.now_ms), ExchangeTimer(exchange.token)
    )
    host = host_name(state, exchange.reply_to.flow.service)
    remaining_ms = exchange.deadline_ms - turn.now_ms
    turn.act(
        SendUpstream(
            exchange.target,
            FIRST_PATH,
            exchange.token,
            SendKind.REQUEST,
            host,
            remaining_ms,
            exchange.body,
        )
    )
    turn.note(
        (*flow_subjects(exchange.reply_to.flow, exchange.reply_to.token), target.name),
        f"sent to {target.name}",
        f"{target.in_flight} in flight there, {len(exchange.tried)} tried before",
    )


def _try_until_ms(exchange, now_ms):
    if exchange.kind is RequestKind.IDEMPOTENT:
        return min(exchange.deadline_ms, now_ms + IDEMPOTENT_TRY_MS)
    return exchange.deadline_ms


def on_exchange_reply(exchange, reply, turn):
    """Take a target's reply to an exchange."""
    if reply.target != exchange.target:
        turn.count("upstream.wrong_source")
        return
    target = _release(exchange, turn)
    if target is not None:
        note_answer(target)
    if reply.status is ReplyStatus.SHED:
        _after_shed(exchange, reply.retry_after_s, turn)
        return
    hint = target_hint(exchange.target)
    finish(exchange, Forwarded(reply.body), turn, hint=hint)


def _release(exchange, turn):
    turn.state.exchanges.pop(exchange.token, None)
    target = turn.state.targets.get(exchange.target)
    if target is not None:
        target.in_flight -= 1
    return target


def _after_shed(exchange, retry_after_s, turn):
    turn.count("upstream.shed")
    if _try_elsewhere(exchange, "the target shed it", turn):
        return
    finish(exchange, Refused(max(1, retry_after_s), "shed by the target"), turn)


def on_exchange_timer(timer: ExchangeTimer, turn):
    """Give up an exchange, or try an idempotent one on another target."""
    exchange = turn.state.exchanges.get(timer.token)
    if exchange is None:
        return
    target = _release(exchange, turn)
    if target is not None:
        note_failure(target, turn)
    turn.count("upstream.timeout")
    idempotent = exchange.kind is RequestKind.IDEMPOTENT
    if idempotent and _try_elsewhere(exchange, "the target didn't answer", turn):
        return
    finish(exchange, Unknown("the target didn't answer in time"), turn)


def _try_elsewhere(exchange, reason, turn):
    """Send an exchange that wasn't run, or may be repeated, to another target."""
    state = turn.state
    exchange.tried = (*exchange.tried, exchange.target)
    if exchange.deadline_ms - turn.now_ms < MIN_REMAINING_MS:
        return False
    target = choose_target(turn, exchange.reply_to.flow, tried=exchange.tried)
    if target is None or not _spend_retry(state):
        return False
    turn.count("upstream.retry")
    # A new token keeps a late answer to the earlier try apart.
    exchange.token = turn.new_token()
    _send(exchange, target, turn)
    subjects = flow_subjects(exchange.reply_to.flow, exchange.reply_to.token)
    turn.note(subjects, "retried", reason)
    return True


def _earn_retry(state):
    state.retry_tokens = min(RETRY_TOKENS_MAX, state.retry_tokens + RETRY_SHARE)


def _spend_retry(state):
    if state.retry_tokens < 1.0:
        return False
    state.retry_tokens -= 1.0
    return True


def finish(exchange, answer, turn, *, hint=0):
    """Give an exchange its final answer."""
    state = turn.state
    flow = exchange.reply_to.flow
    echo = b""
    if exchange.key is not None:
        entry = state.remembered.get(exchange.key)
        if entry is not None:
            entry.answer = answer
            entry.exchange = None
        echo = turn.fresh_echo(flow.service, exchange.session, hint)
    turn.answer(exchange.reply_to, answer, echo)
    kind = exchange.kind.name.lower()
    turn.act(RecordLatency(flow.service, kind, turn.now_ms - exchange.started_ms))
    _note_outcome(exchange, answer, turn)


def _note_outcome(exchange, answer, turn):
    outcome = type(answer).__name__.lower()
    turn.count(f"request.{exchange.kind.name.lower()}.{outcome}")
    if isinstance(answer, Forwarded):
        return
    subjects = flow_subjects(exchange.reply_to.flow, exchange.reply_to.token)
    turn.note(subjects, outcome, answer.reason)
