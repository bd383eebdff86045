"""One UDP socket towards the entry address, with its Echo."""

import selectors
import socket

from ._identifiers import EchoStore

DATAGRAM_LIMIT_BYTES = 65535
READS_LIMIT = 256
RECEIVE_BUFFER_BYTES = 1 << 20


class Path:
    """A socket of its own towards the entry address.

    The socket is connected, so the kernel passes on only what comes from the
    entry address. Each path keeps its own Echo. A new path starts without one,
    because the home that the old one names may be what has gone silent.

    Attributes:
        socket: The UDP socket.
        echoes: The newest Echo.
        received_s: When a datagram was last received.
        retired_s: When calls stopped using it; None while they do.
    """

    def __init__(self, entry, *, local_ip, now_s):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        if local_ip is not None:
            self.socket.bind((local_ip, 0))
        self.socket.connect(entry)
        self.socket.setblocking(False)
        self.echo_store = EchoStore()
        self.received_s = now_s
        self.retired_s = None

    def send(self, datagram):
        """Send a datagram; what the kernel refuses counts as lost."""
        try:
            self.socket.send(datagram)
        except OSError:
            return False
        return True

    def receive(self):
        """Return the datagrams that have arrived."""
        datagrams = []
        for _ in range(READS_LIMIT):
            try:
                datagrams.append(self.socket.recv(DATAGRAM_LIMIT_BYTES))
            except BlockingIOError:
                return datagrams
            except OSError:
                # An ICMP error of an earlier datagram; the next read goes on.
                continue
        return datagrams


class PathSet:
    """The paths of a caller and the selector that waits for them.

    Attributes:
        current: The path that new calls and lines use.
        paths: All open paths.
    """

    def __init__(self, entry, *, local_ip, now_s):
        self.entry = entry
        self.local_ip = local_ip
        self.selector = selectors.DefaultSelector()
        self.paths = []
        self.current = self._open(now_s)

    def _open(self, now_s):
        """Open a path."""
        path = Path(self.entry, local_ip=self.local_ip, now_s=now_s)
        self.paths.append(path)
        self.selector.register(path.socket, selectors.EVENT_READ, path)
        return path

    def replace(self, path, *, now_s):
        """Return a path other than the silent one given."""
        if path is self.current:
            path.retired_s = now_s
            self.current = self._open(now_s)
        return self.current

    def discard(self, path):
        """Close a path that nothing uses."""
        self.selector.unregister(path.socket)
        self.paths.remove(path)
        path.socket.close()

    def close(self):
        """Close everything."""
        for path in list(self.paths):
            self.discard(path)
        self.selector.close()
