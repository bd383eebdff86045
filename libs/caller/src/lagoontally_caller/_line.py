"""Decisions for an open line: registration, order, renewal and breaks.

Nothing here reads a clock or a socket. ``LineState`` is told what arrives and
what time it is, and returns what to do.
"""

from enum import StrEnum
from typing import NamedTuple

from ._codec import (
    ACK,
    GET,
    SERVICE_UNAVAILABLE,
    SUCCESS_CLASS,
    Request,
    encode_request,
)
from ._exchange import ACK_RANDOM_FACTOR, MS_PER_S
from ._identifiers import EchoStore

RENEW_S = 30.0
SILENCE_S = 45.0
ANSWER_TIMEOUT_S = 4.0
REPEAT_S = 1.0
ANSWER_WAIT_LIMIT_S = 20.0
REFUSAL_BACKOFF_S = 0.5
REFUSAL_BACKOFF_LIMIT = 10
REFUSAL_ROUNDS_LIMIT = 4
RETRY_JITTER_FACTOR = 1.5
SEQUENCE_LIMIT = 1 << 24
SEQUENCE_HALF = 1 << 23
SEQUENCE_AGE_S = 128.0


class LineStatus(StrEnum):
    """Whether a line is heard."""

    OPEN = "open"
    RENEWING = "renewing"
    BROKEN = "broken"


class Notification(NamedTuple):
    """What a line has said.

    Attributes:
        code: The response code, such as ``2.05``.
        sequence: The Observe sequence number.
        body: The payload.
    """

    code: str
    sequence: int
    body: bytes


class SendDatagram(NamedTuple):
    """Send a datagram on the line's current socket."""

    datagram: bytes


class ChangeSocket(NamedTuple):
    """Continue from a new socket, and call ``register`` once it is there."""

    reason: str


class Deliver(NamedTuple):
    """Hand a notification to the caller."""

    notification: Notification


def is_newer(sequence, received_s, *, last_sequence, last_s):
    """Return whether a notification is newer than the last one (RFC 7641, 3.4).

    Args:
        sequence: Its 24-bit sequence number.
        received_s: When it was received.
        last_sequence: The sequence number of the newest one so far.
        last_s: When that one was received.

    Returns:
        True when it is newer.
    """
    if received_s > last_s + SEQUENCE_AGE_S:
        return True
    ahead = (sequence - last_sequence) % SEQUENCE_LIMIT
    return 0 < ahead < SEQUENCE_HALF


