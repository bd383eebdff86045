"""Protocol logic of block-wise transfers (RFC 7959)."""

from ._codec import GET, Block, Request
from ._exchange import Exchange
from ._results import Answered, Failed, Unknown

SIZE_EXPONENT = 6  # blocks of 1024 bytes
MAX_RESTARTS = 8


class Fetch:
    """State machine of a block-wise GET, with the interface of ``Exchange``.

    Each block must follow the previous one and carry the same ETag. If the ETag
    changes, the fetch starts again. The result holds the whole body or none of it.

    Attributes:
        path: The resource.
        deadline_s: When the fetch ends at the latest.
        exchange: The ``Exchange`` of the current block.
        body: The blocks received so far.
        restarts: Number of times the fetch has started again.
        outcome: The result, None until it is known.
    """

    def __init__(self, path, *, deadline_s, identifiers, echo_store, retry=True):
        self.path = path
        self.deadline_s = deadline_s
        self.identifiers = identifiers
        self.echo_store = echo_store
        self.retry = retry
        self.exchange = None
        self.body = b""
        self.etag = None
        self.size_exponent = SIZE_EXPONENT
        self.restarts = 0
        self.sent = 0
        self.outcome = None

    @property
    def tokens(self):
        """The tokens of the current block's exchange."""
        return self.exchange.tokens

    @property
    def due_s(self):
        """When ``on_timer`` has to be called."""
        return self.exchange.due_s

    def start(self, now_s):
        """Return the first datagrams to send."""
        return self._request_block(now_s)

    def on_timer(self, now_s):
        """Return the datagrams that are due at ``due_s``."""
        datagrams = self.exchange.on_timer(now_s)
        return datagrams + self._advance(now_s)

    def on_reply(self, reply, now_s):
        """Return the datagrams to send after a reply for the current block."""
        datagrams = self.exchange.on_reply(reply, now_s)
        return datagrams + self._advance(now_s)

    def _request_block(self, now_s):
        """Request the next block."""
        number = len(self.body) >> (self.size_exponent + 4)
        block = Block(number, False, self.size_exponent)
        self.exchange = Exchange(
            Request(GET, self.path, block=block),
            deadline_s=self.deadline_s,
            identifiers=self.identifiers,
            echo_store=self.echo_store,
            retry=self.retry,
        )
        return self.exchange.start(now_s)

    def _advance(self, now_s):
        """Continue with the next block once the current exchange has ended."""
        outcome = self.exchange.outcome
        if self.outcome is not None or outcome is None:
            return []
        if not isinstance(outcome, Answered):
            self.outcome = outcome
            return []
        return self._add_block(self.exchange.reply, now_s)

    def _add_block(self, reply, now_s):
        """Append a block to the body, or finish with the reason why it doesn't fit."""
        if self.body and reply.etag != self.etag:
            return self._restart(now_s)
        self.etag = reply.etag
        error = self._block_error(reply)
        if error:
            self.outcome = Failed("", error)
            return []
        self.body += reply.payload
        if reply.block is not None and reply.block.more:
            self.size_exponent = reply.block.size_exponent
            return self._request_block(now_s)
        return self._finish(reply)

    def _block_error(self, reply):
        """Return why the block doesn't fit, or an empty string if it does."""
        block = reply.block
        if block is None:
            return "a block has no Block2 option" if self.body else ""
        if block.size_exponent > SIZE_EXPONENT:
            return f"block size exponent {block.size_exponent} isn't supported"
        if block.start != len(self.body):
            return f"block starts at byte {block.start}, expected {len(self.body)}"
        if block.more and len(reply.payload) != block.size:
            return f"block {block.number} is truncated: {len(reply.payload)} bytes"
        if len(reply.payload) > block.size:
            return f"block {block.number} is too long: {len(reply.payload)} bytes"
        return ""

    def _restart(self, now_s):
        """Start again because the resource changed between two blocks."""
        self.restarts += 1
        self.body = b""
        self.etag = None
        if self.restarts > MAX_RESTARTS:
            self.outcome = Unknown(
                f"the resource changed {self.restarts} times during the fetch"
            )
            return []
        return self._request_block(now_s)

    def _finish(self, reply):
        """Finish with the whole body, if it has the announced size."""
        if reply.size is not None and reply.size != len(self.body):
            reason = f"body has {len(self.body)} bytes, expected {reply.size}"
            self.outcome = Failed("", reason)
            return []
        self.outcome = Answered(reply.dotted, self.body)
        return []
