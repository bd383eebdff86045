"""Successor side of a handover: collect its parts, accept it when announced."""

from typing import NamedTuple

from ._actions import Forwarded, Refused, SendPeer, Unknown
from ._home import ForgetRequest
from ._lines import adopt_line
from ._member_status import MemberStatus
from ._peer_messages import (
    HandoverAck,
    HandoverPart,
    Ping,
    Succession,
    SuccessionAck,
)
from ._state import Phase, RememberedRequest
from ._succession import (
    ForgetSuccession,
    KnownSuccession,
    OriginState,
    has_accepted,
)

STAGED_TIMEOUT_MS = 60_000
ANNOUNCEMENT_WAIT_MS = 5_000
NO_PROBE = 0


class StagedHandover:
    """A handover that is being received or waits for its announcement.

    Attributes:
        attempt: The predecessor's attempt that the parts belong to.
        parts: The parts received, by number.
        received_ms: When the latest part arrived.
    """

    __slots__ = ("attempt", "parts", "received_ms")

    def __init__(self, attempt):
        self.attempt = attempt
        self.parts = {}
        self.received_ms = 0

    def takes(self, part):
        """Return whether a part is one of as many as those received."""
        return all(other.parts == part.parts for other in self.parts.values())

    def complete(self):
        """Return whether every part has been received."""
        return (
            bool(self.parts)
            and len(self.parts) == next(iter(self.parts.values())).parts
        )


class DropStaged(NamedTuple):
    """Timer: drop a handover that was never announced."""

    predecessor: int


def on_handover_part(part: HandoverPart, _sender, context):
    """Stage a part of a handover and acknowledge it."""
    state = context.state
    if has_accepted(state, part.predecessor):
        return
    if not 0 <= part.part < part.parts:
        context.count("handover.invalid_part")
        return
    if state.phase in (Phase.LEAVING, Phase.LEFT):
        _decline(part, context)
        return
    staged = state.staged.get(part.predecessor)
    if staged is None or staged.attempt < part.attempt:
        staged = state.staged[part.predecessor] = StagedHandover(part.attempt)
        state.timers.add(
            context.now_ms + STAGED_TIMEOUT_MS, DropStaged(part.predecessor)
        )
    if part.attempt != staged.attempt or not staged.takes(part):
        return
    staged.parts.setdefault(part.part, part)
    staged.received_ms = context.now_ms
    ack = HandoverAck(part.predecessor, state.info.incarnation, part.attempt, part.part)
    context.act(SendPeer(part.predecessor_address, ack))


def awaits_succession(context):
    """Return whether a succession to this balancer is about to be announced.

    An acknowledged handover must be accepted before it can be handed on.
    """
    return any(
        staged.complete() and context.now_ms - staged.received_ms < ANNOUNCEMENT_WAIT_MS
        for staged in context.state.staged.values()
    )


def _decline(part, context):
    """Notify a predecessor that this balancer is leaving and can't succeed it."""
    state = context.state
    record = state.membership.own_record(state.pause_count, state.template_version)
    context.act(SendPeer(part.predecessor_address, Ping(NO_PROBE, record, [], [])))
    context.count("handover.declined")


def drop_staged(timer: DropStaged, context):
    """Drop a handover whose predecessor never announced it."""
    staged = context.state.staged.get(timer.predecessor)
    if staged is None:
        return
    if context.now_ms - staged.received_ms < STAGED_TIMEOUT_MS:
        due_ms = staged.received_ms + STAGED_TIMEOUT_MS
        context.state.timers.add(due_ms, timer)
        return
    del context.state.staged[timer.predecessor]
    context.count("handover.dropped")


def learn_succession(succession: Succession, context):
    """Handle a succession; the first one announced for a predecessor stands."""
    state = context.state
    if succession.predecessor == state.info.incarnation:
        return
    if succession.predecessor not in state.successions:
        announced_ms = context.now_ms - succession.age_ms
        entry = KnownSuccession(tuple(succession.successors), announced_ms)
        state.successions[succession.predecessor] = entry
        forget_ms = announced_ms + 2 * state.timing.remember_ms
        state.timers.add(forget_ms, ForgetSuccession(succession.predecessor))
        _mark_left(succession.predecessor, context)
    if state.info.incarnation in succession.successors:
        _accept_succession(succession, context)


def _mark_left(predecessor, context):
    membership = context.state.membership
    record = membership.records.get(predecessor)
    if record is not None and record.status != MemberStatus.LEFT:
        membership.mark(predecessor, MemberStatus.LEFT, context.now_ms)


def _accept_succession(succession, context):
    state = context.state
    known = has_accepted(state, succession.predecessor)
    if not known and not _apply_handover(succession, context):
        context.count("succession.not_held")
        return
    record = state.membership.records.get(succession.predecessor)
    if record is not None:
        ack = SuccessionAck(succession.predecessor, state.info.incarnation)
        context.act(SendPeer(record.peer_address, ack))


def _apply_handover(succession, context):
    """Apply a staged handover.

    Returns:
        False when a part of the handover is missing.
    """
    state = context.state
    staged = state.staged.get(succession.predecessor)
    if staged is None or not staged.complete():
        return False
    del state.staged[succession.predecessor]
    for number in sorted(staged.parts):
        _apply_part(staged.parts[number], staged.received_ms, context)
    first = staged.parts[0]
    origin = OriginState(
        first.echo_key,
        first.echo_clock_ms,
        staged.received_ms,
        tuple(succession.successors),
        frozenset((state.info.incarnation,)),
    )
    _add_origin(succession.predecessor, origin, context)
    context.count("handover.inherited")
    context.log("INFO", "succession taken up", leaver=f"{succession.predecessor:016x}")
    return True


def _add_origin(incarnation, origin, context):
    """Add an origin, or merge its accepted successors into the known one."""
    origins = context.state.origins
    known = origins.get(incarnation)
    if known is not None:
        origin = known._replace(accepted=known.accepted | origin.accepted)
    origins[incarnation] = origin


def _apply_part(part, received_ms, context):
    for item in part.origins:
        origin = OriginState(
            item.echo_key,
            item.echo_clock_ms,
            received_ms,
            tuple(item.successors),
            frozenset(item.accepted),
        )
        _add_origin(item.incarnation, origin, context)
    for record in part.remembered:
        _restore_remembered(record, context)
    for record in part.lines:
        adopt_line(record, context)


def _restore_remembered(record, context):
    state = context.state
    entry = RememberedRequest(record.session)
    entry.answer = _restored_answer(record)
    state.remembered.setdefault(record.key, entry)
    due_ms = context.now_ms + record.remaining_ms
    state.timers.add(due_ms, ForgetRequest(record.key))


def _restored_answer(record):
    if record.answer_kind == Forwarded.__name__:
        return Forwarded(record.answer_body)
    if record.answer_kind == Refused.__name__:
        return Refused(record.retry_after_s, "refused by an earlier home")
    return Unknown("an earlier home left while it ran")
