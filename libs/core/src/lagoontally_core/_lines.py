"""Open lines: registered by their home, renewed by their callers."""

from typing import NamedTuple

from ._actions import Forwarded, Refused
from ._choice import note_answer
from ._events import ReplyStatus
from ._exchanges import start_exchange
from ._notifications import SEQUENCE_BITS, next_sequence, notify
from ._registrations import (
    answer_registration,
    drop_line,
    drop_successor,
    index_flow,
    is_leaving,
    promote,
    register,
    register_as_successor,
    register_elsewhere,
    unindex_flow,
)
from ._state import Line
from ._turn import reply_to_request

MOVE_SPREAD_MS = 2_000


class LineTimer(NamedTuple):
    """Timer: see whether a line is still alive on both sides."""

    session: int
    token: bytes


class MoveTimer(NamedTuple):
    """Timer: register a line at another target, as its own is leaving."""

    session: int
    token: bytes


def open_line(flow, request, session, turn):
    """Open a line, or renew it when it is open."""
    state = turn.state
    line = state.lines.get((session, request.token))
    if line is None:
        line = _add_line(flow, session, request.token, request.body, turn)
        turn.count("line.opened")
    line.body = request.body
    line.lease_until_ms = turn.now_ms + state.timing.line_lease_ms
    line.pending_reply = reply_to_request(flow, request)
    _follow_caller(line, flow, turn)
    if line.upstream_token and not is_leaving(line, state):
        register(line, line.target, line.path, line.upstream_token, turn)
        return
    if line.successor is None:
        register_elsewhere(line, (), turn)


def adopt_line(record, turn):
    """Take over a line from a balancer that has left."""
    state = turn.state
    if (record.session, record.token) in state.lines:
        return
    line = _add_line(record.flow, record.session, record.token, record.body, turn)
    line.sequence = record.sequence
    line.lease_until_ms = turn.now_ms + record.remaining_ms
    turn.count("line.adopted")
    target = state.targets.get(record.target)
    if target is None or target.leaving:
        register_elsewhere(line, (), turn)
        return
    register_as_successor(line, target, turn)


def _add_line(flow, session, token, body, turn):
    state = turn.state
    lease_until_ms = turn.now_ms + state.timing.line_lease_ms
    line = Line(
        flow=flow,
        session=session,
        token=token,
        body=body,
        now_ms=turn.now_ms,
        lease_until_ms=lease_until_ms,
    )
    state.lines[(session, token)] = line
    index_flow(line, turn)
    due_ms = turn.now_ms + state.timing.line_refresh_ms
    state.timers.add(due_ms, LineTimer(session, token))
    return line


def _follow_caller(line, flow, turn):
    if line.flow == flow:
        return
    unindex_flow(line, turn.state)
    line.flow = flow
    index_flow(line, turn)
    turn.count("line.caller_moved")


def on_line_reply(line, reply, turn):
    """Take a target's answer to a registration, or its notification."""
    expected = _expected_source(line, reply.token)
    if reply.target != expected:
        turn.count("upstream.wrong_source")
        return
    if reply.status is ReplyStatus.SHED:
        _on_shed(line, reply, turn)
        return
    _note_heard(line, reply, turn)
    if not reply.observed:
        _on_not_observed(line, reply, turn)
        return
    if line.successor is not None and reply.token == line.successor.token:
        promote(line, turn)
    line.sequence = next_sequence(line, turn)
    if line.pending_reply is not None:
        sequence = line.sequence % (1 << SEQUENCE_BITS)
        answer_registration(line, Forwarded(reply.body, sequence), turn)
        return
    notify(line, reply.body, turn)


def _expected_source(line, token):
    if line.successor is not None and token == line.successor.token:
        return line.successor.target
    return line.target


def _note_heard(line, reply, turn):
    line.heard_ms = turn.now_ms
    line.missed = 0
    target = turn.state.targets.get(reply.target)
    if target is not None:
        note_answer(target)


def _on_shed(line, reply, turn):
    turn.count("upstream.shed")
    if line.successor is not None and reply.token == line.successor.token:
        drop_successor(line, turn)
        register_elsewhere(line, (reply.target,), turn)
        return
    if line.pending_reply is not None:
        answer = Refused(max(1, reply.retry_after_s), "shed by the target")
        answer_registration(line, answer, turn)


def _on_not_observed(line, reply, turn):
    """The target answered without keeping the line open."""
    if line.pending_reply is not None:
        answer_registration(line, Forwarded(reply.body), turn)
        drop_line(line, "the target keeps no line open", turn)
        return
    if line.successor is not None and reply.token == line.successor.token:
        drop_successor(line, turn)
        return
    register_elsewhere(line, (line.target,), turn)


def close_caller_line(flow, request, session, turn):
    """Close a line at its caller's request, and answer with the resource."""
    line = turn.state.lines.get((session, request.token))
    if line is not None:
        drop_line(line, "closed by the caller", turn)
    reply_to = reply_to_request(flow, request)
    started = start_exchange(turn, reply_to, request)
    if isinstance(started, Refused):
        turn.answer(reply_to, started)


def check_line(timer: LineTimer, turn):
    """See whether a line is still alive on both sides."""
    state = turn.state
    line = state.lines.get((timer.session, timer.token))
    if line is None:
        return
    if line.lease_until_ms <= turn.now_ms:
        drop_line(line, "its lease ran out without a renewal", turn)
        return
    refresh_ms = state.timing.line_refresh_ms
    state.timers.add(turn.now_ms + refresh_ms, timer)
    if turn.now_ms - line.heard_ms < refresh_ms or line.successor is not None:
        return
    if line.upstream_token:
        register(line, line.target, line.path, line.upstream_token, turn)
        return
    register_elsewhere(line, (), turn)


def move_lines_of_leaving(turn):
    """Start moving the lines of targets that are leaving, spread over a while."""
    state = turn.state
    for line in state.lines.values():
        if not is_leaving(line, state):
            continue
        delay_ms = turn.random.randrange(MOVE_SPREAD_MS)
        timer = MoveTimer(line.session, line.token)
        state.timers.add(turn.now_ms + delay_ms, timer)


def move_line(timer: MoveTimer, turn):
    """Register a line at another target before its own goes."""
    line = turn.state.lines.get((timer.session, timer.token))
    if line is None or line.successor is not None:
        return
    if is_leaving(line, turn.state):
        register_elsewhere(line, (line.target,), turn)
