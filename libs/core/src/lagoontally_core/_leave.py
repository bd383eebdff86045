"""A planned leave: finish, hand over, announce, linger, stop."""

from enum import Enum

from ._actions import Forwarded, Refused, SendPeer, Stop, Unknown
from ._events import LeaveRequested
from ._exchanges import finish
from ._inherit import awaits_succession
from ._members import MemberStatus
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
from ._rendezvous import pick_heir
from ._state import Phase
from ._succession import KnownSuccession

RECORDS_PER_PART = 64
PARTS_IN_FLIGHT = 8
RESEND_MS = 300
ANNOUNCE_MS = 3_000
LINGER_MS = 1_000
ATTEMPTS = 8
STAYING = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


class Stage(Enum):
    """How far a leave has come."""

    DRAINING = "draining"
    HANDING_OVER = "handing over"
    ANNOUNCED = "announced"
    LINGERING = "lingering"


class Departure:
    """The progress of a balancer's own leave.

    Attributes:
        stage: How far it has come.
        until_ms: When the stage ends at the latest.
        attempt: Number of the handover's attempt.
        waiting: Parts not acknowledged yet, by heir, in order.
        sent_ms: When parts were last sent to each heir.
        heirs: The heirs of this attempt.
        origins: What was inherited when this attempt began.
        taken_up: Heirs that have taken up the succession.
    """

    def __init__(self, until_ms):
        self.stage = Stage.DRAINING
        self.until_ms = until_ms
        self.attempt = 0
        self.waiting = {}
        self.sent_ms = {}
        self.heirs = ()
        self.origins = {}
        self.taken_up = set()


def begin_leave(_event: LeaveRequested, context):
    """Stop taking new work; what runs is finished first."""
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
    """Take the next step of a leave, if it is due."""
    departure = context.state.departure
    if departure is None:
        return
    if departure.stage is Stage.DRAINING:
        _drain(departure, context)
    elif departure.stage is Stage.HANDING_OVER:
        _hand_over(departure, context)
    elif departure.stage is Stage.ANNOUNCED:
        _await_heirs(departure, context)
    elif context.now_ms >= departure.until_ms:
        _stop(context)


def _drain(departure, context):
    state = context.state
    unfinished = state.exchanges or awaits_succession(context)
    if unfinished and context.now_ms < departure.until_ms:
        return
    for exchange in list(state.exchanges.values()):
        del state.exchanges[exchange.token]
        finish(exchange, Unknown("the balancer left while it ran"), context)
    heirs = tuple(record.incarnation for record in state.membership.alive())
    _start_attempt(departure, heirs, context)


def _start_attempt(departure, heirs, context):
    """Hand everything over to ``heirs``, or stop when there are none."""
    if not heirs or departure.attempt >= ATTEMPTS:
        context.log("WARNING", "leaving without heirs", lines=len(context.state.lines))
        _linger(departure, context)
        return
    departure.attempt += 1
    departure.heirs = heirs
    departure.origins = dict(context.state.origins)
    departure.stage = Stage.HANDING_OVER
    departure.until_ms = context.now_ms + context.state.timing.handover_timeout_ms
    departure.waiting = {}
    departure.sent_ms = {}
    for heir in heirs:
        departure.waiting[heir] = _parts_for(heir, departure, context)
        _send_parts(heir, departure, context)


