"""Simulated callers: flows that carry requests."""

import itertools
import socket
from enum import Enum

from ._wire import ACK, FIN, RST, SYN, decode, encode, parse_host

SYN_COPIES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
DATA_RETRANSMIT_S = (0.2, 0.6, 1.4)


class Outcome(Enum):
    """Outcome of a request, as its caller sees it."""

    PENDING = "pending"
    ANSWERED = "answered"
    WRONG = "wrong answer"
    NOT_OPENED = "flow never opened"
    RESET = "reset"
    SILENT = "no answer"


class CallerFlow:
    """A flow of a caller.

    Attributes:
        flow: Addresses and ports of caller and route.
        outcome: Outcome of the latest request.
        target: Id of the target that answered last; empty before the first answer.
        resets: Number of resets received while the flow was open.
    """

    def __init__(self, callers, flow, timeout_s):
        self.callers = callers
        self.flow = flow
        self.timeout_s = timeout_s
        self.cookie = 0
        self.sequence = 1_000
        self.acknowledged = 0
        self.peer_sequence = 0
        self.opened = False
        self.closed = False
        self.resets = 0
        self.request = ""
        self.outcome = Outcome.PENDING
        self.target = ""

    def open(self):
        """Send the SYN and schedule its copies."""
        self._send_syn(0)
        for copy, delay_s in enumerate(SYN_COPIES_S, 1):
            self.callers.loop.after(delay_s, lambda copy=copy: self._send_syn(copy))
        self.callers.loop.after(SYN_TIMEOUT_S, self._on_syn_timeout)

    def send_request(self, request):
        """Send a request as soon as the flow is open."""
        self.request = request
        self.outcome = Outcome.PENDING
        self.callers.loop.after(self.timeout_s, lambda: self._on_timeout(request))
        if self.opened:
            self._schedule_transmissions(request)

    def close(self):
        """Close the flow, with a FIN if it was open."""
        if self.opened and not self.closed:
            self._send(ACK | FIN, sequence=self.sequence, ack=self.peer_sequence)
        self.closed = True
        self.callers.flows.pop(self.flow[:2], None)

    def on_packet(self, header, data):
        """Handle a packet of the target or a reset of a balancer."""
        if header.flags & RST:
            self._on_reset()
            return
        self.cookie = header.cookie
        if header.flags & SYN:
            self._on_syn_ack(header)
            return
        self.acknowledged = max(self.acknowledged, header.acknowledgement)
        if data and header.sequence == self.peer_sequence:
            self.peer_sequence += len(data)
            self._send(ACK, sequence=self.sequence, ack=self.peer_sequence)
            self._on_answer(data.decode("ascii"))

    def _on_syn_ack(self, header):
        if self.opened or self.closed:
            return
        self.opened = True
        self.peer_sequence = header.sequence + 1
        self.sequence += 1
        self.acknowledged = self.sequence
        self._send(ACK, sequence=self.sequence, ack=self.peer_sequence)
        if self.request:
            self._schedule_transmissions(self.request)

    def _on_reset(self):
        self.closed = True
        self.resets += self.opened
        self.callers.flows.pop(self.flow[:2], None)
        if self.outcome is Outcome.PENDING:
            self.outcome = Outcome.RESET if self.opened else Outcome.NOT_OPENED

    def _on_answer(self, answer):
        service, self.target, request = answer.split(" ", 2)
        services = self.callers.services.get(self.flow[2:], ())
        matches = request == self.request and service in services
        if self.outcome is Outcome.PENDING:
            self.outcome = Outcome.ANSWERED if matches else Outcome.WRONG

    def _send_syn(self, copy):
        if not self.opened and not self.closed:
            # The acknowledgement field of a SYN holds the number of its copy.
            self._send(SYN, sequence=self.sequence, ack=copy)

    def _on_syn_timeout(self):
        if not self.opened and not self.closed:
            self.closed = True
            self.outcome = Outcome.NOT_OPENED
            self.callers.flows.pop(self.flow[:2], None)

    def _schedule_transmissions(self, request):
        data = request.encode()
        sequence = self.sequence
        self.sequence += len(data)
        for delay_s in (0, *DATA_RETRANSMIT_S):
            self.callers.loop.after(
                delay_s, lambda: self._transmit(request, sequence, data)
            )

    def _transmit(self, request, sequence, data):
        done = self.closed or self.request != request
        if not done and self.acknowledged < sequence + len(data):
            self._send(ACK, sequence=sequence, ack=self.peer_sequence, data=data)

    def _on_timeout(self, request):
        if self.request == request and self.outcome is Outcome.PENDING:
            self.outcome = Outcome.SILENT if self.opened else Outcome.NOT_OPENED

    def _send(self, flags, **fields):
        packet = encode(self.flow, flags, cookie=self.cookie, **fields)
        self.callers.router.send(self.flow, packet)


class Callers:
    """All callers at one address.

    Args:
        loop: The ``Loop``.
        host: Address of the callers.
        port: Port at which the callers receive packets.
        router: The ``Router`` of their data centre.
        services: Names of the services that each route (address and port) ever had;
            a flow stays at its target when its route moves to another service.
    """

    def __init__(self, loop, host, port, *, router, services):
        self.loop = loop
        self.router = router
        self.services = services
        self.address = parse_host(host)
        self.flows = {}
        self.ports = itertools.count(1_025)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, port))
        loop.watch(self.sock, self._on_readable)

    def open(self, route, timeout_s=2.0):
        """Open a flow to a route and return it."""
        flow = CallerFlow(self, (self.address, next(self.ports), *route), timeout_s)
        self.flows[flow.flow[:2]] = flow
        flow.open()
        return flow

    def _on_readable(self):
        while True:
            try:
                datagram, _ = self.sock.recvfrom(2_048)
            except OSError:
                return  # nothing left to read
            header, data = decode(datagram)
            flow = self.flows.get((header.destination, header.destination_port))
            if flow is not None:
                flow.on_packet(header, data)
