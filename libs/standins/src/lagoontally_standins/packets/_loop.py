"""A single-threaded event loop for the sockets and timers of the stand-ins."""

import heapq
import itertools
import selectors
import time
from typing import NamedTuple

MAX_ROUND_S = 0.5  # as long as between two probes of a router
CATCH_UP_WAIT_S = 0.02  # balancers forward what waited for them
CATCH_UP_ROUNDS = 50


class Callbacks(NamedTuple):
    """What to call when a socket is readable or writable; None ignores it."""

    on_readable: object
    on_writable: object = None


class Loop:
    """Runs the callbacks of sockets and timers.

    Attributes:
        now: Monotonic time in seconds, updated in each iteration.
        read_at: When sockets were last read.
    """

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers = []
        self.order = itertools.count()
        self.now = self.read_at = time.monotonic()

    def watch(self, sock, callback):
        """Call ``callback`` whenever a socket is readable."""
        sock.setblocking(False)
        self.selector.register(sock, selectors.EVENT_READ, Callbacks(callback))

    def watch_writable(self, sock, callback):
        """Also call ``callback`` whenever a watched socket is writable.

        None ends this.
        """
        callbacks = self.selector.get_key(sock).data
        if callbacks.on_writable is None and callback is None:
            return
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if callback else 0)
        self.selector.modify(sock, events, callbacks._replace(on_writable=callback))

    def unwatch(self, sock):
        """Stop watching a socket and close it."""
        self.selector.unregister(sock)
        sock.close()

    def close(self):
        """Close every watched socket; the loop can't run afterwards."""
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()
        self.selector.close()

    def after(self, delay_s, callback):
        """Call ``callback`` once after a delay."""
        heapq.heappush(self.timers, (self.now + delay_s, next(self.order), callback))

    def run_until(self, condition, timeout_s):
        """Run until a condition holds.

        Of a round that takes longer than ``MAX_ROUND_S``, only that time counts: the
        stand-ins stood still, and what they were to do next had no chance yet.

        Args:
            condition: Function without arguments.
            timeout_s: Longest time to run.

        Returns:
            Whether the condition held before the timeout.
        """
        end = time.monotonic() + timeout_s
        while not condition():
            started = self.now = time.monotonic()
            if started >= end:
                return False
            self._run_once(end)
            end += max(0.0, time.monotonic() - started - MAX_ROUND_S)
        return True

    def run_for(self, duration_s):
        """Run for a fixed time."""
        end = time.monotonic() + duration_s
        self.now = time.monotonic()
        while self.now < end:
            self._run_once(end)
            self.now = time.monotonic()

    def _run_once(self, end):
        due = min(self.timers[0][0] if self.timers else end, end)
        self._handle_sockets(max(0.0, min(due - self.now, 0.05)))
        if time.monotonic() - self.read_at > MAX_ROUND_S:
            self._catch_up()
        self.now = self.read_at = time.monotonic()
        while self.timers and self.timers[0][0] <= self.now:
            heapq.heappop(self.timers)[2]()

    def _catch_up(self):
        """Handle what arrived while the loop stood still, before timers that are due.

        A timeout would otherwise end what has been answered already.
        """
        for _ in range(CATCH_UP_ROUNDS):
            self.now = time.monotonic()
            if not self._handle_sockets(CATCH_UP_WAIT_S):
                return

    def _handle_sockets(self, wait_s):
        """Run the callbacks of ready sockets; return whether there were any."""
        ready = self.selector.select(wait_s)
        for key, events in ready:
            # A callback may have closed any of the sockets.
            if events & selectors.EVENT_READ and key.fileobj.fileno() >= 0:
                key.data.on_readable()
            if events & selectors.EVENT_WRITE and key.fileobj.fileno() >= 0:
                key.data.on_writable()
        return bool(ready)
