"""Decisions for fetching a body of many blocks, whole or not at all."""

from ._codec import GET, Block, Request
from ._exchange import Exchange
from ._results import Answered, Failed, Unknown

SIZE_EXPONENT = 6
RESTARTS_LIMIT = 8


class Fetch:
    """A block-wise GET from its first block to the whole body.

    Every block must follow the one before it and carry the same ETag; when the
    ETag changes, the fetch begins again. It has the same interface as
    ``Exchange``.

    Attributes:
        path: The resource.
        deadline_s: When the outcome is due at the latest.
        exchange: The exchange for the current block.
        body: The blocks received so far.
        restarts: How often the fetch has begun again.
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
        """The tokens of the current block's rounds."""
        return self.exchange.tokens

    @property
    def due_s(self):
        """When ``on_timer`` has to be called."""
        return self.exchange.due_s

    def start(self, now_s):
        """Return the datagrams that begin the fetch."""
        return self._ask(now_s)

    def on_timer(self, now_s):
        """Return the datagrams to send once ``due_s`` has come."""
        datagrams = self.exchange.on_timer(now_s)
        return datagrams + self._progress(now_s)

    def on_reply(self, reply, now_s):
        """Return the datagrams that a reply to the current block calls for."""
        datagrams = self.exchange.on_reply(reply, now_s)
        return datagrams + self._progress(now_s)

    def _ask(self, now_s):
        """Ask for the block that comes next."""
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

    def _progress(self, now_s):
        """Take the current block in once its exchange has ended."""
        outcome = self.exchange.outcome
        if self.outcome is not None or outcome is None:
            return []
        if not isinstance(outcome, Answered):
            self.outcome = outcome
            return []
        return self._take(self.exchange.reply, now_s)

    def _take(self, reply, now_s):
        """Add a block to the body, or say why it can't be added."""
        if self.body and reply.etag != self.etag:
            return self._restart(now_s)
        self.etag = reply.etag
        fault = self._fault(reply)
        if fault:
            self.outcome = Failed("", fault)
            return []
        self.body += reply.payload
        if reply.block is not None and reply.block.more:
            self.size_exponent = reply.block.size_exponent
            return self._ask(now_s)
        return self._end(reply)

    def _fault(self, reply):
        """Return why the block doesn't fit, empty when it does."""
        block = reply.block
        if block is None:
            return "a block came without its number" if self.body else ""
        if block.size_exponent > SIZE_EXPONENT:
            return f"block size exponent {block.size_exponent} isn't supported"
        if block.start != len(self.body):
            return f"block at byte {block.start} instead of {len(self.body)}"
        if block.more and len(reply.payload) != block.size:
            return f"block {block.number} is cut: {len(reply.payload)} bytes"
        if len(reply.payload) > block.size:
            return f"block {block.number} is too long: {len(reply.payload)} bytes"
        return ""

    def _restart(self, now_s):
        """Begin again: the resource changed between two blocks."""
        self.restarts += 1
        self.body = b""
        self.etag = None
        if self.restarts > RESTARTS_LIMIT:
            self.outcome = Unknown(f"the resource changed {self.restarts} times")
            return []
        return self._ask(now_s)

    def _end(self, reply):
        """Finish with the whole body."""
        if reply.size is not None and reply.size != len(self.body):
            reason = f"body of {len(self.body)} bytes instead of {reply.size}"
            self.outcome = Failed("", reason)
            return []
        self.outcome = Answered(reply.dotted, self.body)
        return []
