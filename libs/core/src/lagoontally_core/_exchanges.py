"""Exchanges: requests to targets, with dispatch, retries and timeouts."""

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
from ._admission import random_retry_s
from ._dispatch import (
    DISPATCHER_TIMEOUT_MS,
    Outcome,
    dispatcher_of,
    end_placement,
    place_locally,
    record_silent_dispatcher,
    send_place_ask,
)
from ._echo import target_hint
from ._events import ReplyStatus, RequestKind, SendDiscarded
from ._peer_messages import PlaceAsk, Placed, PlaceDone
from ._state import FIRST_PATH, Exchange
from ._step_context import flow_subjects
from ._target_selection import (
    affinity_address,
    candidates,
    record_answer,
    record_failure,
    select_target,
)

IDEMPOTENT_ATTEMPT_MS = 2_000
MIN_REMAINING_MS = 20
RETRY_TOKENS_PER_REQUEST = 0.1
MAX_RETRY_TOKENS = 20.0


class ExchangeTimer(NamedTuple):
    """Timer: an exchange, or its latest attempt, times out."""

    token: bytes


class DispatcherTimer(NamedTuple):
    """Timer: the dispatcher hasn't placed an exchange in time."""

    token: bytes


def host_name(state, service):
    """Return the name by which targets know a service."""
    return f"{service}.{state.info.workspace}"


def start_exchange(context, reply_to, request, *, session=0, key=None, hint=0):
    """Send a request to a target.

    Args:
        context: The step's context.
        reply_to: Where the answer goes.
        request: The request.
        session: The caller's session.
        key: Key of the remembered request, None for an idempotent one.
        hint: The target that the caller's Echo names, 0 for none.

    Returns:
        The exchange, or a ``Refused`` when nothing was sent.
    """
    state = context.state
    limit_ms = min(request.remaining_ms, state.timing.request_timeout_ms)
    if limit_ms < MIN_REMAINING_MS:
        return Refused(0, "the deadline has passed")
    if not candidates(state, reply_to.flow.service, context.now_ms):
        retry_s = random_retry_s(context.random)
        return Refused(retry_s, "no target takes new work")
    _add_retry_tokens(state)
    exchange = Exchange(
        token=context.new_token(),
        kind=request.kind,
        reply_to=reply_to,
        session=session,
        key=key,
        body=request.body,
        started_ms=context.now_ms,
        deadline_ms=context.now_ms + limit_ms,
    )
    _place(exchange, context, hint=hint)
    return exchange


def _place(exchange, context, *, hint=0):
    """Send an exchange to a target, or to the dispatcher for placement."""
    state = context.state
    flow = exchange.reply_to.flow
    dispatcher_id = dispatcher_of(context, flow.service)
    exchange.dispatcher = ""
    if dispatcher_id is None:
        _place_without_dispatcher(exchange, context, hint=hint)
        return
    ask = _make_ask(exchange, context, hint)
    exchange.target = ""
    state.exchanges[exchange.token] = exchange
    if dispatcher_id == state.info.incarnation:
        exchange.dispatcher = state.info.peer_address
        _apply_placement(exchange, place_locally(context, ask), context)
        return
    exchange.dispatcher = send_place_ask(context, dispatcher_id, ask)
    state.timers.add(
        context.now_ms + DISPATCHER_TIMEOUT_MS, DispatcherTimer(exchange.token)
    )
    context.count("dispatch.asked")


def _make_ask(exchange, context, hint):
    flow = exchange.reply_to.flow
    return PlaceAsk(
        exchange.token,
        flow.service,
        int(exchange.kind),
        flow.caller,
        affinity_address(context, flow, hint=hint, tried=exchange.tried),
        list(exchange.tried),
        exchange.deadline_ms - context.now_ms,
    )


def _place_without_dispatcher(exchange, context, *, hint=0):
    flow = exchange.reply_to.flow
    target = select_target(context, flow, hint=hint, tried=exchange.tried)
    if target is None:
        _refuse_unsent(exchange, "no target takes new work", context)
        return
    _send(exchange, target, context)


