"""Open lines: registered by their home, renewed by their callers."""

from typing import NamedTuple

from ._actions import Forwarded, NotifyCaller, Refused, SendKind, SendUpstream, Unknown
from ._choice import choose_line_target, note_answer, note_failure
from ._echo import target_hint
from ._events import Flow, ReplyStatus
from ._exchanges import NO_TARGET_RETRY_S, host_name, start_exchange
from ._state import FlowLines, Line, Registration
from ._turn import flow_subjects, reply_to_request

CONFIRM_MS = 20_000
REGISTER_TRY_MS = 2_000
SEQUENCE_UNIT_MS = 16
SEQUENCE_BITS = 24
SLOT_BITS = 6
COUNTER_BITS = 10
COUNTER_MASK = (1 << COUNTER_BITS) - 1
MOVE_SPREAD_MS = 2_000
REGISTER_BUDGET_MS = 10_000
PATH_SHARED_MS = 5_000


class LineTimer(NamedTuple):
    """Timer: see whether a line is still alive on both sides."""

    session: int
    token: bytes


class RegisterTimer(NamedTuple):
    """Timer: a registration should have been answered by now.

    Attributes:
        line_token: Token of the registration.
        sent_ms: When it was sent.
    """

    line_token: bytes
    sent_ms: int


class MoveTimer(NamedTuple):
    """Timer: register a line at another target, as its own is leaving."""

    session: int
    token: bytes


def message_slot(incarnation):
    """Return the number by which message ids name the home of a line."""
    return incarnation & ((1 << SLOT_BITS) - 1)


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
    if line.upstream_token and not _is_leaving(line, state):
        _register(line, line.target, line.path, line.upstream_token, turn)
        return
    if line.successor is None:
        _register_elsewhere(line, (), turn)


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
        _register_elsewhere(line, (), turn)
        return
    _register_as_successor(line, target, turn)


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
    _index_flow(line, turn)
    due_ms = turn.now_ms + state.timing.line_refresh_ms
    state.timers.add(due_ms, LineTimer(session, token))
    return line


def _index_flow(line, turn):
    flow_lines = turn.state.flow_lines
    entry = flow_lines.get(line.flow)
    if entry is None:
        entry = flow_lines[line.flow] = FlowLines(turn.random.getrandbits(COUNTER_BITS))
    entry.lines.append(line)


def _unindex_flow(line, state):
    entry = state.flow_lines[line.flow]
    entry.lines.remove(line)
    if not entry.lines:
        del state.flow_lines[line.flow]


def _follow_caller(line, flow, turn):
    if line.flow == flow:
        return
    _unindex_flow(line, turn.state)
    line.flow = flow
    _index_flow(line, turn)
    turn.count("line.caller_moved")


def _is_leaving(line, state):
    target = state.targets.get(line.target)
    return target is None or target.leaving


def _register(line, target, path, token, turn):
    """Send a line's registration, anew or to refresh it."""
    state = turn.state
    state.line_tokens[token] = line
    timer = RegisterTimer(token, turn.now_ms)
    state.timers.add(turn.now_ms + REGISTER_TRY_MS, timer)
    host = host_name(state, line.flow.service)
    turn.act(
        SendUpstream(
            target, path, token, SendKind.LINE_OPEN, host, REGISTER_BUDGET_MS, line.body
        )
    )


def _register_as_successor(line, target, turn, *, path=None):
    """Register a line a second time; the first stays until this is answered."""
    path = line.path if path is None else path
    token = turn.new_token()
    line.successor = Registration(target.address, path, token, turn.now_ms)
    _register(line, target.address, path, token, turn)


def _register_elsewhere(line, tried, turn, *, path=None):
    """Register a line at another target; refuse a caller who waits if none is."""
    target = choose_line_target(turn, line.flow, tried=tried)
    if target is not None:
        _register_as_successor(line, target, turn, path=path)
        return
    if line.pending_reply is None:
        return
    answer = Refused(NO_TARGET_RETRY_S, "no target takes new lines")
    _answer_registration(line, answer, turn)
    if not line.upstream_token:
        drop_line(line, "no target takes new lines", turn)