class LineState:
    """One open line.

    A registration that isn't answered in time, or silence, moves the line to a
    new socket with a new token. A renewal keeps the token.

    A renewal carries the newest Echo that came on the line itself, so that it
    finds its home: calls on the same path may have another home, and a line
    with two homes gets each notification twice.

    Attributes:
        status: The ``LineStatus``.
        token: The token of the registration.
        due_s: When ``on_timer`` has to be called.
        heard_s: When the line was last heard; None until then.
        own: The newest Echo that came on this line, from its current socket.
        opened: True once a registration was answered.
        breaks: Intervals of more than ``silence_s`` in which nothing was heard.
        moves: How often the line has changed its socket.
        refusals: Registrations in a row that were answered by a refusal.
        last_refusal: The newest refusal's code and reason.
    """

    def __init__(
        self, path, *, identifiers, renew_s=RENEW_S, silence_s=SILENCE_S, answer_s=None
    ):
        self.request = Request(GET, path, observe=0)
        self.identifiers = identifiers
        self.own = EchoStore()
        self.renew_s = renew_s
        self.silence_s = silence_s
        self.answer_s = ANSWER_TIMEOUT_S if answer_s is None else answer_s
        self.status = LineStatus.RENEWING
        self.token = b""
        self.message_id = None
        self.datagram = b""
        self.due_s = 0.0
        self.interval_s = 0.0
        self.pending = False
        self.heard_s = None
        self.silent_since_s = 0.0
        self.opened = False
        self.breaks = 0
        self.moves = 0
        self.refusals = 0
        self.last_refusal = ""
        self.sequence = None
        self.sequence_s = 0.0
        self.sent_s = 0.0
        self.answer_due_s = 0.0
        self.next_send_s = 0.0
        self.unanswered = 0

    def open(self, echo_store, now_s):
        """Register the line for the first time."""
        self.silent_since_s = now_s
        return self.register(echo_store, now_s)

    def register(self, echo_store, now_s):
        """Register from the current socket under a new token."""
        self.token = self.identifiers.token()
        self.message_id = None
        return self._send_registration(echo_store, now_s)

    def echo_store(self, path_echoes, now_s):
        """Return the line's own Echoes, or its path's while it has none."""
        return self.own if self.own.current(now_s=now_s) else path_echoes

    def on_timer(self, echo_store, now_s):
        """Return what to do once ``due_s`` has come."""
        if now_s < self.due_s:
            return []
        if now_s >= self._silence_due_s():
            return self._break(now_s)
        if not self.pending:
            return self._send_registration(echo_store, now_s)
        if now_s >= self.answer_due_s:
            return self._move("a registration wasn't answered", now_s)
        if now_s < self.next_send_s:
            self._schedule()
            return []
        self.interval_s *= 2
        self.next_send_s = now_s + self.interval_s
        self._schedule()
        return [SendDatagram(self.datagram)]

    def on_reply(self, reply, echo_store, now_s):
        """Return what a reply with the line's token calls for."""
        if reply.token != self.token:
            return []
        echo_store.keep(reply.echo, now_s=now_s)
        self.own.keep(reply.echo, now_s=now_s)
        acknowledges = reply.type == ACK
        answers = acknowledges and self.pending and reply.message_id == self.message_id
        if reply.code_class != SUCCESS_CLASS:
            if acknowledges and not answers:
                return []
            return self._on_refusal(reply, echo_store, now_s)
        if reply.observe is None:
            # The resource was read but no line was opened.
            self.refusals += 1
            self.last_refusal = f"{reply.dotted} without a line"
            return self._wait_for_retry(REFUSAL_BACKOFF_S, now_s)
        return self._on_heard(reply, answers, now_s)

    def _on_heard(self, reply, answers, now_s):
        """Take a notification or a registration's answer in."""
        if not self._is_newer(reply, answers, now_s):
            if answers:
                self._heard(answers, now_s)
            return []
        repeated = reply.observe == self.sequence
        self.sequence = reply.observe
        self.sequence_s = now_s
        self._heard(answers, now_s)
        if repeated:
            return []
        return [Deliver(Notification(reply.dotted, reply.observe, reply.payload))]

    def _is_newer(self, reply, answers, now_s):
        """Return whether a notification comes after the last one.

        A registration's answer is newer than all that came before it was asked
        for: a new home of the line may count from another number.
        """
        if self.sequence is None or (answers and self.sequence_s <= self.sent_s):
            return True
        return is_newer(
            reply.observe,
            now_s,
            last_sequence=self.sequence,
            last_s=self.sequence_s,
        )

    def _heard(self, answers, now_s):
        """Note that the line works."""
        self.heard_s = now_s
        self.silent_since_s = now_s
        first = not self.opened
        self.opened = True
        if answers or first:
            self.pending = False
            self.refusals = 0
            self.unanswered = 0
            self.next_send_s = now_s + self.renew_s
        if not self.pending or self.status is LineStatus.BROKEN:
            self.status = LineStatus.OPEN
        self._schedule()

    def _on_refusal(self, reply, echo_store, now_s):
        """Register again after a refusal, at once where an Echo came with it."""
        self.refusals += 1
        self.last_refusal = f"{reply.dotted} {reply.diagnostic}".strip()
        renew_at_once = reply.echo and self.refusals <= REFUSAL_ROUNDS_LIMIT
        if reply.code == SERVICE_UNAVAILABLE or not renew_at_once:
            wait_s = REFUSAL_BACKOFF_S * min(self.refusals, REFUSAL_BACKOFF_LIMIT)
            if reply.code == SERVICE_UNAVAILABLE:
                wait_s = max(wait_s, float(reply.max_age_s))
            return self._wait_for_retry(wait_s, now_s)
        if self.opened and self.refusals == 1:
            return self._send_registration(echo_store, now_s)
        return self.register(echo_store, now_s)

    def _wait_for_retry(self, wait_s, now_s):
        """Register again after a pause, under a new token."""
        factor = self.identifiers.random.uniform(1.0, RETRY_JITTER_FACTOR)
        self.pending = False
        self.status = self._waiting_status()
        self.token = self.identifiers.token()
        self.message_id = None
        self.next_send_s = now_s + wait_s * factor
        self._schedule()
        return []

    def _send_registration(self, echo_store, now_s):
        """Send a registration under the current token, with the newest Echo."""
        self.message_id = self.identifiers.message_id()
        self.sent_s = now_s
        factor = 1 << max(self.unanswered - 1, 0)
        wait_s = min(self.answer_s * factor, ANSWER_WAIT_LIMIT_S)
        self.datagram = encode_request(
            self.request,
            message_id=self.message_id,
            token=self.token,
            echo=self.echo_store(echo_store, now_s).current(now_s=now_s),
            time_left_ms=wait_s * MS_PER_S,
        )
        jitter = self.identifiers.random.uniform(1.0, ACK_RANDOM_FACTOR)
        self.interval_s = REPEAT_S * jitter
        self.pending = True
        self.status = self._waiting_status()
        self.next_send_s = now_s + self.interval_s
        self.answer_due_s = now_s + wait_s
        self._schedule()
        return [SendDatagram(self.datagram)]

    def _break(self, now_s):
        """Count a silent interval and move on."""
        self.breaks += 1
        self.status = LineStatus.BROKEN
        self.silent_since_s = now_s
        if self.refusals and not self.pending:
            # The path works, and the refusal said when to come back.
            self._schedule()
            return []
        return self._move("nothing was heard", now_s)

    def _move(self, reason, now_s):
        """Continue from a new socket; a new registration has its own order."""
        self.moves += 1
        # The home that it names may be what has gone silent.
        self.own = EchoStore()
        self.unanswered = min(self.unanswered + 1, 2)
        self.refusals = 0
        self.sequence = None
        self.next_send_s = now_s
        self.answer_due_s = now_s
        self.pending = False
        self._schedule()
        return [ChangeSocket(reason)]

    def _waiting_status(self):
        """Return the status while a registration is under way."""
        broken = self.status is LineStatus.BROKEN
        return LineStatus.BROKEN if broken else LineStatus.RENEWING

    def _silence_due_s(self):
        """Return when the current silence counts as a break."""
        return self.silent_since_s + self.silence_s

    def _schedule(self):
        """Set the time of the next decision."""
        due_s = self.next_send_s
        if self.pending:
            due_s = min(due_s, self.answer_due_s)
        self.due_s = min(due_s, self._silence_due_s())
