"""Writes to a connection whose other end may not read."""


class Writer:
    """Sends data without blocking, as the other end of a connection reads it.

    Args:
        loop: The ``Loop``, which watches the socket.
        sock: The connected socket.
        on_failure: Called once a write fails since the other end has closed.
    """

    def __init__(self, loop, sock, on_failure):
        self.loop = loop
        self.sock = sock
        self.on_failure = on_failure
        self.unsent = bytearray()

    def write(self, data):
        """Send data after all that was written before."""
        waiting = bool(self.unsent)
        self.unsent += data
        if not waiting:
            self._send()

    def _send(self):
        try:
            sent = self.sock.send(self.unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.unsent.clear()
            self.on_failure()
            return
        del self.unsent[:sent]
        self.loop.watch_writable(self.sock, self._send if self.unsent else None)