def _answer_registration(line, answer, turn):
    hint = target_hint(line.target) if line.target else 0
    echo = turn.fresh_echo(line.flow.service, line.session, hint)
    turn.answer(line.pending_reply, answer, echo)
    line.pending_reply = None


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
        _promote(line, turn)
    line.sequence = _next_sequence(line, turn)
    if line.pending_reply is not None:
        sequence = line.sequence % (1 << SEQUENCE_BITS)
        _answer_registration(line, Forwarded(reply.body, sequence), turn)
        return
    _notify(line, reply.body, turn)


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
        _drop_successor(line, turn)
        _register_elsewhere(line, (reply.target,), turn)
        return
    if line.pending_reply is not None:
        answer = Refused(max(1, reply.retry_after_s), "shed by the target")
        _answer_registration(line, answer, turn)


def _on_not_observed(line, reply, turn):
    """The target answered without keeping the line open."""
    if line.pending_reply is not None:
        _answer_registration(line, Forwarded(reply.body), turn)
        drop_line(line, "the target keeps no line open", turn)
        return
    if line.successor is not None and reply.token == line.successor.token:
        _drop_successor(line, turn)
        return
    _register_elsewhere(line, (line.target,), turn)


def _promote(line, turn):
    """Let the second registration take the first one's place."""
    state = turn.state
    following = line.successor
    line.successor = None
    if line.upstream_token:
        _cancel(line, line.target, line.path, line.upstream_token, turn)
        _count_lines(state, line.target, -1)
        turn.count("line.moved")
        turn.note(
            (*flow_subjects(line.flow, line.token), line.target, following.target),
            f"line moved from {line.target} to {following.target}",
            "the former target is leaving, silent or inherited",
        )
    line.target = following.target
    line.path = following.path
    line.upstream_token = following.token
    _count_lines(state, line.target, 1)


def _count_lines(state, address, change):
    target = state.targets.get(address)
    if target is not None:
        target.lines += change


def _cancel(line, target, path, token, turn):
    turn.state.line_tokens.pop(token, None)
    host = host_name(turn.state, line.flow.service)
    turn.act(
        SendUpstream(
            target,
            path,
            token,
            SendKind.LINE_CLOSE,
            host,
            REGISTER_BUDGET_MS,
            line.body,
        )
    )


def _drop_successor(line, turn):
    following = line.successor
    line.successor = None
    _cancel(line, following.target, following.path, following.token, turn)