def on_placed(placed: Placed, sender, context):
    """Handle the dispatcher's placement of an exchange."""
    state = context.state
    exchange = state.exchanges.get(placed.token)
    if exchange is None or exchange.target:
        _report_unused(placed.token, sender, context)
        return
    if _check_still_sendable(exchange, context):
        _apply_placement(exchange, placed, context)


def _apply_placement(exchange, placed, context):
    """Apply a placement if this balancer's template allows the target."""
    if placed.refusal:
        context.count("request.not_admitted")
        exchange.dispatcher = ""
        _refuse_unsent(exchange, placed.refusal, context)
        return
    flow = exchange.reply_to.flow
    usable = candidates(context.state, flow.service, context.now_ms, exchange.tried)
    for target in usable:
        if target.address == placed.target:
            _send(exchange, target, context)
            return
    _report_outcome(exchange, Outcome.UNUSED, context)
    exchange.dispatcher = ""
    _place_without_dispatcher(exchange, context)


def on_dispatcher_timer(timer: DispatcherTimer, context):
    """Place an exchange without the dispatcher when that doesn't answer."""
    exchange = context.state.exchanges.get(timer.token)
    if exchange is None or exchange.target:
        return
    record_silent_dispatcher(context, exchange.reply_to.flow.service)
    exchange.dispatcher = ""
    if _check_still_sendable(exchange, context):
        _place_without_dispatcher(exchange, context)


def _report_unused(token, sender, context):
    record = context.state.membership.records.get(sender)
    if record is not None:
        done = PlaceDone(token, Outcome.UNUSED)
        context.act(SendPeer(record.peer_address, done))


def _check_still_sendable(exchange, context):
    """Return whether an exchange may be sent; refuse it otherwise."""
    reason = _unsendable_reason(exchange, context)
    if reason:
        _refuse_unsent(exchange, reason, context)
    return not reason


def _unsendable_reason(exchange, context):
    """Return why an exchange may not be sent to a target, empty if it may."""
    if exchange.deadline_ms - context.now_ms < MIN_REMAINING_MS:
        return "the deadline has passed"
    if exchange.started_ms < context.state.resumed_ms:
        return "the balancer was paused"
    return ""


def _refuse_unsent(exchange, reason, context):
    """Refuse an exchange that has no attempt in progress."""
    context.state.exchanges.pop(exchange.token, None)
    _report_outcome(exchange, Outcome.UNUSED, context)
    _refuse(exchange, random_retry_s(context.random), reason, context)


def _refuse(exchange, retry_after_s, reason, context):
    """Refuse an exchange, or answer ``Unknown`` if it may have run."""
    if exchange.may_have_run:
        finish(exchange, Unknown(reason), context)
        return
    finish(exchange, Refused(retry_after_s, reason), context)


def _report_outcome(exchange, outcome, context):
    """Report the outcome of an exchange to the dispatcher that placed it."""
    if not exchange.dispatcher:
        return
    if exchange.dispatcher == context.state.info.peer_address:
        end_placement(context, exchange.token, outcome)
        return
    done = PlaceDone(exchange.token, outcome)
    context.act(SendPeer(exchange.dispatcher, done))


