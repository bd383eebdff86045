"""Requests sent to targets, until they are answered or given up."""

from typing import NamedTuple

from ._actions import (
    Forwarded,
    RecordLatency,
    Refused,
    SendKind,
    SendPeer,
    SendUpstream,
    Unknown,
)
from ._admission import spread_retry_s
from ._choice import (
    candidates,
    choose_target,
    kept_address,
    note_answer,
    note_failure,
)
from ._dispatch import (
    ASK_WAIT_MS,
    Outcome,
    ask_dispatcher,
    dispatcher_of,
    end_place,
    note_silent,
    place_here,
)
from ._echo import target_hint
from ._events import ReplyStatus, RequestKind
from ._peer_messages import PlaceAsk, Placed, PlaceDone
from ._state import FIRST_PATH, Exchange
from ._turn import flow_subjects

IDEMPOTENT_TRY_MS = 2_000
MIN_REMAINING_MS = 20
RETRY_SHARE = 0.1
RETRY_TOKENS_MAX = 20.0


class ExchangeTimer(NamedTuple):
    """Timer: an exchange, or its latest try, is to be given up."""

    token: bytes


class AskTimer(NamedTuple):
    """Timer: the dispatcher should have chosen a target by now."""

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
    if not candidates(state, reply_to.flow.service, turn.now_ms):
        retry_s = spread_retry_s(turn.random)
        return Refused(retry_s, "no target takes new work")
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
    _place(exchange, turn, hint=hint)
    return exchange


def _place(exchange, turn, *, hint=0):
    """Send an exchange to a target, or ask the dispatcher first."""
    state = turn.state
    flow = exchange.reply_to.flow
    named = dispatcher_of(turn, flow.service)
    exchange.dispatcher = ""
    if named is None:
        _place_by_own_view(exchange, turn, hint=hint)
        return
    ask = _make_ask(exchange, turn, hint)
    exchange.target = ""
    state.exchanges[exchange.token] = exchange
    if named == state.info.incarnation:
        exchange.dispatcher = state.info.peer_address
        _follow(exchange, place_here(turn, ask), turn)
        return
    exchange.dispatcher = ask_dispatcher(turn, named, ask)
    state.timers.add(turn.now_ms + ASK_WAIT_MS, AskTimer(exchange.token))
    turn.count("dispatch.asked")


def _make_ask(exchange, turn, hint):
    flow = exchange.reply_to.flow
    return PlaceAsk(
        exchange.token,
        flow.service,
        int(exchange.kind),
        flow.caller,
        kept_address(turn, flow, hint=hint, tried=exchange.tried),
        list(exchange.tried),
        exchange.deadline_ms - turn.now_ms,
    )


def _place_by_own_view(exchange, turn, *, hint=0):
    flow = exchange.reply_to.flow
    target = choose_target(turn, flow, hint=hint, tried=exchange.tried)
    if target is None:
        _give_up_unsent(exchange, "no target takes new work", turn)
        return
    _send(exchange, target, turn)


def on_placed(placed: Placed, sender, turn):
    """Send an exchange where the dispatcher says."""
    state = turn.state
    exchange = state.exchanges.get(placed.token)
    if exchange is None or exchange.target:
        _tell_unused(placed.token, sender, turn)
        return
    if _may_still_be_sent(exchange, turn):
        _follow(exchange, placed, turn)


def _follow(exchange, placed, turn):
    """Do as the dispatcher says, if this balancer's template allows it."""
    if placed.refusal:
        turn.count("request.not_admitted")
        exchange.dispatcher = ""
        _give_up_unsent(exchange, placed.refusal, turn)
        return
    flow = exchange.reply_to.flow
    usable = candidates(turn.state, flow.service, turn.now_ms, exchange.tried)
    for target in usable:
        if target.address == placed.target:
            _send(exchange, target, turn)
            return
    _end_at_dispatcher(exchange, Outcome.UNUSED, turn)
    exchange.dispatcher = ""
    _place_by_own_view(exchange, turn)


def on_ask_timer(timer: AskTimer, turn):
    """Choose by this balancer's own view when the dispatcher is silent."""
    exchange = turn.state.exchanges.get(timer.token)
    if exchange is None or exchange.target:
        return
    note_silent(turn, exchange.reply_to.flow.service)
    exchange.dispatcher = ""
    if _may_still_be_sent(exchange, turn):
        _place_by_own_view(exchange, turn)


def _tell_unused(token, sender, turn):
    record = turn.state.membership.records.get(sender)
    if record is not None:
        done = PlaceDone(token, Outcome.UNUSED)
        turn.act(SendPeer(record.peer_address, done))


def _may_still_be_sent(exchange, turn):
    """Give up an exchange that has waited too long, or through a pause."""
    if exchange.deadline_ms - turn.now_ms < MIN_REMAINING_MS:
        _give_up_unsent(exchange, "the deadline has passed", turn)
        return False
    if exchange.started_ms < turn.state.resumed_ms:
        _give_up_unsent(exchange, "the balancer was paused", turn)
        return False
    return True


def _give_up_unsent(exchange, reason, turn):
    """Answer an exchange of which no try is under way."""
    turn.state.exchanges.pop(exchange.token, None)
    _end_at_dispatcher(exchange, Outcome.UNUSED, turn)
    _refuse(exchange, spread_retry_s(turn.random), reason, turn)


def _refuse(exchange, retry_after_s, reason, turn):
    """Refuse an exchange, unless an earlier try may have run it."""
    if exchange.uncertain:
        finish(exchange, Unknown(reason), turn)
        return
    finish(exchange, Refused(retry_after_s, reason), turn)


def _end_at_dispatcher(exchange, outcome, turn):
    """Tell the dispatcher that chose the target how the exchange ended."""
    if not exchange.dispatcher:
        return
    if exchange.dispatcher == turn.state.info.peer_address:
        end_place(turn, exchange.token, outcome)
        return
    done = PlaceDone(exchange.token, outcome)
    turn.act(SendPeer(exchange.dispatcher, done))


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
    shed = reply.status is ReplyStatus.SHED
    outcome = Outcome.SHED if shed else Outcome.ANSWERED
    target = _release(exchange, outcome, turn)
    if target is not None:
        note_answer(target)
    if shed:
        _after_shed(exchange, reply.retry_after_s, turn)
        return
    hint = target_hint(exchange.target)
    finish(exchange, Forwarded(reply.body), turn, hint=hint)


def _release(exchange, outcome, turn):
    _end_at_dispatcher(exchange, outcome, turn)
    turn.state.exchanges.pop(exchange.token, None)
    target = turn.state.targets.get(exchange.target)
    if target is not None:
        target.in_flight -= 1
    return target


def _after_shed(exchange, retry_after_s, turn):
    turn.count("upstream.shed")
    if _try_elsewhere(exchange, "the target shed it", turn):
        return
    _refuse(exchange, max(1, retry_after_s), "shed by the target", turn)


def on_exchange_timer(timer: ExchangeTimer, turn):
    """Give up an exchange, or try an idempotent one on another target."""
    exchange = turn.state.exchanges.get(timer.token)
    if exchange is None:
        return
    target = _release(exchange, Outcome.SILENT, turn)
    if target is not None:
        note_failure(target, turn)
    turn.count("upstream.timeout")
    exchange.uncertain = True
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
    service = exchange.reply_to.flow.service
    usable = candidates(state, service, turn.now_ms, exchange.tried)
    if not usable or not _spend_retry(state):
        return False
    turn.count("upstream.retry")
    # A new token keeps a late answer to the earlier try apart.
    exchange.token = turn.new_token()
    _place(exchange, turn)
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
