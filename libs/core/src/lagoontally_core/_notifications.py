"""Notifications of lines: sequence numbers, message ids and acknowledgements."""

from ._actions import NotifyCaller
from ._echo import target_hint
from ._events import Flow
from ._registrations import drop_line

CONFIRMABLE_INTERVAL_MS = 20_000
SEQUENCE_UNIT_MS = 16
SEQUENCE_BITS = 24
HOME_SLOT_BITS = 6
COUNTER_BITS = 10
COUNTER_MASK = (1 << COUNTER_BITS) - 1


def home_slot(incarnation):
    """Return the number that identifies a line's home in message ids."""
    return incarnation & ((1 << HOME_SLOT_BITS) - 1)


def notify(line, body, context):
    """Send a notification to a line's caller, periodically a confirmable one."""
    confirmable = context.now_ms - line.confirmable_sent_ms >= CONFIRMABLE_INTERVAL_MS
    line.message_id = _next_message_id(line, context)
    echo = b""
    if confirmable:
        line.confirmable_sent_ms = context.now_ms
        line.confirmable_id = line.message_id
        hint = target_hint(line.target)
        echo = context.fresh_echo(line.flow.service, line.session, hint)
    context.act(
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


def _next_message_id(line, context):
    entry = context.state.flow_lines[line.flow]
    entry.counter = (entry.counter + 1) & COUNTER_MASK
    slot = home_slot(context.state.info.incarnation)
    return slot << COUNTER_BITS | entry.counter


def next_sequence(line, context):
    """Return a sequence number above every one that any home has used.

    It follows the wall clock, so that a line stays in order at another home
    without a message from the first.
    """
    wall_ms = context.now_ms + context.state.info.wall_offset_ms
    return max(line.sequence + 1, wall_ms // SEQUENCE_UNIT_MS)


def on_line_ack(flow: Flow, message_id, context):
    """Extend the lease of a line whose notification was acknowledged."""
    line = _find_line(flow, message_id, context.state)
    if line is not None:
        line.lease_until_ms = context.now_ms + context.state.timing.line_lease_ms


def on_line_reset(flow: Flow, message_id, context):
    """Close a line that its caller no longer wants."""
    line = _find_line(flow, message_id, context.state)
    if line is not None:
        drop_line(line, "reset by the caller", context)


def _find_line(flow, message_id, state):
    entry = state.flow_lines.get(flow)
    if entry is None:
        return None
    for line in entry.lines:
        if message_id in (line.message_id, line.confirmable_id):
            return line
    return None
