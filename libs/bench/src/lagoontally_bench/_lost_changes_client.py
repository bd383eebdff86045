"""A client of the store and of peers on a virtual clock."""

from lagoontally_forwarder._http_client import HttpFailure


class Client:
    """Stands in for ``HttpClient``; see there."""

    def __init__(self, loop, address, *, on_error=None, count=None):
        self.loop = loop
        self.address = address
        self.number = 0
        self.path = ""
        self._on_done = None
        self._deadline_ms = 0

    @property
    def busy(self):
        """Whether a request is in progress."""
        return self._on_done is not None

    def get(self, path, timeout_ms, on_done):
        """Start a request."""
        self.number += 1
        self.path = path
        self._on_done = on_done
        self._deadline_ms = self.loop.clock() + timeout_ms
        self.loop.fleet.request(self.loop, self, path)

    def on_tick(self, now_ms):
        """Fail a request that has timed out."""
        if self.busy and now_ms >= self._deadline_ms:
            self.finish(self.number, HttpFailure("timeout"))

    def cancel(self):
        """Drop the request."""
        self._on_done = None

    def close(self):
        """Close the connection."""

    def await_until(self, due_ms):
        """Extend the deadline, as the bytes of a slow response do."""
        self._deadline_ms = max(self._deadline_ms, due_ms + 1)

    def finish(self, number, result):
        """Hand over the result of a request unless it was dropped."""
        if self.busy and number == self.number:
            self.loop.line("answer", path=self.path, result=result)
            on_done, self._on_done = self._on_done, None
            on_done(result)
