"""Protocol logic of a line: registration, ordering, renewal and breaks.

The module does no I/O and reads no clock. ``LineState`` is passed the received
messages and the time, and returns the actions to execute.
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

RENEW_INTERVAL_S = 30.0
SILENCE_TIMEOUT_S = 45.0
ANSWER_TIMEOUT_S = 4.0
RETRANSMIT_INTERVAL_S = 1.0
MAX_ANSWER_TIMEOUT_S = 20.0
REFUSAL_BACKOFF_S = 0.5
MAX_REFUSAL_BACKOFF_FACTOR = 10
MAX_IMMEDIATE_RETRIES = 4
RETRY_JITTER_FACTOR = 1.5
SEQUENCE_MODULUS = 1 << 24
SEQUENCE_HALF_RANGE = 1 << 23
MAX_SEQUENCE_AGE_S = 128.0


class LineStatus(StrEnum):
    """Whether a line delivers notifications."""

    OPEN = "open"
    RENEWING = "renewing"
    BROKEN = "broken"


class Notification(NamedTuple):
    """A notification received on a line.

    Attributes:
        code: The response code, such as ``2.05``.
        sequence: The Observe sequence number.
        body: The payload.
        complete: Whether that is the whole body; the rest of a longer one can be
            fetched.
    """

    code: str
    sequence: int
    body: bytes
    complete: bool = True


class SendDatagram(NamedTuple):
    """Send a datagram on the line's current socket."""

    datagram: bytes


class ChangeSocket(NamedTuple):
    """Switch the line to a new socket, then call ``register``."""

    reason: str


class Deliver(NamedTuple):
    """Pass a notification to the application."""

    notification: Notification


def is_newer(sequence, received_s, *, last_sequence, last_s):
    """Return whether a notification is newer than the last one (RFC 7641, 3.4).

    Args:
        sequence: The notification's 24-bit sequence number.
        received_s: When the notification was received.
        last_sequence: The sequence number of the newest notification so far.
        last_s: When that notification was received.

    Returns:
        True if the notification is newer.
    """
    if received_s > last_s + MAX_SEQUENCE_AGE_S:
        return True
    ahead = (sequence - last_sequence) % SEQUENCE_MODULUS
    return 0 < ahead < SEQUENCE_HALF_RANGE


