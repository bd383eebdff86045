"""What an heir does: it collects a handover and takes it up when announced."""

from typing import NamedTuple

from ._actions import Forwarded, Refused, SendPeer, Unknown
from ._home import ForgetRequest
from ._lines import adopt_line
from ._members import MemberStatus
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
    has_taken_up,
)

STAGED_LIFE_MS = 60_000
ANNOUNCED_WITHIN_MS = 5_000
NO_PROBE = 0


class Staged:
    """A handover that is being received or waits to be announced.

    Attributes:
        attempt: The leaver's attempt that the parts belong to.
        parts: The parts received, by number.
        received_ms: When the latest part arrived.
    """

    __slots__ = ("attempt", "parts", "received_ms")

    def __init__(self, attempt):
        self.attempt = attempt
        self.parts = {}
        self.received_ms = 0

    def complete(self):
        """Tell whether every part is here."""
        return (
            bool(self.parts)
            and len(self.parts) == next(iter(self.parts.values())).parts
        )


class DropStaged(NamedTuple):
    """Timer: a handover that was never announced is void."""

    leaver: int


def on_handover_part(part: HandoverPart, _sender, context):
    """Keep a part of a handover and acknowledge it."""
    state = context.state
    if has_taken_up(state, part.leaver):
        return
    if state.phase in (Phase.LEAVING, Phase.LEFT):
        _decline(part, context)
        return
    staged = state.staged.get(part.leaver)
    if staged is None or staged.attempt < part.attempt:
        staged = state.staged[part.leaver] = Staged(part.attempt)
        state.timers.add(context.now_ms + STAGED_LIFE_MS, DropStaged(part.leaver))
    if part.attempt != staged.attempt:
        return
    staged.parts.setdefault(part.part, part)
    staged.received_ms = context.now_ms
    ack = HandoverAck(part.leaver, state.info.incarnation, part.attempt, part.part)
    context.act(SendPeer(part.leaver_address, ack))


def awaits_succession(context):
    """Tell whether a leaver counts on this balancer and is about to say so.

    What was acknowledged has to be taken up before it can be handed on.
    """
    return any(
        staged.complete() and context.now_ms - staged.received_ms < ANNOUNCED_WITHIN_MS
        for staged in context.state.staged.values()
    )


def _decline(part, context):
    """Tell a leaver that this balancer leaves too and can't be its heir."""
    state = context.state
    record = state.membership.own_record(state.pause_count, state.template_version)
    context.act(SendPeer(part.leaver_address, Ping(NO_PROBE, record, [], [])))
    context.count("handover.declined")


def drop_staged(timer: DropStaged, context):
    """Drop a handover whose leaver never announced it."""
    staged = context.state.staged.get(timer.leaver)
    if staged is None:
        return
    if context.now_ms - staged.received_ms < STAGED_LIFE_MS:
        due_ms = staged.received_ms + STAGED_LIFE_MS
        context.state.timers.add(due_ms, timer)
        return
    del context.state.staged[timer.leaver]
    context.count("handover.dropped")


def learn_succession(succession: Succession, context):
    """Take in an announced succession; the first word on a leaver stands."""
    state = context.state
    if succession.leaver == state.info.incarnation:
        return
    if succession.leaver not in state.successions:
        learned_ms = context.now_ms - succession.age_ms
        entry = KnownSuccession(tuple(succession.heirs), learned_ms)
        state.successions[succession.leaver] = entry
        forget_ms = learned_ms + 2 * state.timing.remember_ms
        state.timers.add(forget_ms, ForgetSuccession(succession.leaver))
        _mark_left(succession.leaver, context)
    if state.info.incarnation in succession.heirs:
        _take_up(succession, context)


def _mark_left(leaver, context):
    membership = context.state.membership
    record = membership.records.get(leaver)
    if record is not None and record.status != MemberStatus.LEFT:
        membership.mark(leaver, MemberStatus.LEFT, context.now_ms)


def _take_up(succession, context):
    state = context.state
    known = has_taken_up(state, succession.leaver)
    if not known and not _inherit(succession, context):
        context.count("succession.not_held")
        return
    record = state.membership.records.get(succession.leaver)
    if record is not None:
        ack = SuccessionAck(succession.leaver, state.info.incarnation)
        context.act(SendPeer(record.peer_address, ack))


def _inherit(succession, context):
    """Take up a staged handover.

    Returns:
        False when the handover isn't held whole.
    """
    state = context.state
    staged = state.staged.get(succession.leaver)
    if staged is None or not staged.complete():
        return False
    del state.staged[succession.leaver]
    for number in sorted(staged.parts):
        _take_part(staged.parts[number], staged.received_ms, context)
    first = staged.parts[0]
    origin = OriginState(
        first.echo_key,
        first.echo_clock_ms,
        staged.received_ms,
        tuple(succession.heirs),
        frozenset((state.info.incarnation,)),
    )
    _add_origin(succession.leaver, origin, context)
    context.count("handover.inherited")
    context.log("INFO", "succession taken up", leaver=f"{succession.leaver:016x}")
    return True


def _add_origin(incarnation, origin, context):
    """Hold an origin; what is known of its heirs' takings adds up."""
    origins = context.state.origins
    known = origins.get(incarnation)
    if known is not None:
        origin = known._replace(takers=known.takers | origin.takers)
    origins[incarnation] = origin


def _take_part(part, received_ms, context):
    for item in part.origins:
        origin = OriginState(
            item.echo_key,
            item.echo_clock_ms,
            received_ms,
            tuple(item.heirs),
            frozenset(item.takers),
        )
        _add_origin(item.incarnation, origin, context)
    for record in part.remembered:
        _take_remembered(record, context)
    for record in part.lines:
        adopt_line(record, context)


def _take_remembered(record, context):
    state = context.state
    entry = RememberedRequest(record.session)
    entry.answer = _answer_of(record)
    state.remembered.setdefault(record.key, entry)
    due_ms = context.now_ms + record.remaining_ms
    state.timers.add(due_ms, ForgetRequest(record.key))


def _answer_of(record):
    if record.answer_kind == Forwarded.__name__:
        return Forwarded(record.answer_body)
    if record.answer_kind == Refused.__name__:
        return Refused(record.retry_after_s, "refused by an earlier home")
    return Unknown("an earlier home left while it ran")
