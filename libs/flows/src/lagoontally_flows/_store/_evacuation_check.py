"""Finds out that this data centre's reader has missed an evacuation or its end.

Nobody in a data centre can notice that, but balancers of others contradict it.
"""

from ._call_timing import FRESH_MS

FIRST_PAUSE_MS = 5_000  # between two readings while the contradiction goes on
MAX_PAUSE_MS = 60_000
FORGET_MS = 10_000  # balancers tell what they know more often
NOTICE_PAUSE_MS = 1_000  # between two messages to the reader


class EvacuationCheck:
    """Decides when a reader reads the store again for a contradicting list.

    Attributes:
        since_ms: Since when the list here has been contradicted, or None.
    """

    def __init__(self):
        self.since_ms = None
        self._last_ms = None
        self._pause_ms = FIRST_PAUSE_MS
        self._next_read_ms = 0
        self._heard = None
        self._next_notice_ms = 0

    def on_contradiction(self, message, now_ms):
        """Record a list that differs from the one here, which should cover it.

        Args:
            message: The ``Evacuated`` with all of its entries.
            now_ms: Current time.
        """
        self._heard = message
        if self.since_ms is None or now_ms - self._last_ms > FORGET_MS:
            self.since_ms = now_ms
        self._last_ms = now_ms

    def notice(self, now_ms):
        """Return what the reader of this data centre should hear, None for nothing.

        It may hear none of the others, and members know no more than it does.
        """
        if self._heard is None or now_ms < self._next_notice_ms:
            return None
        self._next_notice_ms = now_ms + NOTICE_PAUSE_MS
        heard, self._heard = self._heard, None
        return heard

    def is_due(self, now_ms):
        """Return whether to read the store again now.

        A contradiction counts once it has lasted and was heard again: the change may
        just not have arrived yet.
        """
        return (
            self.since_ms is not None
            and self._last_ms - self.since_ms >= FRESH_MS
            and now_ms >= self._next_read_ms
        )

    def on_reread(self, now_ms):
        """Record that the store is read again for a contradiction."""
        self._next_read_ms = now_ms + self._pause_ms
        self._pause_ms = min(2 * self._pause_ms, MAX_PAUSE_MS)
        self.since_ms = None

    def on_read(self, now_ms):
        """Record a consistent read; what was heard before counts no more."""
        self.since_ms = None
        if now_ms - self._next_read_ms > MAX_PAUSE_MS:
            self._pause_ms = FIRST_PAUSE_MS
