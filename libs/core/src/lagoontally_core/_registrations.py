"""Registrations of lines at targets: sent, refreshed, replaced and cancelled."""

from typing import NamedTuple

from ._actions import Refused, SendKind, SendUpstream, Unknown
from ._echo import target_hint
from ._exchanges import host_name
from ._state import FlowLines, Registration
from ._step_context import flow_subjects
from ._target_selection import record_failure, select_line_target

REGISTRATION_TIMEOUT_MS = 2_000
REGISTRATION_DEADLINE_MS = 10_000
PATH_SHARING_MS = 5_000
INITIAL_COUNTER_BITS = 10
NO_TARGET_RETRY_S = 1


class RegistrationTimer(NamedTuple):
    """Timer: a registration times out.

    Attributes:
        line_token: Token of the registration.
        sent_ms: When it was sent.
    """

    line_token: bytes
    sent_ms: int


def index_flow(line, context):
    """Add a line to the index of its flow."""
    flow_lines = context.state.flow_lines
    entry = flow_lines.get(line.flow)
    if entry is None:
        entry = flow_lines[line.flow] = FlowLines(
            context.random.getrandbits(INITIAL_COUNTER_BITS)
        )
    entry.lines.append(line)


def unindex_flow(line, state):
    """Remove a line from the index of its flow."""
    entry = state.flow_lines[line.flow]
    entry.lines.remove(line)
    if not entry.lines:
        del state.flow_lines[line.flow]


def is_leaving(line, state):
    """Return whether a line's target is leaving or gone."""
    target = state.targets.get(line.target)
    return target is None or target.leaving


def register(line, target, path, token, context):
    """Send a new registration of a line, or refresh its current one."""
    state = context.state
    state.line_tokens[token] = line
    timer = RegistrationTimer(token, context.now_ms)
    state.timers.add(context.now_ms + REGISTRATION_TIMEOUT_MS, timer)
    _send(line, target, path, token, SendKind.LINE_OPEN, context)


def _send(line, target, path, token, kind, context):
    host = host_name(context.state, line.flow.service)
    context.act(
        SendUpstream(
            target, path, token, kind, host, REGISTRATION_DEADLINE_MS, line.body
        )
    )


def register_replacement(line, target, context, *, path=None):
    """Send a replacement registration; the current one stays until its answer."""
    path = line.path if path is None else path
    token = context.new_token()
    line.replacement = Registration(target.address, path, token, context.now_ms)
    register(line, target.address, path, token, context)


def register_elsewhere(line, tried, context, *, path=None):
    """Register a line at another target; if there is none, refuse a waiting caller."""
    target = select_line_target(context, line.flow, tried=tried)
    if target is not None:
        register_replacement(line, target, context, path=path)
        return
    if line.pending_reply is None:
        return
    answer = Refused(NO_TARGET_RETRY_S, "no target takes new lines")
    context.note(flow_subjects(line.flow, line.token), "refused", answer.reason)
    answer_registration(line, answer, context)
    if not line.upstream_token:
        drop_line(line, "no target takes new lines", context)


def answer_registration(line, answer, context):
    """Answer a caller that waits for its registration."""
    hint = target_hint(line.target) if line.target else 0
    echo = context.fresh_echo(line.flow.service, line.session, hint)
    context.answer(line.pending_reply, answer, echo)
    line.pending_reply = None


def promote_replacement(line, context):
    """Make the replacement registration the current one."""
    state = context.state
    replacement = line.replacement
    line.replacement = None
    line.shed_by = ()
    if line.upstream_token:
        _cancel(line, line.target, line.path, line.upstream_token, context)
        _count_lines(state, line.target, -1)
        context.count("line.moved")
        context.note(
            (*flow_subjects(line.flow, line.token), line.target, replacement.target),
            f"line moved from {line.target} to {replacement.target}",
            "the former target is leaving, silent or inherited",
        )
    line.target = replacement.target
    line.path = replacement.path
    line.upstream_token = replacement.token
    _count_lines(state, line.target, 1)


def _count_lines(state, address, change):
    target = state.targets.get(address)
    if target is not None:
        target.lines += change


def _cancel(line, target, path, token, context):
    context.state.line_tokens.pop(token, None)
    _send(line, target, path, token, SendKind.LINE_CLOSE, context)


def drop_replacement(line, context):
    """Cancel a line's replacement registration."""
    replacement = line.replacement
    line.replacement = None
    _cancel(line, replacement.target, replacement.path, replacement.token, context)


def drop_line(line, reason, context):
    """Delete a line and cancel it at its target."""
    state = context.state
    del state.lines[(line.session, line.token)]
    unindex_flow(line, state)
    if line.replacement is not None:
        drop_replacement(line, context)
    if line.upstream_token:
        _cancel(line, line.target, line.path, line.upstream_token, context)
        _count_lines(state, line.target, -1)
    context.count("line.closed")
    context.note(flow_subjects(line.flow, line.token), "line closed", reason)


def check_registration(timer: RegistrationTimer, context):
    """Replace an unanswered registration, from a new socket."""
    state = context.state
    line = state.line_tokens.get(timer.line_token)
    if line is None:
        return
    replacement = line.replacement
    if replacement is not None and timer.line_token == replacement.token:
        silent_address = replacement.target
        drop_replacement(line, context)
    elif replacement is not None or line.last_received_ms >= timer.sent_ms:
        return
    else:
        silent_address = line.target
    target = state.targets.get(silent_address)
    if target is not None:
        record_failure(target, context)
    context.count("line.silent_path")
    _replace_path(line, silent_address, context)


def _replace_path(line, silent_address, context):
    """Register a line from a new socket, at another target if there is one."""
    line.unanswered_registrations += 1
    if line.pending_reply is not None and line.unanswered_registrations > 1:
        answer = Unknown("no target answered the registration")
        answer_registration(line, answer, context)
    tried = (silent_address,)
    if select_line_target(context, line.flow, tried=tried) is None:
        tried = ()
    register_elsewhere(line, tried, context, path=_new_path(line, context))


def _new_path(line, context):
    """Return the number of a recently opened socket other than the line's own.

    Many lines fail together, so they share a new socket for ``PATH_SHARING_MS``.
    """
    state = context.state
    share_expired = context.now_ms - state.path_opened_ms >= PATH_SHARING_MS
    if share_expired or state.newest_path == line.path:
        state.newest_path += 1
        state.path_opened_ms = context.now_ms
    return state.newest_path
