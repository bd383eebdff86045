"""Decisions for one request: repeats, Echo rounds and its outcome.

Nothing here reads a clock or a socket. Every call gets the time and returns
the datagrams to send; ``due_s`` says when ``on_timer`` has to be called.
"""

from ._codec import (
    CLIENT_ERROR_CLASS,
    GATEWAY_TIMEOUT,
    SERVICE_UNAVAILABLE,
    SUCCESS_CLASS,
    UNAUTHORIZED,
    encode_request,
)
from ._results import Answered, Failed, NotRun, Unknown

ACK_TIMEOUT_S = 2.0
ACK_RANDOM_FACTOR = 1.5
ECHO_ROUNDS_LIMIT = 4
ECHO_RETRY_AFTER_S = 1.0
BACKOFF_S = 0.5
RETRY_JITTER_FACTOR = 1.5
MS_PER_S = 1000


class Exchange:
    """One request from its first datagram to its outcome.

    A round is one token. A request that may run only once is sent again within
    its round as the same datagram, and gets a new round only by a 4.01, which
    says that nothing was run. An idempotent request gets a new round for each
    repeat.

    Attributes:
        request: The ``Request``.
        deadline_s: When the outcome is due at the latest.
        retry: True when a refused idempotent request is sent again in time.
        tokens: The tokens of all rounds; the last one is the current round's.
        due_s: When ``on_timer`` has to be called.
        outcome: The result, None until it is known.
        reply: The reply behind the outcome, where there is one.
        sent: Datagrams sent so far.
    """

    def __init__(
        self, request, *, deadline_s, identifiers, echo_store, retry=False, token=None
    ):
        self.request = request
        self.deadline_s = deadline_s
        self.identifiers = identifiers
        self.echo_store = echo_store
        self.retry = retry and request.idempotent
        self.tokens = []
        self.first_token = token
        self.due_s = deadline_s
        self.outcome = None
        self.reply = None
        self.sent = 0
        self.datagram = b""
        self.echo = b""
        self.interval_s = 0.0
        self.echo_rounds = 0
        self.last_refusal = None

    def start(self, now_s):
        """Return the datagrams that begin the exchange."""
        jitter = self.identifiers.random.uniform(1.0, ACK_RANDOM_FACTOR)
        self.interval_s = ACK_TIMEOUT_S * jitter
        return self._new_round(now_s)

    def on_timer(self, now_s):
        """Return the datagrams to send once ``due_s`` has come."""
        if self.outcome is not None or now_s < self.due_s:
            return []
        if now_s >= self.deadline_s:
            self._expire()
            return []
        self.interval_s *= 2
        if self.request.idempotent:
            return self._new_round(now_s)
        self._schedule(now_s)
        self.sent += 1
        return [self.datagram]

    def on_reply(self, reply, now_s):
        """Return the datagrams that a reply with one of our tokens calls for."""
        if self.outcome is not None or reply.token not in self.tokens:
            return []
        if self.request.observe is not None and reply.observe is not None:
            # A notification that was on its way when its line was closed.
            return []
        self.echo_store.keep(reply.echo, now_s=now_s)
        if reply.code_class == SUCCESS_CLASS:
            # It was run, whichever round it belongs to.
            self._finish(Answered(reply.dotted, reply.payload), reply)
            return []
        if reply.token != self.tokens[-1]:
            return []
        return self._on_refusal(reply, now_s)

    def _on_refusal(self, reply, now_s):
        """Handle a reply to the current round that isn't a success."""
        if reply.code == UNAUTHORIZED and reply.echo:
            return self._on_echo_asked(reply, now_s)
        if reply.code_class == CLIENT_ERROR_CLASS:
            self._finish(Failed(reply.dotted, reply.diagnostic), reply)
            return []
        if reply.code == SERVICE_UNAVAILABLE:
            refusal = NotRun(float(reply.max_age_s), reply.diagnostic)
            return self._retry_or_finish(refusal, reply, reply.max_age_s, now_s)
        # 5.04, and any other code that doesn't say what was run.
        reason = f"{reply.dotted} {reply.diagnostic}".strip()
        if reply.code != GATEWAY_TIMEOUT and not self.request.idempotent:
            reason = f"unexpected answer {reason}"
        return self._retry_or_finish(Unknown(reason), reply, BACKOFF_S, now_s)

    def _on_echo_asked(self, reply, now_s):
        """Repeat with the Echo, under a new token: nothing was run."""
        self.echo_rounds += 1
        if self.echo_rounds > ECHO_ROUNDS_LIMIT:
            reason = f"asked for an Echo {self.echo_rounds} times"
            self._finish(NotRun(ECHO_RETRY_AFTER_S, reason), reply)
            return []
        if now_s >= self.deadline_s:
            self._expire()
            return []
        return self._new_round(now_s)

    def _retry_or_finish(self, refusal, reply, wait_s, now_s):
        """Wait for another round, or finish where that would be too late."""
        factor = self.identifiers.random.uniform(1.0, RETRY_JITTER_FACTOR)
        again_s = now_s + max(wait_s, BACKOFF_S) * factor
        if not self.retry or again_s >= self.deadline_s:
            self._finish(refusal, reply)
            return []
        self.last_refusal = refusal
        self.due_s = again_s
        return []

    def _new_round(self, now_s):
        """Send the request under a new token, with the newest Echo."""
        token = self.first_token or self.identifiers.token()
        if self.request.observe is None:
            self.first_token = None
        self.tokens.append(token)
        self.last_refusal = None
        self.echo = self.echo_store.current(now_s=now_s)
        self.datagram = encode_request(
            self.request,
            message_id=self.identifiers.message_id(),
            token=token,
            echo=self.echo,
            time_left_ms=(self.deadline_s - now_s) * MS_PER_S,
        )
        self.sent += 1
        self._schedule(now_s)
        return [self.datagram]

    def _schedule(self, now_s):
        """Set the time of the next repeat, at the deadline at the latest."""
        self.due_s = min(now_s + self.interval_s, self.deadline_s)

    def _expire(self):
        """Finish at the deadline; the home that the Echo names may be lost."""
        self.echo_store.drop(self.echo)
        self._finish(self.last_refusal or Unknown("no answer by the deadline"), None)

    def _finish(self, outcome, reply):
        """Fix the outcome."""
        self.outcome = outcome
        self.reply = reply
