"""Stand-in of the fabric: each datagram goes to any balancer, chosen anew."""

import heapq
import json
import selectors
import socket
import time
from collections import Counter
from itertools import count
from random import Random
from typing import NamedTuple

from ._fabric_rules import SETS, FabricRules, changed_rules, to_balancers, to_caller
from ._http import HttpReply, HttpRequest, HttpServer, json_reply
from ._inbox import ControlInbox

IDLE_S = 300.0
SWEEP_S = 10.0
CONTROL_WAIT_S = 5.0
DATAGRAM_BYTES = 65535
RECEIVE_BUFFER_BYTES = 4 << 20
# Datagrams read from one socket before the others get their turn.
READS_A_TURN = 64


class Entry(NamedTuple):
    """An entry address: the workspace and service that callers reach there."""

    workspace: str
    service: str
    port: int


class FabricSettings(NamedTuple):
    """Settings of the fabric.

    Attributes:
        address: IP address of the entry sockets and of the sockets of callers.
        control: ``IP:port`` of the control over HTTP.
        seed: Seed of the choices.
        entries: The entry addresses.
        balancers: IP addresses of the live balancers by workspace.
    """

    address: str
    control: str
    seed: int
    entries: tuple[Entry, ...]
    balancers: dict[str, list[str]]


class _EntrySocket(NamedTuple):
    entry: Entry
    sock: socket.socket


class _CallerSocket:
    """The fabric-side socket of one caller at one entry address."""

    def __init__(self, entry_socket, caller, sock):
        self.entry_socket = entry_socket
        self.caller = caller
        self.sock = sock
        self.used_at_s = 0.0


