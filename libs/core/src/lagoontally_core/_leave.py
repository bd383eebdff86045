"""A planned leave: drain, hand over, announce, linger, stop."""

from enum import Enum

from ._actions import Forwarded, Refused, SendPeer, Stop, Unknown
from ._events import LeaveRequested
from ._exchanges import finish
from ._inherit import awaits_succession
from ._member_status import MemberStatus
from ._peer_messages import (
    HandoverAck,
    HandoverPart,
    LineRecord,
    Origin,
    RememberedRecord,
    Succession,
    SuccessionAck,
)
from ._registrations import drop_line
from ._rendezvous import pick_successor
from ._state import Phase
from ._succession import KnownSuccession

RECORDS_PER_PART = 64
MAX_PARTS_IN_FLIGHT = 8
RESEND_INTERVAL_MS = 300
ANNOUNCE_TIMEOUT_MS = 3_000
LINGER_DURATION_MS = 1_000
MAX_ATTEMPTS = 8
REMAINING_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


class Stage(Enum):
    """Stage of a leave."""

    DRAINING = "draining"
    HANDING_OVER = "handing over"
    ANNOUNCED = "announced"
    LINGERING = "lingering"


class Departure:
    """The progress of a balancer's own leave.

    Attributes:
        stage: Current stage.
        deadline_ms: When the stage ends at the latest.
        attempt: Number of the handover attempt.
        unacknowledged: Parts not acknowledged yet, by successor, in order.
        sent_ms: When parts, or the announcement, were last sent to each successor.
        successors: The successors of this attempt.
        origins: Origins held when this attempt began.
        accepted: Successors that accepted the succession.
    """

    def __init__(self, deadline_ms):
        self.stage = Stage.DRAINING
        self.deadline_ms = deadline_ms
        self.attempt = 0
        self.unacknowledged = {}
        self.sent_ms = {}
        self.successors = ()
        self.origins = {}
        self.accepted = set()


def begin_leave(_event: LeaveRequested, context):
    """Stop accepting new work and drain the requests in flight."""
    state = context.state
    if state.departure is not None:
        return
    state.phase = Phase.LEAVING
    state.departure = Departure(context.now_ms + state.timing.drain_ms)
    state.membership.set_own_status(MemberStatus.LEAVING)
    context.log(
        "INFO", "leaving", lines=len(state.lines), requests=len(state.exchanges)
    )


def advance_leave(context):
    """Advance the leave if the next step is due."""
    departure = context.state.departure
    if departure is None:
        return
    if departure.stage is Stage.DRAINING:
        _drain(departure, context)
    elif departure.stage is Stage.HANDING_OVER:
        _continue_handover(departure, context)
    elif departure.stage is Stage.ANNOUNCED:
        _await_acceptance(departure, context)
    elif context.now_ms >= departure.deadline_ms:
        _stop(context)


def _drain(departure, context):
    state = context.state
    unfinished = state.exchanges or awaits_succession(context)
    if unfinished and context.now_ms < departure.deadline_ms:
        return
    for exchange in list(state.exchanges.values()):
        del state.exchanges[exchange.token]
        finish(exchange, Unknown("the balancer left while it ran"), context)
    successors = tuple(record.incarnation for record in state.membership.alive())
    _start_attempt(departure, successors, context)


def _start_attempt(departure, successors, context):
    """Hand everything over to ``successors``; linger when none can be tried."""
    if not successors or departure.attempt >= MAX_ATTEMPTS:
        context.log(
            "WARNING", "leaving without successors", lines=len(context.state.lines)
        )
        _linger(departure, context)
        return
    departure.attempt += 1
    departure.successors = successors
    departure.origins = dict(context.state.origins)
    departure.stage = Stage.HANDING_OVER
    departure.deadline_ms = context.now_ms + context.state.timing.handover_timeout_ms
    departure.unacknowledged = {}
    departure.sent_ms = {}
    for successor in successors:
        departure.unacknowledged[successor] = _parts_for(successor, departure, context)
        _send_parts(successor, departure, context)


def _parts_for(successor, departure, context):
    state = context.state
    lines = [
        _line_record(line, context.now_ms)
        for line in state.lines.values()
        if pick_successor(line.session, departure.successors) == successor
    ]
    remembered = [
        _remembered_record(key, entry, state)
        for key, entry in state.remembered.items()
        if pick_successor(entry.session, departure.successors) == successor
    ]
    chunks = list(_chunks(lines, remembered))
    origins = _origins(state, context.now_ms)
    return {
        number: HandoverPart(
            state.info.incarnation,
            state.info.peer_address,
            departure.attempt,
            number,
            len(chunks),
            state.info.echo_key,
            context.now_ms,
            origins,
            *chunk,
        )
        for number, chunk in enumerate(chunks)
    }


