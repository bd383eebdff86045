"""The event loop of the stand-ins: sockets and timers in one thread."""

import heapq
import itertools
import selectors
import time


class Loop:
    """Serves sockets and timers.

    Attributes:
        now: Seconds of the steady clock, renewed each turn.
    """

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers = []
        self.order = itertools.count()
        self.now = time.monotonic()

    def watch(self, sock, callback):
        """Call ``callback`` whenever a socket can be read."""
        sock.setblocking(False)
        self.selector.register(sock, selectors.EVENT_READ, callback)

    def unwatch(self, sock):
        """Stop watching a socket and close it."""
        self.selector.unregister(sock)
        sock.close()

    def after(self, delay_s, callback):
        """Call ``callback`` once, after some seconds."""
        heapq.heappush(self.timers, (self.now + delay_s, next(self.order), callback))

    def run_until(self, condition, timeout_s):
        """Serve until a condition holds.

        Args:
            condition: Function without arguments.
            timeout_s: When to give up.

        Returns:
            Whether the condition held in time.
        """
        end = time.monotonic() + timeout_s
        while not condition():
            self.now = time.monotonic()
            if self.now >= end:
                return False
            self._turn(end)
        return True

    def run_for(self, duration_s):
        """Serve for some seconds."""
        self.run_until(lambda: False, duration_s)

    def _turn(self, end):
        due = min(self.timers[0][0] if self.timers else end, end)
        for key, _ in self.selector.select(max(0.0, min(due - self.now, 0.05))):
            if key.fileobj.fileno() >= 0:
                key.data()
        self.now = time.monotonic()
        while self.timers and self.timers[0][0] <= self.now:
            heapq.heappop(self.timers)[2]()
