"""Offers a fixed rate of work to one entry address and measures the answers.

The rate doesn't fall when answers come late, so a balancer that is too slow
shows it in unanswered requests and in latency. Requests aren't repeated.
"""

import json
import selectors
import socket
import time
from collections import Counter, deque
from typing import NamedTuple

from lagoontally_caller import protocol

from ._process_use import process_use

TYPE_SHIFT, CODE_AT, TOKEN_AT = 4, 1, 4
TOKEN_BYTES = 8
OBSERVE_LINE = "line"
SUCCESSES = ("request 2.", "command 2.")
HANDSHAKE_S = 5.0
LAST_ANSWERS_S = 2.0
DATAGRAM_BYTES = 65535
RECEIVE_BUFFER_BYTES = 4 << 20
READS_A_TURN = 64
MESSAGE_IDS = 1 << 16
PERCENTILES = (50, 90, 99, 99.9, 100)
TIME_LEFT_MS = 10_000
# An Echo is used for this long before the flow takes the newest one.
ECHO_AGE_S = 20.0


class Offer(NamedTuple):
    """What is offered.

    Attributes:
        entry: ``IP:port`` of an entry address.
        requests_s: Idempotent requests a second.
        commands_s: Commands a second.
        lines: Lines held open.
        flows: Sockets, each a flow of its own.
        seconds: How long.
        resource: Path below which each flow has ``status`` and ``command``.
        pid: Process id of the balancer, or None.
    """

    entry: str
    requests_s: float = 100.0
    commands_s: float = 0.0
    lines: int = 0
    flows: int = 20
    seconds: float = 10.0
    resource: str = "/pivot"
    pid: int | None = None


class _Flow:
    """One socket with its Echo."""

    def __init__(self, offer, number):
        host, _, port = offer.entry.rpartition(":")
        self.path = f"{offer.resource}/load-{number}"
        self.echo = b""
        self.echo_s = 0.0
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.connect((host, int(port)))
        self.sock.setblocking(False)