def _send(exchange, target, context):
    state = context.state
    exchange.target = target.address
    target.in_flight += 1
    state.exchanges[exchange.token] = exchange
    state.timers.add(
        _attempt_deadline_ms(exchange, context.now_ms), ExchangeTimer(exchange.token)
    )
    host = host_name(state, exchange.reply_to.flow.service)
    remaining_ms = exchange.deadline_ms - context.now_ms
    context.act(
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
    context.note(
        (*flow_subjects(exchange.reply_to.flow, exchange.reply_to.token), target.name),
        f"sent to {target.name}",
        f"{target.in_flight} in flight there, {len(exchange.tried)} tried before",
    )


def _attempt_deadline_ms(exchange, now_ms):
    if exchange.kind is RequestKind.IDEMPOTENT:
        return min(exchange.deadline_ms, now_ms + IDEMPOTENT_ATTEMPT_MS)
    return exchange.deadline_ms


def on_exchange_reply(exchange, reply, context):
    """Handle a target's reply to an exchange."""
    if reply.target != exchange.target:
        context.count("upstream.wrong_source")
        return
    shed = reply.status is ReplyStatus.SHED
    outcome = Outcome.SHED if shed else Outcome.ANSWERED
    target = _release(exchange, outcome, context)
    if target is not None:
        record_answer(target)
    if shed:
        _handle_shed(exchange, reply.retry_after_s, context)
        return
    hint = target_hint(exchange.target)
    finish(exchange, Forwarded(reply.body), context, hint=hint)


def _release(exchange, outcome, context):
    _report_outcome(exchange, outcome, context)
    context.state.exchanges.pop(exchange.token, None)
    target = context.state.targets.get(exchange.target)
    if target is not None:
        target.in_flight -= 1
    return target


def on_send_discarded(event: SendDiscarded, context):
    """Refuse an exchange at once whose latest attempt didn't leave the process."""
    exchange = context.state.exchanges.get(event.token)
    if exchange is None:
        return
    _release(exchange, Outcome.UNUSED, context)
    _refuse(
        exchange, random_retry_s(context.random), "the balancer was paused", context
    )


def _handle_shed(exchange, retry_after_s, context):
    context.count("upstream.shed")
    if _retry_elsewhere(exchange, "the target shed it", context):
        return
    _refuse(exchange, max(1, retry_after_s), "shed by the target", context)


def on_exchange_timer(timer: ExchangeTimer, context):
    """Time out an exchange, or retry an idempotent one on another target."""
    exchange = context.state.exchanges.get(timer.token)
    if exchange is None:
        return
    target = _release(exchange, Outcome.SILENT, context)
    if target is not None:
        record_failure(target, context)
    context.count("upstream.timeout")
    exchange.may_have_run = True
    idempotent = exchange.kind is RequestKind.IDEMPOTENT
    if idempotent and _retry_elsewhere(exchange, "the target didn't answer", context):
        return
    finish(exchange, Unknown("the target didn't answer in time"), context)


def _retry_elsewhere(exchange, reason, context):
    """Send an exchange that wasn't run or is idempotent to another target.

    Returns:
        False when it can't be retried.
    """
    state = context.state
    exchange.tried = (*exchange.tried, exchange.target)
    if _unsendable_reason(exchange, context):
        return False
    service = exchange.reply_to.flow.service
    usable = candidates(state, service, context.now_ms, exchange.tried)
    if not usable or not _take_retry_token(state):
        return False
    context.count("upstream.retry")
    # A late answer to the earlier attempt must not match the retry.
    exchange.token = context.new_token()
    _place(exchange, context)
    subjects = flow_subjects(exchange.reply_to.flow, exchange.reply_to.token)
    context.note(subjects, "retried", reason)
    return True


def _add_retry_tokens(state):
    state.retry_tokens = min(
        MAX_RETRY_TOKENS, state.retry_tokens + RETRY_TOKENS_PER_REQUEST
    )


def _take_retry_token(state):
    if state.retry_tokens < 1.0:
        return False
    state.retry_tokens -= 1.0
    return True


def finish(exchange, answer, context, *, hint=0):
    """Send the final answer of an exchange to its caller."""
    state = context.state
    flow = exchange.reply_to.flow
    echo = b""
    if exchange.key is not None:
        entry = state.remembered.get(exchange.key)
        if entry is not None:
            entry.answer = answer
            entry.exchange = None
        echo = context.fresh_echo(flow.service, exchange.session, hint)
    context.answer(exchange.reply_to, answer, echo)
    kind = exchange.kind.name.lower()
    context.act(RecordLatency(flow.service, kind, context.now_ms - exchange.started_ms))
    _record_outcome(exchange, answer, context)


def _record_outcome(exchange, answer, context):
    outcome = type(answer).__name__.lower()
    context.count(f"request.{exchange.kind.name.lower()}.{outcome}")
    if isinstance(answer, Forwarded):
        return
    subjects = flow_subjects(exchange.reply_to.flow, exchange.reply_to.token)
    context.note(subjects, outcome, answer.reason)
