"""The single-threaded event loop of the process.

Threads, ``selectors`` and ``socket`` would cost startup time and memory
(docs/PLATFORM.md).
"""

from select import EPOLLIN, epoll

TICK_MS = 50
PROBING_TICK_MS = 20  # while targets are being probed
MS_PER_S = 1_000


class Loop:
    """Runs callbacks when sockets are ready.

    Args:
        clock: Function that returns milliseconds.

    Attributes:
        max_lag_ms: Longest time that one round of callbacks has taken.
        guard: The ``Guard`` that runs the callbacks, None to let errors pass.
    """

    def __init__(self, clock):
        self.clock = clock
        self.guard = None
        self.max_lag_ms = 0
        self._epoll = epoll()
        self._callbacks = {}

    def watch(self, sock, callback, events=EPOLLIN):
        """Call ``callback`` with the events when a socket has one of ``events``."""
        descriptor = sock.fileno()
        if descriptor in self._callbacks:
            self._epoll.modify(descriptor, events)
        else:
            self._epoll.register(descriptor, events)
        self._callbacks[descriptor] = callback

    def unwatch(self, sock):
        """Stop watching a socket; must be called before it is closed."""
        if self._callbacks.pop(sock.fileno(), None) is not None:
            self._epoll.unregister(sock.fileno())

    def run_once(self, timeout_ms):
        """Wait for events and run their callbacks.

        Args:
            timeout_ms: Maximum time to wait for an event.
        """
        events = self._epoll.poll(timeout_ms / MS_PER_S)
        started_ms = self.clock()
        for descriptor, event in events:
            callback = self._callbacks.get(descriptor)
            if callback is None:
                continue
            if self.guard is None:
                callback(event)
            else:
                self.guard.run("input", callback, event)
        self.max_lag_ms = max(self.max_lag_ms, self.clock() - started_ms)