class DirectLoad:
    """One run of the load; everything happens in one thread.

    Attributes:
        offer: What is offered.
        counts: Answers by kind and code.
        latencies_ms: Latencies of the answered requests by kind.
        waiting: Kind and time of each request under way, by its token.
    """

    def __init__(self, offer: Offer):
        self.offer = offer
        self.counts: Counter[str] = Counter()
        self.latencies_ms: dict[str, list[float]] = {}
        self.waiting: dict[bytes, tuple[str, float]] = {}
        self.line_tokens: set[bytes] = set()
        self.number = 0
        self.selector = selectors.DefaultSelector()
        self.flows = deque(_Flow(offer, index) for index in range(offer.flows))
        for flow in self.flows:
            self.selector.register(flow.sock, selectors.EVENT_READ, flow)

    def run(self) -> dict:
        """Offer the load and return what was measured, ready for JSON."""
        self.handshake()
        for _ in range(self.offer.lines):
            self.send(OBSERVE_LINE)
        self.listen_until(time.monotonic() + 1.0)
        before, began_s = self.use(), time.monotonic()
        notified = self.counts["notifications"]
        self.offer_rates(began_s)
        took_s = time.monotonic() - began_s
        after = self.use()
        notified = self.counts["notifications"] - notified
        self.listen_until(time.monotonic() + LAST_ANSWERS_S)
        for flow in self.flows:
            flow.sock.close()
        return self.report(took_s, notified, before, after)

    def handshake(self) -> None:
        """Get an Echo for each flow."""
        due_s = time.monotonic() + HANDSHAKE_S
        for flow in self.flows:
            self.send_command(flow, "asked")
        while time.monotonic() < due_s and not all(f.echo for f in self.flows):
            self.listen(due_s - time.monotonic())
        self.waiting.clear()

    def offer_rates(self, began_s: float) -> None:
        """Send requests and commands at their rates until the time is over."""
        rates = {"request": self.offer.requests_s, "command": self.offer.commands_s}
        sent = dict.fromkeys(rates, 0)
        end_s = began_s + self.offer.seconds
        while (now_s := time.monotonic()) < end_s:
            next_s = end_s
            for kind, rate in rates.items():
                while sent[kind] < rate * (now_s - began_s):
                    sent[kind] += 1
                    self.send(kind)
                if rate:
                    next_s = min(next_s, began_s + sent[kind] / rate)
            self.listen(next_s - time.monotonic())

    def send(self, kind: str) -> None:
        """Send one request of a kind by the flow whose turn it is."""
        flow = self.flows[0]
        self.flows.rotate(-1)
        self.counts[f"{kind} sent"] += 1
        if kind == "command":
            self.send_command(flow, kind)
            return
        observe = 0 if kind == OBSERVE_LINE else None
        path = f"{flow.path}/status"
        request = protocol.Request(protocol.GET, path, observe=observe)
        token = self.send_request(flow, kind, request)
        if kind == OBSERVE_LINE:
            self.line_tokens.add(token)

    def send_command(self, flow: _Flow, kind: str) -> None:
        """Send a command of a flow."""
        payload = json.dumps({"id": f"{flow.path}:{self.number}", "command": "stop"})
        path = f"{flow.path}/command"
        request = protocol.Request(protocol.POST, path, payload.encode())
        self.send_request(flow, kind, request)

    def send_request(self, flow, kind, request) -> bytes:
        """Send a request under a token of its own, and return the token."""
        self.number += 1
        token = self.number.to_bytes(TOKEN_BYTES, "big")
        datagram = protocol.encode_request(
            request,
            message_id=self.number % MESSAGE_IDS,
            token=token,
            echo=flow.echo,
            time_left_ms=TIME_LEFT_MS,
        )
        self.waiting[token] = (kind, time.monotonic())
        try:
            flow.sock.send(datagram)
        except OSError:
            self.counts["unsent"] += 1
        return token

    def listen_until(self, due_s: float) -> None:
        """Take answers in until a time."""
        while (left_s := due_s - time.monotonic()) > 0:
            self.listen(left_s)

    def listen(self, wait_s: float) -> None:
        """Wait for answers for a time at most and take in what has come."""
        for key, _ in self.selector.select(max(0.0, wait_s)):
            for _ in range(READS_A_TURN):
                try:
                    data = key.data.sock.recv(DATAGRAM_BYTES)
                except OSError:
                    break
                self.take(key.data, data)

    def take(self, flow: _Flow, data: bytes) -> None:
        """Take one datagram in; only what is needed of it is decoded."""
        if len(data) < TOKEN_AT + TOKEN_BYTES:
            self.counts["other"] += 1
            return
        token = data[TOKEN_AT : TOKEN_AT + TOKEN_BYTES]
        now_s = time.monotonic()
        kind, sent_s = self.waiting.pop(token, ("", 0.0))
        if kind:
            code = f"{data[CODE_AT] >> 5}.{data[CODE_AT] & 31:02d}"
            self.counts[f"{kind} {code}"] += 1
            self.latencies_ms.setdefault(kind, []).append((now_s - sent_s) * 1000)
            if now_s - flow.echo_s > ECHO_AGE_S or not flow.echo:
                self.keep_echo(flow, data, now_s)
        elif token in self.line_tokens:
            self.counts["notifications"] += 1
        else:
            self.counts["other"] += 1
        if data[0] >> TYPE_SHIFT & 3 == protocol.CON:
            message_id = int.from_bytes(data[2:4], "big")
            flow.sock.send(protocol.encode_empty(protocol.ACK, message_id))

    def keep_echo(self, flow, data, now_s):
        """Keep the Echo of an answer."""
        reply = protocol.decode_reply(data)
        if not isinstance(reply, protocol.Malformed) and reply.echo:
            flow.echo, flow.echo_s = reply.echo, now_s

    def use(self):
        """Return what the balancer has used so far, None without its id."""
        return process_use(self.offer.pid) if self.offer.pid else None

    def report(self, took_s, notified, before, after) -> dict:
        """Return what was measured."""
        answered = sum(
            number for name, number in self.counts.items() if name.startswith(SUCCESSES)
        )
        result = {
            "offered": self.offer._asdict(),
            "took_s": round(took_s, 2),
            "answered_s": round(answered / took_s, 1),
            "notifications_s": round(notified / took_s, 1),
            "unanswered": len(self.waiting),
            "counts": dict(sorted(self.counts.items())),
            "latency_ms": {
                kind: percentiles(values)
                for kind, values in self.latencies_ms.items()
                if kind != "asked"
            },
        }
        if before and after:
            used_s = after.cpu_s - before.cpu_s
            result["balancer_cores"] = round(used_s / took_s, 3)
            result["balancer_cpu_ms_per_answer"] = round(
                1000 * used_s / max(answered + notified, 1), 3
            )
            result["balancer_rss_mib"] = round(after.rss_bytes / 2**20, 1)
            result["balancer_peak_rss_mib"] = round(after.peak_rss_bytes / 2**20, 1)
        return result


def percentiles(values: list[float]) -> dict[str, float]:
    """Return percentiles of latencies, rounded to a hundredth."""
    ordered = sorted(values)
    last = len(ordered) - 1
    return {
        f"p{share:g}": round(ordered[min(last, int(len(ordered) * share / 100))], 2)
        for share in PERCENTILES
    }