def _parts_for(heir, departure, context):
    state = context.state
    lines = [
        _line_record(line, context.now_ms)
        for line in state.lines.values()
        if pick_heir(line.session, departure.heirs) == heir
    ]
    remembered = [
        _remembered_record(key, entry, state)
        for key, entry in state.remembered.items()
        if pick_heir(entry.session, departure.heirs) == heir
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
    """Yield lines and remembered requests in parts, at least one, maybe empty."""
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
            list(origin.heirs),
            sorted(origin.takers),
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
    # The full time again: an heir may keep a request for longer than needed,
    # never for less.
    return RememberedRecord(
        key,
        entry.session,
        type(answer).__name__,
        body,
        retry_after_s,
        state.timing.remember_ms,
    )


def _send_parts(heir, departure, context):
    record = context.state.membership.records.get(heir)
    if record is None:
        return
    departure.sent_ms[heir] = context.now_ms
    for part in list(departure.waiting[heir].values())[:PARTS_IN_FLIGHT]:
        context.act(SendPeer(record.peer_address, part))


def on_handover_ack(ack: HandoverAck, _sender, context):
    """Note that an heir holds a part; send it the next ones."""
    departure = context.state.departure
    if departure is None or departure.stage is not Stage.HANDING_OVER:
        return
    waiting = departure.waiting.get(ack.heir)
    if ack.attempt != departure.attempt or waiting is None:
        return
    if waiting.pop(ack.part, None) is None:
        return
    if waiting and len(waiting) % PARTS_IN_FLIGHT == 0:
        _send_parts(ack.heir, departure, context)
    if not any(departure.waiting.values()):
        _end_attempt(departure, context)


def _end_attempt(departure, context):
    """Announce the heirs, unless what they were handed no longer holds."""
    gone = _gone(departure, context.state)
    if gone or departure.origins != context.state.origins:
        _start_again(departure, gone, context)
        return
    _announce(departure, context)


def _gone(departure, state):
    """Return the heirs that are dead, or leave themselves."""
    return {heir for heir in departure.heirs if not _stays(heir, state)}


def _stays(heir, state):
    record = state.membership.records.get(heir)
    return record is not None and record.status in STAYING


def _start_again(departure, gone, context):
    if gone:
        context.log("WARNING", "heirs given up", heirs=len(gone))
    remaining = tuple(heir for heir in departure.heirs if heir not in gone)
    _start_attempt(departure, remaining, context)


def _hand_over(departure, context):
    """Send again what wasn't acknowledged; give up heirs that stay silent."""
    state = context.state
    silent = {heir for heir, parts in departure.waiting.items() if parts}
    gone = _gone(departure, state)
    if context.now_ms >= departure.until_ms:
        gone |= silent
    if gone:
        _start_again(departure, gone, context)
        return
    for heir in silent:
        if context.now_ms - departure.sent_ms.get(heir, 0) >= RESEND_MS:
            _send_parts(heir, departure, context)


def _announce(departure, context):
    """Every heir holds its part: from here on they answer for this balancer."""
    state = context.state
    departure.stage = Stage.ANNOUNCED
    departure.until_ms = context.now_ms + ANNOUNCE_MS
    own = state.info.incarnation
    state.successions[own] = KnownSuccession(departure.heirs, context.now_ms)
    state.membership.set_own_status(MemberStatus.LEFT)
    message = Succession(own, list(departure.heirs), 0)
    for record in state.membership.records.values():
        if record.status <= MemberStatus.SUSPECT:
            context.act(SendPeer(record.peer_address, message))
    departure.sent_ms = dict.fromkeys(departure.heirs, context.now_ms)
    context.log("INFO", "succession announced", heirs=len(departure.heirs))


def on_succession_ack(ack: SuccessionAck, _sender, context):
    """Note that an heir has taken up its part."""
    departure = context.state.departure
    if departure is not None and ack.leaver == context.state.info.incarnation:
        departure.taken_up.add(ack.heir)


def _await_heirs(departure, context):
    state = context.state
    missing = [heir for heir in departure.heirs if heir not in departure.taken_up]
    if not missing or context.now_ms >= departure.until_ms:
        _linger(departure, context)
        return
    message = Succession(state.info.incarnation, list(departure.heirs), 0)
    for heir in missing:
        record = state.membership.records.get(heir)
        if record and context.now_ms - departure.sent_ms[heir] >= RESEND_MS:
            departure.sent_ms[heir] = context.now_ms
            context.act(SendPeer(record.peer_address, message))


def _linger(departure, context):
    """Stay a little to pass on what is still sent here."""
    departure.stage = Stage.LINGERING
    departure.until_ms = context.now_ms + LINGER_MS
    context.state.membership.set_own_status(MemberStatus.LEFT)


def _stop(context):
    state = context.state
    for line in list(state.lines.values()):
        drop_line(line, "the balancer has left", context)
    state.phase = Phase.LEFT
    context.log("INFO", "left")
    context.act(Stop())
