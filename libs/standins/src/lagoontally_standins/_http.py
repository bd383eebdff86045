"""A small JSON-over-HTTP server for the stand-ins' control and the platform."""

import json
import socket
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

LISTEN_BACKLOG = 512
STOP_POLL_S = 0.1


class HttpRequest(NamedTuple):
    """One received request.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: First value of each query parameter.
        body: Bytes of the body.
        reader: IP address of the client.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    reader: str


class HttpReply(NamedTuple):
    """An answer: its status and its body."""

    status: int
    body: bytes = b""


def json_reply(value) -> HttpReply:
    """Return a 200 answer that carries a value as JSON."""
    return HttpReply(200, json.dumps(value).encode())


class HttpServer(ThreadingHTTPServer):
    """Serves one function at one address, each connection in its own thread.

    Attributes:
        answer: The function that turns an ``HttpRequest`` into an ``HttpReply``.
        url: Base URL of the server.
    """

    daemon_threads = True
    request_queue_size = LISTEN_BACKLOG

    def __init__(self, address: str, answer: Callable[[HttpRequest], HttpReply]):
        host, _, port = address.rpartition(":")
        super().__init__((host, int(port)), _Handler)
        self.answer = answer
        self.url = f"http://{host}:{self.server_address[1]}"

    def start(self) -> None:
        """Serve in a thread of its own until ``stop`` is called."""
        loop = threading.Thread(
            target=self.serve_forever, args=(STOP_POLL_S,), daemon=True
        )
        loop.start()

    def stop(self) -> None:
        """Stop serving and close the socket."""
        self.shutdown()
        self.server_close()

    def handle_error(self, request, client_address):
        """Leave out the trace of a client that closed its connection early."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def handle_any(self):
        parts = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        reader = self.client_address[0]
        request = HttpRequest(self.command, parts.path, query, body, reader)
        self.send(self.answer_safely(request))

    def answer_safely(self, request):
        try:
            return self.server.answer(request)
        except (ValueError, KeyError, TypeError) as error:
            return HttpReply(400, f"bad request: {error}\n".encode())

    def send(self, reply):
        self.send_response(reply.status)
        self.send_header("Content-Type", "application/json")
        if reply.status != 204:
            self.send_header("Content-Length", str(len(reply.body)))
        self.end_headers()
        if reply.status != 204:
            self.wfile.write(reply.body)

    do_GET = handle_any  # noqa: N815
    do_PUT = handle_any  # noqa: N815

    def log_message(self, format, *args):
        """Keep the access log silent."""