class Fabric:
    """Owns the sockets of the fabric; its loop runs in one thread.

    Attributes:
        settings: Settings of the fabric.
        rules: The rules in force.
        inbox: Changes of the rules, or None to end the loop.
        counts: Datagrams by what became of them.
        entry_ports: The port of each entry, by workspace and service.
    """

    def __init__(self, settings: FabricSettings):
        self.settings = settings
        self.rules = changed_rules(FabricRules(), {"balancers": settings.balancers})
        self.random = Random(settings.seed)
        self.counts: Counter[str] = Counter()
        self.selector = selectors.DefaultSelector()
        self.callers: dict[tuple, _CallerSocket] = {}
        self.delayed: list[tuple] = []
        self.order = count()
        self.swept_at_s = time.monotonic()
        self.inbox = ControlInbox()
        self.selector.register(self.inbox.wake_in, selectors.EVENT_READ, None)
        self.entry_ports: dict[tuple[str, str], int] = {}
        for entry in settings.entries:
            self.open_entry(entry)

    def open_entry(self, entry: Entry) -> None:
        """Bind the socket of one entry address."""
        sock = bind_udp(self.settings.address, entry.port)
        port = sock.getsockname()[1]
        opened = _EntrySocket(entry._replace(port=port), sock)
        self.entry_ports[entry.workspace, entry.service] = port
        self.selector.register(sock, selectors.EVENT_READ, opened)

    def run(self) -> None:
        """Forward datagrams until the loop is told to end."""
        while self.inbox.apply(self.change_rules):
            for key, _ in self.selector.select(self.wait_s()):
                self.handle_ready(key)
            self.send_due()
            self.sweep()
        self.close()

    def change_rules(self, change: dict) -> None:
        """Replace the named rules."""
        self.rules = changed_rules(self.rules, change)

    def handle_ready(self, key) -> None:
        """Read what arrived at one socket."""
        match key.data:
            case None:
                self.inbox.clear_wake()
            case _EntrySocket():
                for data, caller in receive_all(key.data.sock):
                    self.from_caller(key.data, data, caller)
            case _CallerSocket():
                for data, balancer in receive_all(key.data.sock):
                    self.from_balancer(key.data, data, balancer)

    def from_caller(self, opened: _EntrySocket, data: bytes, caller: tuple) -> None:
        """Pass a caller's datagram to the balancers that the rules choose."""
        if self.is_muted(caller):
            return
        target = self.caller_socket(opened, caller)
        deliveries = to_balancers(self.rules, opened.entry.workspace, self.random)
        self.counts["lost" if not deliveries else "to_balancer"] += 1
        for delivery in deliveries:
            address = (delivery.balancer, opened.entry.port)
            self.send_later(delivery.delay_ms, target.sock, data, address)

    def from_balancer(self, origin: _CallerSocket, data: bytes, source: tuple) -> None:
        """Pass a balancer's datagram to the caller of the socket it arrived at."""
        origin.used_at_s = time.monotonic()
        if self.is_muted(origin.caller):
            return
        deliveries = to_caller(self.rules, source[0], self.random)
        self.counts["lost" if not deliveries else "to_caller"] += 1
        for delivery in deliveries:
            sock = origin.entry_socket.sock
            self.send_later(delivery.delay_ms, sock, data, origin.caller)

    def is_muted(self, caller: tuple) -> bool:
        """Return whether a caller's path is silent; count what it loses."""
        muted = f"{caller[0]}:{caller[1]}" in self.rules.muted
        self.counts["muted"] += muted
        return muted

    def caller_socket(self, opened: _EntrySocket, caller: tuple) -> _CallerSocket:
        """Return the fabric-side socket of a caller, bound at its first use."""
        key = (opened.entry, caller)
        found = self.callers.get(key)
        if found is None:
            sock = bind_udp(self.settings.address, 0)
            found = self.callers[key] = _CallerSocket(opened, caller, sock)
            self.selector.register(sock, selectors.EVENT_READ, found)
        found.used_at_s = time.monotonic()
        return found

    def send_later(self, delay_ms: float, sock, data: bytes, address: tuple) -> None:
        """Send a datagram after a delay, at once without one."""
        if delay_ms <= 0:
            self.send(sock, data, address)
            return
        due_s = time.monotonic() + delay_ms / 1000
        heapq.heappush(self.delayed, (due_s, next(self.order), sock, data, address))

    def send_due(self) -> None:
        """Send the datagrams whose delay is over."""
        while self.delayed and self.delayed[0][0] <= time.monotonic():
            _, _, sock, data, address = heapq.heappop(self.delayed)
            self.send(sock, data, address)

    def send(self, sock, data: bytes, address: tuple) -> None:
        """Send one datagram; one that can't be sent is lost."""
        try:
            sock.sendto(data, address)
        except OSError:
            self.counts["unsent"] += 1

    def wait_s(self) -> float:
        """Return how long the loop may wait for datagrams."""
        if not self.delayed:
            return SWEEP_S
        return max(0.0, self.delayed[0][0] - time.monotonic())

    def sweep(self) -> None:
        """Close the sockets of callers that have been idle for long."""
        now_s = time.monotonic()
        if now_s < self.swept_at_s + SWEEP_S:
            return
        self.swept_at_s = now_s
        for key, caller in list(self.callers.items()):
            if caller.used_at_s < now_s - IDLE_S:
                self.selector.unregister(caller.sock)
                caller.sock.close()
                del self.callers[key]

    def close(self) -> None:
        """Close every socket."""
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()
        self.inbox.close()
        self.selector.close()


def bind_udp(ip: str, port: int) -> socket.socket:
    """Return a non-blocking UDP socket bound at an address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind((ip, port))
    return sock


def receive_all(sock: socket.socket) -> list[tuple[bytes, tuple]]:
    """Return the datagrams that wait at a socket, up to one turn's worth."""
    received = []
    for _ in range(READS_A_TURN):
        try:
            received.append(sock.recvfrom(DATAGRAM_BYTES))
        except OSError:
            break
    return received


def serve_fabric_control(fabric: Fabric) -> HttpServer:
    """Start the control of a fabric over HTTP.

    Args:
        fabric: The fabric whose loop runs.

    Returns:
        The running server.
    """
    server = HttpServer(
        fabric.settings.control, lambda request: _answer(fabric, request)
    )
    server.start()
    return server


def load_fabric_settings(text: str) -> FabricSettings:
    """Return the settings that a JSON text holds."""
    values = json.loads(text)
    entries = tuple(Entry(**entry) for entry in values.pop("entries"))
    return FabricSettings(entries=entries, **values)


def _answer(fabric: Fabric, request: HttpRequest) -> HttpReply:
    match request.method, request.path:
        case "PUT", "/control":
            fabric.inbox.submit(json.loads(request.body)).result(CONTROL_WAIT_S)
            return HttpReply(200)
        case "GET", "/control":
            rules = fabric.rules._asdict()
            rules |= {name: sorted(rules[name]) for name in SETS}
            callers = len(fabric.callers)
            return json_reply(rules | {"counts": fabric.counts, "callers": callers})
    return HttpReply(404)
