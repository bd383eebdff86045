"""Lines: registered at targets by their home, renewed by their callers."""

from typing import NamedTuple

from ._actions import Forwarded, Refused
from ._events import ReplyStatus
from ._exchanges import start_exchange
from ._notifications import SEQUENCE_BITS, next_sequence, notify
from ._registrations import (
    answer_registration,
    drop_line,
    drop_replacement,
    index_flow,
    is_leaving,
    promote_replacement,
    register,
    register_elsewhere,
    register_replacement,
    unindex_flow,
)
from ._state import Line
from ._step_context import reply_to_request
from ._target_selection import record_answer

MOVE_JITTER_MS = 2_000
MS_PER_S = 1_000


class LineTimer(NamedTuple):
    """Timer: check a line's lease and its target."""

    session: int
    token: bytes


class MoveTimer(NamedTuple):
    """Timer: move a line whose target is leaving to another target."""

    session: int
    token: bytes


def open_line(flow, request, session, context):
    """Open a line, or renew an open one."""
    state = context.state
    line = state.lines.get((session, request.token))
    if line is None:
        line = _add_line(flow, session, request.token, request.body, context)
        context.count("line.opened")
    line.body = request.body
    line.lease_until_ms = context.now_ms + state.timing.line_lease_ms
    line.pending_reply = reply_to_request(flow, request)
    _update_caller(line, flow, context)
    if line.upstream_token and not is_leaving(line, state):
        register(line, line.target, line.path, line.upstream_token, context)
        return
    if line.replacement is None:
        register_elsewhere(line, (), context)


def adopt_line(record, context):
    """Adopt a line of a balancer that has left."""
    state = context.state
    if (record.session, record.token) in state.lines:
        return
    line = _add_line(record.flow, record.session, record.token, record.body, context)
    line.sequence = record.sequence
    line.lease_until_ms = context.now_ms + record.remaining_ms
    context.count("line.adopted")
    target = state.targets.get(record.target)
    if target is None or target.leaving:
        register_elsewhere(line, (), context)
        return
    register_replacement(line, target, context)


def _add_line(flow, session, token, body, context):
    state = context.state
    lease_until_ms = context.now_ms + state.timing.line_lease_ms
    line = Line(
        flow=flow,
        session=session,
        token=token,
        body=body,
        now_ms=context.now_ms,
        lease_until_ms=lease_until_ms,
    )
    state.lines[(session, token)] = line
    index_flow(line, context)
    due_ms = context.now_ms + state.timing.line_refresh_ms
    state.timers.add(due_ms, LineTimer(session, token))
    return line


def _update_caller(line, flow, context):
    if line.flow == flow:
        return
    unindex_flow(line, context.state)
    line.flow = flow
    index_flow(line, context)
    context.count("line.caller_moved")


def on_line_reply(line, reply, context):
    """Handle a target's answer to a registration, or its notification."""
    expected = _expected_source(line, reply.token)
    if reply.target != expected:
        context.count("upstream.wrong_source")
        return
    if reply.status is ReplyStatus.SHED:
        _on_shed(line, reply, context)
        return
    _record_line_receipt(line, reply, context)
    if not reply.observed:
        _on_not_observed(line, reply, context)
        return
    if line.replacement is not None and reply.token == line.replacement.token:
        promote_replacement(line, context)
    line.sequence = next_sequence(line, context)
    if line.pending_reply is not None:
        sequence = line.sequence % (1 << SEQUENCE_BITS)
        answer_registration(line, Forwarded(reply.body, sequence), context)
        return
    notify(line, reply.body, context)


def _expected_source(line, token):
    if line.replacement is not None and token == line.replacement.token:
        return line.replacement.target
    return line.target


def _record_line_receipt(line, reply, context):
    line.last_received_ms = context.now_ms
    line.unanswered_registrations = 0
    target = context.state.targets.get(reply.target)
    if target is not None:
        record_answer(target)


def _on_shed(line, reply, context):
    context.count("upstream.shed")
    if line.replacement is not None and reply.token == line.replacement.token:
        drop_replacement(line, context)
        line.shed_by = (*line.shed_by, reply.target)
        register_elsewhere(line, line.shed_by, context)
        if line.replacement is None:
            _put_off(line, max(1, reply.retry_after_s), context)
        return
    if line.pending_reply is not None:
        answer = Refused(max(1, reply.retry_after_s), "shed by the target")
        answer_registration(line, answer, context)


def _put_off(line, pause_s, context):
    """Move a line that every target shed, if it still has to, after a pause."""
    line.shed_by = ()
    timer = MoveTimer(line.session, line.token)
    context.state.timers.add(context.now_ms + pause_s * MS_PER_S, timer)


def _on_not_observed(line, reply, context):
    """Handle an answer of a target that didn't keep the line open."""
    if line.pending_reply is not None:
        answer_registration(line, Forwarded(reply.body), context)
        drop_line(line, "the target keeps no line open", context)
        return
    if line.replacement is not None and reply.token == line.replacement.token:
        drop_replacement(line, context)
        return
    register_elsewhere(line, (line.target,), context)


def close_caller_line(flow, request, session, context):
    """Close a line at its caller's request, and answer with the resource."""
    line = context.state.lines.get((session, request.token))
    if line is not None:
        drop_line(line, "closed by the caller", context)
    reply_to = reply_to_request(flow, request)
    started = start_exchange(context, reply_to, request)
    if isinstance(started, Refused):
        context.answer(reply_to, started)


def check_line(timer: LineTimer, context):
    """Close a line whose lease has ended; refresh it if its target is silent."""
    state = context.state
    line = state.lines.get((timer.session, timer.token))
    if line is None:
        return
    if line.lease_until_ms <= context.now_ms:
        drop_line(line, "its lease ran out without a renewal", context)
        return
    refresh_ms = state.timing.line_refresh_ms
    state.timers.add(context.now_ms + refresh_ms, timer)
    if (
        context.now_ms - line.last_received_ms < refresh_ms
        or line.replacement is not None
    ):
        return
    if line.upstream_token:
        register(line, line.target, line.path, line.upstream_token, context)
        return
    register_elsewhere(line, (), context)


def move_lines_of_leaving(context):
    """Schedule the moves of lines off leaving targets, with jitter."""
    state = context.state
    for line in state.lines.values():
        if not is_leaving(line, state):
            continue
        delay_ms = context.random.randrange(MOVE_JITTER_MS)
        timer = MoveTimer(line.session, line.token)
        state.timers.add(context.now_ms + delay_ms, timer)


def move_line(timer: MoveTimer, context):
    """Register a line at another target before its own leaves."""
    line = context.state.lines.get((timer.session, timer.token))
    if line is None or line.replacement is not None:
        return
    if is_leaving(line, context.state):
        register_elsewhere(line, (line.target,), context)
