"""When a follower fetches what a reader has announced.

Fetches are spread by random delays, so that the members don't ask the reader at the
same time. A delay begins with the first announcement that isn't followed yet: later
ones don't postpone the fetch, which returns the newest state anyway.
"""


class ScheduledFetch:
    """The due time of one kind of fetch.

    Args:
        retry_ms: Pause before a fetch is repeated.

    Attributes:
        due_ms: When the fetch is due, None if none is scheduled.
    """

    def __init__(self, retry_ms):
        self.retry_ms = retry_ms
        self.due_ms = None

    def schedule(self, due_ms):
        """Schedule a fetch unless one is scheduled already."""
        if self.due_ms is None:
            self.due_ms = due_ms

    def is_due(self, now_ms):
        """Return whether a fetch is scheduled and due."""
        return self.due_ms is not None and now_ms >= self.due_ms

    def precedes(self, other):
        """Return whether the fetch is due no later than another ``ScheduledFetch``."""
        return other.due_ms is None or self.due_ms <= other.due_ms

    def on_call(self, now_ms):
        """Record that the fetch is made; it is repeated until it is cancelled."""
        self.due_ms = now_ms + self.retry_ms

    def cancel(self):
        """Drop the fetch, as nothing is missing any more."""
        self.due_ms = None