def _next_sequence(line, turn):
    """Return a sequence number above every one that any home has used.

    It follows the wall clock, so that a line goes on in order at another home
    without any word from the first.
    """
    wall_ms = turn.now_ms + turn.state.info.wall_offset_ms
    return max(line.sequence + 1, wall_ms // SEQUENCE_UNIT_MS)


def _notify(line, body, turn):
    confirmable = turn.now_ms - line.confirmed_ms >= CONFIRM_MS
    line.message_id = _next_message_id(line, turn)
    echo = b""
    if confirmable:
        line.confirmed_ms = turn.now_ms
        line.confirm_id = line.message_id
        hint = target_hint(line.target)
        echo = turn.fresh_echo(line.flow.service, line.session, hint)
    turn.act(
        NotifyCaller(
            line.flow,
            line.token,
            line.message_id,
            confirmable,
            line.sequence % (1 << SEQUENCE_BITS),
            echo,
            body,
        )
    )


def _next_message_id(line, turn):
    entry = turn.state.flow_lines[line.flow]
    entry.counter = (entry.counter + 1) & COUNTER_MASK
    slot = message_slot(turn.state.info.incarnation)
    return slot << COUNTER_BITS | entry.counter


def on_line_ack(flow: Flow, message_id, turn):
    """Extend the lease of a line whose notification was acknowledged."""
    line = _line_of(flow, message_id, turn.state)
    if line is not None:
        line.lease_until_ms = turn.now_ms + turn.state.timing.line_lease_ms


def on_line_reset(flow: Flow, message_id, turn):
    """Close a line that its caller no longer wants."""
    line = _line_of(flow, message_id, turn.state)
    if line is not None:
        drop_line(line, "reset by the caller", turn)


def _line_of(flow, message_id, state):
    entry = state.flow_lines.get(flow)
    if entry is None:
        return None
    for line in entry.lines:
        if message_id in (line.message_id, line.confirm_id):
            return line
    return None


def close_caller_line(flow, request, session, turn):
    """Close a line at its caller's request, and answer with the resource."""
    line = turn.state.lines.get((session, request.token))
    if line is not None:
        drop_line(line, "closed by the caller", turn)
    reply_to = reply_to_request(flow, request)
    started = start_exchange(turn, reply_to, request)
    if isinstance(started, Refused):
        turn.answer(reply_to, started)


def drop_line(line, reason, turn):
    """Forget a line and cancel it at its target."""
    state = turn.state
    del state.lines[(line.session, line.token)]
    _unindex_flow(line, state)
    if line.successor is not None:
        _drop_successor(line, turn)
    if line.upstream_token:
        _cancel(line, line.target, line.path, line.upstream_token, turn)
        _count_lines(state, line.target, -1)
    turn.count("line.closed")
    turn.note(flow_subjects(line.flow, line.token), "line closed", reason)


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
        _register(line, line.target, line.path, line.upstream_token, turn)
        return
    _register_elsewhere(line, (), turn)


def check_registration(timer: RegisterTimer, turn):
    """Replace a registration that wasn't answered, from a new socket."""
    state = turn.state
    line = state.line_tokens.get(timer.line_token)
    if line is None:
        return
    following = line.successor
    if following is not None and timer.line_token == following.token:
        silent = following.target
        _drop_successor(line, turn)
    elif following is not None or line.heard_ms >= timer.sent_ms:
        return
    else:
        silent = line.target
    target = state.targets.get(silent)
    if target is not None:
        note_failure(target, turn)
    turn.count("line.silent_path")
    _replace_path(line, silent, turn)


def _replace_path(line, silent, turn):
    """Register a line from a new socket, elsewhere if another target is there."""
    line.missed += 1
    if line.pending_reply is not None and line.missed > 1:
        answer = Unknown("no target answered the registration")
        _answer_registration(line, answer, turn)
    tried = (silent,)
    if choose_line_target(turn, line.flow, tried=tried) is None:
        tried = ()
    _register_elsewhere(line, tried, turn, path=_fresh_path(line, turn))


def _fresh_path(line, turn):
    """Return a socket opened lately and not the line's own.

    Many lines go silent together, so they share a new socket for a while.
    """
    state = turn.state
    old = turn.now_ms - state.path_opened_ms >= PATH_SHARED_MS
    if old or state.newest_path == line.path:
        state.newest_path += 1
        state.path_opened_ms = turn.now_ms
    return state.newest_path


def move_lines_of_leaving(turn):
    """Start moving the lines of targets that are leaving, spread over a while."""
    state = turn.state
    for line in state.lines.values():
        if not _is_leaving(line, state):
            continue
        delay_ms = turn.random.randrange(MOVE_SPREAD_MS)
        timer = MoveTimer(line.session, line.token)
        state.timers.add(turn.now_ms + delay_ms, timer)


def move_line(timer: MoveTimer, turn):
    """Register a line at another target before its own goes."""
    line = turn.state.lines.get((timer.session, timer.token))
    if line is None or line.successor is not None:
        return
    if _is_leaving(line, turn.state):
        _register_elsewhere(line, (line.target,), turn)