def _chunks(lines, remembered):
    """Yield lines and remembered requests in chunks, at least one, maybe empty."""
    size = RECORDS_PER_PART
    count = max(1, -(-len(lines) // size), -(-len(remembered) // size))
    for number in range(count):
        start = number * size
        yield lines[start : start + size], remembered[start : start + size]


def _origins(state, now_ms):
    return [
        Origin(
            incarnation,
            origin.echo_key,
            origin.clock_at(now_ms),
            list(origin.successors),
            sorted(origin.accepted),
        )
        for incarnation, origin in state.origins.items()
    ]


def _line_record(line, now_ms):
    return LineRecord(
        line.flow,
        line.session,
        line.token,
        line.sequence,
        line.target,
        max(0, line.lease_until_ms - now_ms),
        line.body,
    )


def _remembered_record(key, entry, state):
    answer = entry.answer if entry.answer is not None else Unknown("")
    body = answer.body if isinstance(answer, Forwarded) else b""
    retry_after_s = answer.retry_after_s if isinstance(answer, Refused) else 0
    # The full time again: a successor may remember a request for longer than
    # needed, but never for a shorter time.
    return RememberedRecord(
        key,
        entry.session,
        type(answer).__name__,
        body,
        retry_after_s,
        state.timing.remember_ms,
    )


def _send_parts(successor, departure, context):
    record = context.state.membership.records.get(successor)
    if record is None:
        return
    departure.sent_ms[successor] = context.now_ms
    for part in list(departure.unacknowledged[successor].values())[
        :MAX_PARTS_IN_FLIGHT
    ]:
        context.act(SendPeer(record.peer_address, part))


def on_handover_ack(ack: HandoverAck, _sender, context):
    """Record an acknowledged part and send the next ones."""
    departure = context.state.departure
    if departure is None or departure.stage is not Stage.HANDING_OVER:
        return
    unacknowledged = departure.unacknowledged.get(ack.successor)
    if ack.attempt != departure.attempt or unacknowledged is None:
        return
    if unacknowledged.pop(ack.part, None) is None:
        return
    if unacknowledged and len(unacknowledged) % MAX_PARTS_IN_FLIGHT == 0:
        _send_parts(ack.successor, departure, context)
    if not any(departure.unacknowledged.values()):
        _end_attempt(departure, context)


def _end_attempt(departure, context):
    """Announce the successors, unless one is lost or the origins have changed."""
    lost = _lost_successors(departure, context.state)
    if lost or departure.origins != context.state.origins:
        _retry_handover(departure, lost, context)
        return
    _announce(departure, context)


def _lost_successors(departure, state):
    """Return the successors that are dead or leaving themselves."""
    return {
        successor
        for successor in departure.successors
        if not _is_remaining(successor, state)
    }


def _is_remaining(successor, state):
    record = state.membership.records.get(successor)
    return record is not None and record.status in REMAINING_STATUSES


def _retry_handover(departure, lost, context):
    if lost:
        context.log("WARNING", "successors lost", heirs=len(lost))
    remaining = tuple(
        successor for successor in departure.successors if successor not in lost
    )
    _start_attempt(departure, remaining, context)


def _continue_handover(departure, context):
    """Resend unacknowledged parts; drop unresponsive successors at the deadline."""
    state = context.state
    silent = {
        successor for successor, parts in departure.unacknowledged.items() if parts
    }
    lost = _lost_successors(departure, state)
    if context.now_ms >= departure.deadline_ms:
        lost |= silent
    if lost:
        _retry_handover(departure, lost, context)
        return
    for successor in silent:
        if context.now_ms - departure.sent_ms.get(successor, 0) >= RESEND_INTERVAL_MS:
            _send_parts(successor, departure, context)


def _announce(departure, context):
    """Announce the succession: every successor has acknowledged all its parts."""
    state = context.state
    departure.stage = Stage.ANNOUNCED
    departure.deadline_ms = context.now_ms + ANNOUNCE_TIMEOUT_MS
    own = state.info.incarnation
    state.successions[own] = KnownSuccession(departure.successors, context.now_ms)
    state.membership.set_own_status(MemberStatus.LEFT)
    message = Succession(own, list(departure.successors), 0)
    for record in state.membership.records.values():
        if record.status <= MemberStatus.SUSPECT:
            context.act(SendPeer(record.peer_address, message))
    departure.sent_ms = dict.fromkeys(departure.successors, context.now_ms)
    context.log("INFO", "succession announced", heirs=len(departure.successors))


def on_succession_ack(ack: SuccessionAck, _sender, context):
    """Record that a successor has accepted its share."""
    departure = context.state.departure
    if departure is not None and ack.predecessor == context.state.info.incarnation:
        departure.accepted.add(ack.successor)


def _await_acceptance(departure, context):
    state = context.state
    missing = [
        successor
        for successor in departure.successors
        if successor not in departure.accepted
    ]
    if not missing or context.now_ms >= departure.deadline_ms:
        _linger(departure, context)
        return
    message = Succession(state.info.incarnation, list(departure.successors), 0)
    for successor in missing:
        record = state.membership.records.get(successor)
        if (
            record
            and context.now_ms - departure.sent_ms[successor] >= RESEND_INTERVAL_MS
        ):
            departure.sent_ms[successor] = context.now_ms
            context.act(SendPeer(record.peer_address, message))


def _linger(departure, context):
    """Keep running briefly to forward what still arrives here."""
    departure.stage = Stage.LINGERING
    departure.deadline_ms = context.now_ms + LINGER_DURATION_MS
    context.state.membership.set_own_status(MemberStatus.LEFT)


def _stop(context):
    state = context.state
    for line in list(state.lines.values()):
        drop_line(line, "the balancer has left", context)
    state.phase = Phase.LEFT
    context.log("INFO", "left")
    context.act(Stop())
