"""UDP sockets connected to the entry address, each with its Echo."""

import selectors
import socket

from ._identifiers import EchoStore

MAX_DATAGRAM_BYTES = 65535
MAX_READS = 256
RECEIVE_BUFFER_BYTES = 1 << 20


class Path:
    """A UDP socket connected to the entry address.

    Because the socket is connected, the kernel delivers only datagrams from the
    entry address. Each path stores its own Echo. A new path starts without one,
    because the home that the old Echo names may be what stopped answering.

    Attributes:
        socket: The UDP socket.
        echo_store: The newest Echo.
        received_s: When a datagram was last received.
        retired_s: When another path replaced it as the current one, or None.
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
        """Send a datagram; one that the kernel refuses counts as lost."""
        try:
            self.socket.send(datagram)
        except OSError:
            return False
        return True

    def receive(self):
        """Return the datagrams that have arrived."""
        datagrams = []
        for _ in range(MAX_READS):
            try:
                datagrams.append(self.socket.recv(MAX_DATAGRAM_BYTES))
            except BlockingIOError:
                return datagrams
            except OSError:
                # ICMP error for an earlier datagram; later datagrams can still be read.
                continue
        return datagrams


class PathSet:
    """The open paths of a caller and the selector that watches them.

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
        """Return the path to use instead of one that gets no responses."""
        if path is self.current:
            path.retired_s = now_s
            self.current = self._open(now_s)
        return self.current

    def discard(self, path):
        """Close an unused path."""
        self.selector.unregister(path.socket)
        self.paths.remove(path)
        path.socket.close()

    def close(self):
        """Close all paths and the selector."""
        for path in list(self.paths):
            self.discard(path)
        self.selector.close()
