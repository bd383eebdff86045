"""The process of an upstream: its socket, its ledger file and its control."""

import json
import selectors
import time
from pathlib import Path

from ._fabric import bind_udp, receive_all
from ._http import HttpReply, HttpRequest, HttpServer, json_reply
from ._inbox import ControlInbox
from ._upstream import Upstream
from ._upstream_types import Outgoing, UpstreamSettings

LONGEST_WAIT_S = 1.0
CONTROL_WAIT_S = 5.0


class Ledger:
    """Appends one JSON line for each run, flushed before the run is answered.

    Attributes:
        path: The ledger file.
    """

    def __init__(self, path: Path):
        self.path = path
        self.file = path.open("a", buffering=1)

    def write(self, line: dict) -> None:
        """Write one line, with the time of day added."""
        self.file.write(json.dumps(line | {"time": time.time()}) + "\n")
        self.file.flush()


class UpstreamProcess:
    """Owns the socket of one upstream; its loop runs in one thread.

    Attributes:
        settings: Settings that the upstream started with.
        upstream: The decisions.
        inbox: Changes by the control, or None to end the loop.
    """

    def __init__(self, settings: UpstreamSettings):
        self.settings = settings
        ledger = Ledger(Path(settings.ledger_dir) / f"{settings.target}.jsonl")
        self.upstream = Upstream(settings, ledger=ledger.write, now_ms=now_ms())
        host, _, port = settings.address.rpartition(":")
        self.sock = bind_udp(host, int(port))
        self.inbox = ControlInbox()
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.sock, selectors.EVENT_READ)
        self.selector.register(self.inbox.wake_in, selectors.EVENT_READ)

    def run(self) -> None:
        """Serve until the loop is told to end."""
        while self.inbox.apply(self.upstream.control):
            for key, _ in self.selector.select(self.wait_s()):
                if key.fileobj is self.inbox.wake_in:
                    self.inbox.clear_wake()
                else:
                    self.serve_received()
            self.send_all(self.upstream.advance(now_ms=now_ms()))
        self.sock.close()
        self.inbox.close()
        self.selector.close()

    def serve_received(self) -> None:
        """Handle the datagrams that wait at the socket."""
        for data, endpoint in receive_all(self.sock):
            answers = self.upstream.receive(data, endpoint, now_ms=now_ms())
            self.send_all(answers)

    def wait_s(self) -> float:
        """Return how long the loop may wait for datagrams."""
        due_ms = self.upstream.next_due_ms()
        if due_ms is None:
            return LONGEST_WAIT_S
        return min(LONGEST_WAIT_S, max(0.0, (due_ms - now_ms()) / 1000))

    def send_all(self, outgoing: list[Outgoing]) -> None:
        """Send datagrams; one that can't be sent is lost."""
        for endpoint, data in outgoing:
            try:
                self.sock.sendto(data, endpoint)
            except OSError:
                self.upstream.counts["unsent"] += 1


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000


def load_upstream_settings(text: str) -> UpstreamSettings:
    """Return the settings that a JSON text holds."""
    return UpstreamSettings(**json.loads(text))


def serve_upstream_control(process: UpstreamProcess) -> HttpServer:
    """Start the control of an upstream over HTTP.

    Args:
        process: The upstream whose loop runs.

    Returns:
        The running server.
    """
    server = HttpServer(
        process.settings.control, lambda request: _answer(process, request)
    )
    server.start()
    return server


def _answer(process: UpstreamProcess, request: HttpRequest) -> HttpReply:
    match request.method, request.path:
        case "PUT", "/control":
            process.inbox.submit(json.loads(request.body)).result(CONTROL_WAIT_S)
            return HttpReply(200)
        case "GET", "/control":
            upstream = process.upstream
            return json_reply(
                {
                    "mode": upstream.mode,
                    "running": upstream.running,
                    "waiting": len(upstream.waiting),
                    "lines": len(upstream.lines),
                    "counts": upstream.counts,
                }
            )
    return HttpReply(404)