class LineState:
    """State machine of one line (RFC 7641, Observe).

    If a registration isn't answered in time, or nothing is received for
    ``silence_s``, the line moves to a new socket with a new token. A renewal keeps
    the token.

    A renewal carries the newest Echo received on the line itself, so that it
    reaches the line's home: calls on the same path may have another home, and a
    line with two homes gets each notification twice.

    Attributes:
        status: The ``LineStatus``.
        token: The token of the registration.
        due_s: When ``on_timer`` has to be called.
        last_received_s: When a message was last received; None before the first.
        own_store: The newest Echo received on this line's current socket.
        opened: True once a registration has succeeded.
        breaks: Number of intervals of ``silence_s`` without a message.
        moves: Number of times the line has changed its socket.
        refusals: Number of consecutive refused registrations.
        last_refusal: The code and reason of the newest refusal.
    """

    def __init__(
        self,
        path,
        *,
        identifiers,
        renew_s=RENEW_INTERVAL_S,
        silence_s=SILENCE_TIMEOUT_S,
        answer_timeout_s=None,
    ):
        self.request = Request(GET, path, observe=0)
        self.identifiers = identifiers
        self.own_store = EchoStore()
        self.renew_s = renew_s
        self.silence_s = silence_s
        self.answer_timeout_s = (
            ANSWER_TIMEOUT_S if answer_timeout_s is None else answer_timeout_s
        )
        self.status = LineStatus.RENEWING
        self.token = b""
        self.message_id = None
        self.datagram = b""
        self.due_s = 0.0
        self.retransmit_interval_s = 0.0
        self.pending = False
        self.last_received_s = None
        self.silent_since_s = 0.0
        self.opened = False
        self.breaks = 0
        self.moves = 0
        self.refusals = 0
        self.last_refusal = ""
        self.sequence = None
        self.sequence_received_s = 0.0
        self.registration_sent_s = 0.0
        self.answer_due_s = 0.0
        self.send_due_s = 0.0
        self.unanswered_registrations = 0

    def open(self, echo_store, now_s):
        """Return the actions of the first registration."""
        self.silent_since_s = now_s
        return self.register(echo_store, now_s)

    def register(self, echo_store, now_s):
        """Return the actions that register from the current socket with a new token."""
        self.token = self.identifiers.token()
        self.message_id = None
        return self._send_registration(echo_store, now_s)

    def choose_echo_store(self, path_store, now_s):
        """Return the line's own Echo store if it holds an Echo, or else its path's."""
        return self.own_store if self.own_store.current(now_s=now_s) else path_store

    def on_timer(self, echo_store, now_s):
        """Return the actions that are due at ``due_s``."""
        if now_s < self.due_s:
            return []
        if now_s >= self._break_due_s():
            return self._break(now_s)
        if not self.pending:
            return self._send_registration(echo_store, now_s)
        if now_s >= self.answer_due_s:
            return self._move("registration timed out", now_s)
        if now_s < self.send_due_s:
            self._schedule()
            return []
        self.retransmit_interval_s *= 2
        self.send_due_s = now_s + self.retransmit_interval_s
        self._schedule()
        return [SendDatagram(self.datagram)]

    def on_reply(self, reply, echo_store, now_s):
        """Return the actions for a reply with the line's token."""
        if reply.token != self.token:
            return []
        echo_store.keep(reply.echo, now_s=now_s)
        self.own_store.keep(reply.echo, now_s=now_s)
        acknowledges = reply.type == ACK
        answers = acknowledges and self.pending and reply.message_id == self.message_id
        if reply.code_class != SUCCESS_CLASS:
            if acknowledges and not answers:
                return []
            return self._on_refusal(reply, echo_store, now_s)
        if reply.observe is None:
            # The server answered the GET but didn't register an observation.
            self.refusals += 1
            self.last_refusal = f"{reply.dotted} without an Observe option"
            return self._wait_for_retry(REFUSAL_BACKOFF_S, now_s)
        return self._on_notification(reply, answers, now_s)

    def _on_notification(self, reply, answers, now_s):
        """Handle a notification or a successful registration."""
        if not self._is_newer(reply, answers, now_s):
            if answers:
                self._record_receipt(answers, now_s)
            return []
        repeated = reply.observe == self.sequence
        self.sequence = reply.observe
        self.sequence_received_s = now_s
        self._record_receipt(answers, now_s)
        if repeated:
            return []
        complete = reply.block is None or not (reply.block.more or reply.block.start)
        notification = Notification(
            reply.dotted, reply.observe, reply.payload, complete
        )
        return [Deliver(notification)]

    def _is_newer(self, reply, answers, now_s):
        """Return whether a reply is newer than the last notification.

        The answer to a registration is newer than everything received before the
        registration was sent: a new home may number its notifications from
        another start.
        """
        if self.sequence is None or (
            answers and self.sequence_received_s <= self.registration_sent_s
        ):
            return True
        return is_newer(
            reply.observe,
            now_s,
            last_sequence=self.sequence,
            last_s=self.sequence_received_s,
        )

    def _record_receipt(self, answers, now_s):
        """Record that a message was received on the line."""
        self.last_received_s = now_s
        self.silent_since_s = now_s
        first = not self.opened
        self.opened = True
        if answers or first:
            self.pending = False
            self.refusals = 0
            self.unanswered_registrations = 0
            self.send_due_s = now_s + self.renew_s
        if not self.pending or self.status is LineStatus.BROKEN:
            self.status = LineStatus.OPEN
        self._schedule()

    def _on_refusal(self, reply, echo_store, now_s):
        """Register again after a refusal, at once if the refusal carries an Echo."""
        self.refusals += 1
        self.last_refusal = f"{reply.dotted} {reply.diagnostic}".strip()
        renew_at_once = reply.echo and self.refusals <= MAX_IMMEDIATE_RETRIES
        if reply.code == SERVICE_UNAVAILABLE or not renew_at_once:
            wait_s = REFUSAL_BACKOFF_S * min(self.refusals, MAX_REFUSAL_BACKOFF_FACTOR)
            if reply.code == SERVICE_UNAVAILABLE:
                wait_s = max(wait_s, float(reply.max_age_s))
            return self._wait_for_retry(wait_s, now_s)
        if self.opened and self.refusals == 1:
            return self._send_registration(echo_store, now_s)
        return self.register(echo_store, now_s)

    def _wait_for_retry(self, wait_s, now_s):
        """Schedule another registration with a new token."""
        factor = self.identifiers.random.uniform(1.0, RETRY_JITTER_FACTOR)
        self.pending = False
        self.status = self._pending_status()
        self.token = self.identifiers.token()
        self.message_id = None
        self.send_due_s = now_s + wait_s * factor
        self._schedule()
        return []

    def _send_registration(self, echo_store, now_s):
        """Send a registration with the current token and the newest Echo."""
        self.message_id = self.identifiers.message_id()
        self.registration_sent_s = now_s
        factor = 1 << max(self.unanswered_registrations - 1, 0)
        wait_s = min(self.answer_timeout_s * factor, MAX_ANSWER_TIMEOUT_S)
        self.datagram = encode_request(
            self.request,
            message_id=self.message_id,
            token=self.token,
            echo=self.choose_echo_store(echo_store, now_s).current(now_s=now_s),
            time_left_ms=wait_s * MS_PER_S,
        )
        jitter = self.identifiers.random.uniform(1.0, ACK_RANDOM_FACTOR)
        self.retransmit_interval_s = RETRANSMIT_INTERVAL_S * jitter
        self.pending = True
        self.status = self._pending_status()
        self.send_due_s = now_s + self.retransmit_interval_s
        self.answer_due_s = now_s + wait_s
        self._schedule()
        return [SendDatagram(self.datagram)]

    def _break(self, now_s):
        """Count a break and move the line to a new socket."""
        self.breaks += 1
        self.status = LineStatus.BROKEN
        self.silent_since_s = now_s
        if self.refusals and not self.pending:
            # The path works, and the refusal set the time of the next registration.
            self._schedule()
            return []
        return self._move("no message received", now_s)

    def _move(self, reason, now_s):
        """Move the line to a new socket, whose registration has its own numbering."""
        self.moves += 1
        # The home that the Echo names may be what stopped answering.
        self.own_store = EchoStore()
        self.unanswered_registrations = min(self.unanswered_registrations + 1, 2)
        self.refusals = 0
        self.sequence = None
        self.send_due_s = now_s
        self.answer_due_s = now_s
        self.pending = False
        self._schedule()
        return [ChangeSocket(reason)]

    def _pending_status(self):
        """Return the status while the line waits for a registration."""
        broken = self.status is LineStatus.BROKEN
        return LineStatus.BROKEN if broken else LineStatus.RENEWING

    def _break_due_s(self):
        """Return when the line counts as broken if nothing is received."""
        return self.silent_since_s + self.silence_s

    def _schedule(self):
        """Set when ``on_timer`` has to be called next."""
        due_s = self.send_due_s
        if self.pending:
            due_s = min(due_s, self.answer_due_s)
        self.due_s = min(due_s, self._break_due_s())
