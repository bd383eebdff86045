"""Protocol logic of one request: retransmission, Echo rounds and its outcome.

The module does no I/O and reads no clock. Every call is passed the time and
returns the datagrams to send; ``due_s`` is when ``on_timer`` has to be called.
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
MAX_ECHO_ROUNDS = 4
ECHO_RETRY_AFTER_S = 1.0
MIN_RETRY_WAIT_S = 0.5
RETRY_JITTER_FACTOR = 1.5
MS_PER_S = 1000


class Exchange:
    """State machine of one request, from its first datagram to its outcome.

    All datagrams of a round carry the same token. A request that isn't idempotent
    is retransmitted as the same datagram, and starts a new round only after a
    4.01, which means that nothing was run. An idempotent request starts a new
    round for each retransmission.

    Attributes:
        request: The ``Request``.
        deadline_s: When the exchange ends at the latest.
        retry: True if a refused idempotent request is sent again before the
            deadline.
        tokens: The tokens of all rounds, the current one last.
        due_s: When ``on_timer`` has to be called.
        outcome: The result, None until it is known.
        reply: The reply that decided the outcome, or None.
        sent: Number of datagrams sent so far.
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
        self.retransmit_interval_s = 0.0
        self.echo_requests = 0
        self.last_refusal = None

    def start(self, now_s):
        """Return the first datagrams to send."""
        jitter = self.identifiers.random.uniform(1.0, ACK_RANDOM_FACTOR)
        self.retransmit_interval_s = ACK_TIMEOUT_S * jitter
        return self._new_round(now_s)

    def on_timer(self, now_s):
        """Return the datagrams that are due at ``due_s``."""
        if self.outcome is not None or now_s < self.due_s:
            return []
        if now_s >= self.deadline_s:
            self._expire()
            return []
        self.retransmit_interval_s *= 2
        if self.request.idempotent:
            return self._new_round(now_s)
        self._schedule(now_s)
        self.sent += 1
        return [self.datagram]

    def on_reply(self, reply, now_s):
        """Return the datagrams to send after a reply with one of ``tokens``."""
        if self.outcome is not None or reply.token not in self.tokens:
            return []
        if self.request.observe is not None and reply.observe is not None:
            # A notification sent before its line was closed.
            return []
        self.echo_store.keep(reply.echo, now_s=now_s)
        if reply.code_class == SUCCESS_CLASS:
            # A success of any round means that the request was run.
            self._finish(self._success(reply), reply)
            return []
        if reply.token != self.tokens[-1]:
            return []
        return self._on_refusal(reply, now_s)

    def _success(self, reply):
        """Return the outcome of a reply that reports a success."""
        in_blocks = reply.block is not None and (reply.block.more or reply.block.start)
        if in_blocks and self.request.block is None:
            size = len(reply.payload)
            return Unknown(f"only {size} bytes of the answer {reply.dotted} arrived")
        return Answered(reply.dotted, reply.payload)

    def _on_refusal(self, reply, now_s):
        """Handle a reply to the current round that isn't a success."""
        if reply.code == UNAUTHORIZED and reply.echo:
            return self._on_echo_required(reply, now_s)
        if reply.code_class == CLIENT_ERROR_CLASS:
            self._finish(Failed(reply.dotted, reply.diagnostic), reply)
            return []
        if reply.code == SERVICE_UNAVAILABLE:
            refusal = NotRun(float(reply.max_age_s), reply.diagnostic)
            return self._retry_or_finish(refusal, reply, reply.max_age_s, now_s)
        # 5.04 and all other codes leave open whether the request was run.
        reason = f"{reply.dotted} {reply.diagnostic}".strip()
        if reply.code != GATEWAY_TIMEOUT and not self.request.idempotent:
            reason = f"unexpected response {reason}"
        return self._retry_or_finish(Unknown(reason), reply, MIN_RETRY_WAIT_S, now_s)

    def _on_echo_required(self, reply, now_s):
        """Start a new round with the Echo: the request wasn't run."""
        self.echo_requests += 1
        if self.echo_requests > MAX_ECHO_ROUNDS:
            reason = f"the server asked for an Echo {self.echo_requests} times"
            self._finish(NotRun(ECHO_RETRY_AFTER_S, reason), reply)
            return []
        if now_s >= self.deadline_s:
            self._expire()
            return []
        return self._new_round(now_s)

    def _retry_or_finish(self, refusal, reply, wait_s, now_s):
        """Schedule another round, or finish if it would start after the deadline."""
        factor = self.identifiers.random.uniform(1.0, RETRY_JITTER_FACTOR)
        retry_due_s = now_s + max(wait_s, MIN_RETRY_WAIT_S) * factor
        if not self.retry or retry_due_s >= self.deadline_s:
            self._finish(refusal, reply)
            return []
        self.last_refusal = refusal
        self.due_s = retry_due_s
        return []

    def _new_round(self, now_s):
        """Send the request with a new token and the newest Echo."""
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
        """Schedule the next retransmission, at the deadline at the latest."""
        self.due_s = min(now_s + self.retransmit_interval_s, self.deadline_s)

    def _expire(self):
        """Finish at the deadline and drop the Echo: the home it names may be down."""
        self.echo_store.drop(self.echo)
        self._finish(self.last_refusal or Unknown("no answer by the deadline"), None)

    def _finish(self, outcome, reply):
        """Set the outcome."""
        self.outcome = outcome
        self.reply = reply
