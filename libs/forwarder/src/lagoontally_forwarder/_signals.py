"""Signals that wake the process's loop."""

from _signal import set_wakeup_fd, signal
from _socket import socketpair


class Signals:
    """Calls handlers of signals, also while the loop waits.

    Args:
        loop: The ``Loop`` to wake.
        handlers: Handler by signal number, as ``signal.signal`` takes it.
    """

    def __init__(self, loop, handlers):
        for number, handler in handlers.items():
            signal(number, handler)
        self._reader, self._writer = socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        set_wakeup_fd(self._writer.fileno())
        loop.watch(self._reader, lambda _events: self._reader.recv(64))
