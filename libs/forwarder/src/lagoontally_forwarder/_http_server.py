"""A minimal HTTP/1.1 server for GET requests: readiness, metrics and the view."""

from select import EPOLLIN, EPOLLOUT

from ._sockets import accept, listening_socket
from ._traffic import UNCOUNTED

MAX_REQUEST_BYTES = 4_096
MAX_CONNECTIONS = 64
RECEIVE_BYTES = 4_096
_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 503: "Unavailable"}


class HttpServer:
    """An HTTP server on one address.

    When there are ``MAX_CONNECTIONS``, a new connection closes the oldest one.

    Args:
        loop: The ``Loop`` that watches the connections.
        address: Host and port to listen on.
        handler: Function that takes a path and returns a status and a body.
        count: Functions that count bytes sent and received.
    """

    def __init__(self, loop, address, handler, *, count=UNCOUNTED):
        self.loop = loop
        self.handler = handler
        self.count_sent, self.count_received = count
        self.connections = {}
        self.listener = listening_socket(address)
        loop.watch(self.listener, self._on_connection)

    def _on_connection(self, _events):
        sock = accept(self.listener)
        if sock is None:
            return
        if len(self.connections) >= MAX_CONNECTIONS:
            next(iter(self.connections.values())).close()
        self.connections[sock.fileno()] = _Connection(self, sock)


class _Connection:
    """A client's connection."""

    __slots__ = ("server", "sock", "received", "unsent")

    def __init__(self, server, sock):
        self.server = server
        self.sock = sock
        self.received = b""
        self.unsent = b""
        server.loop.watch(sock, self.on_event, EPOLLIN)

    def on_event(self, events):
        """Read a request or continue to write a response."""
        try:
            if events & EPOLLOUT:
                self._write()
                return
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""  # a connection that the client reset is treated as closed
        self.server.count_received(len(data))
        self.received += data
        if not data or len(self.received) > MAX_REQUEST_BYTES:
            self.close()
        elif b"\r\n\r\n" in self.received:
            self._respond()

    def close(self):
        """Close the connection."""
        self.server.connections.pop(self.sock.fileno(), None)
        self.server.loop.unwatch(self.sock)
        self.sock.close()

    def _respond(self):
        head, _, self.received = self.received.partition(b"\r\n\r\n")
        words = head.split(b"\r\n", 1)[0].split(b" ")
        if len(words) == 3 and words[0] == b"GET":
            status, body = self.server.handler(words[1])
        else:
            status, body = 400, b""
        text = "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n"
        self.unsent = (text % (status, _REASONS[status], len(body))).encode() + body
        self._write()

    def _write(self):
        try:
            sent = self.sock.send(self.unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()  # the client has disconnected
            return
        self.server.count_sent(sent)
        self.unsent = self.unsent[sent:]
        events = EPOLLOUT if self.unsent else EPOLLIN
        self.server.loop.watch(self.sock, self.on_event, events)
