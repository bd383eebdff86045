"""A simulated target: a UDP endpoint of flows and a TCP health port."""

import socket
from typing import NamedTuple

from ._documents import target_entry
from ._wire import ACK, FIN, NAME_BYTES, RST, SYN, decode, encode, format_host

BORN_MS = 1_790_000_000_000  # of targets that started long ago


class Run(NamedTuple):
    """A request that a target executed."""

    request: str
    target: str
    service: str
    at: float


class SynArrival(NamedTuple):
    """A SYN at a target.

    Attributes:
        at: Time of arrival on the loop's clock.
        host: Address of the balancer that forwarded it.
    """

    at: float
    host: str


class TargetFlow:
    """State of a flow at its target."""

    def __init__(self, sequence, expected_sequence):
        self.sequence = sequence
        self.expected_sequence = expected_sequence
        self.opened = False


class Target:
    """One incarnation of an upstream process.

    Args:
        loop: The ``Loop``.
        identity: Id of the target, as in its entry.
        service: Name of its service.
        address: Host and port.
        caller_port: Port at which callers receive packets.
        ledger: List to which each ``Run`` is appended.

    Attributes:
        syns: ``SynArrival`` of each SYN, copies too.
        first_syns: That of each flow's first one.
        silent: Whether the target drops all packets.
        warm_up_ms: What its entry states of its warm-up.
        born_ms: Unix time of its start, as its entry states it.
        started_at: When it started, on the loop's clock.
        work_s: How long a request takes.
        slow_every: Of how many requests one takes ``slow_s``, 0 for none.
        slow_s: How long that one takes.
    """

    def __init__(self, loop, identity, service, address, *, caller_port, ledger):
        self.loop = loop
        self.identity = identity
        self.name = bytes.fromhex(identity.partition("-")[2]).rjust(NAME_BYTES, b"\0")
        self.service = service
        self.caller_port = caller_port
        self.ledger = ledger
        self.flows = {}
        self.first_syns = {}
        self.syns = []
        self.resets = 0
        self.silent = False
        self.warm_up_ms = 0
        self.born_ms = BORN_MS
        self.started_at = loop.now
        self.work_s = 0.005
        self.slow_every = 0
        self.slow_s = 0.0
        self.runs = 0
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(address)
        self.address = address
        self.listener = socket.create_server(address, backlog=64)
        loop.watch(self.sock, self._on_readable)
        loop.watch(self.listener, self._on_connection)

    def entry(self, data_centre, state="ready"):
        """Return the target's entry for the store."""
        return target_entry(
            service=self.service,
            address=self.address,
            data_centre=data_centre,
            born_ms=self.born_ms,
            state=state,
            warm_up_ms=self.warm_up_ms,
        )

    def close(self):
        """Close the ports, as when the process exits."""
        if self.sock is not None:
            self.loop.unwatch(self.sock)
            self.loop.unwatch(self.listener)
            self.sock = None

    def _on_connection(self):
        sock, _ = self.listener.accept()
        sock.close()

    def _on_readable(self):
        while self.sock is not None:
            try:
                datagram, (host, _) = self.sock.recvfrom(2_048)
            except OSError:
                return  # nothing left to read
            if not self.silent and datagram[:NAME_BYTES] == self.name:
                self._on_packet(datagram[NAME_BYTES:], host)

    def _on_packet(self, packet, host):
        header, data = decode(packet)
        flow = (
            header.source,
            header.source_port,
            header.destination,
            header.destination_port,
        )
        flow_state = self.flows.get(flow)
        if header.flags & SYN:
            arrival = SynArrival(self.loop.now, host)
            self.syns.append(arrival)
            self.first_syns.setdefault(flow, arrival)
            if flow_state is None:
                flow_state = self.flows[flow] = TargetFlow(
                    (hash(flow) ^ int.from_bytes(self.name, "big")) & 0xFFFFFF,
                    header.sequence + 1,
                )
            self._send(
                flow,
                SYN | ACK,
                cookie=header.cookie,
                sequence=flow_state.sequence,
                ack=flow_state.expected_sequence,
            )
        elif header.flags & RST:
            self.flows.pop(flow, None)
        elif flow_state is None:
            self.resets += 1
            self._send(flow, RST, cookie=header.cookie, sequence=header.acknowledgement)
        else:
            self._on_data(flow, flow_state, header, data)

    def _on_data(self, flow, flow_state, header, data):
        if not flow_state.opened:
            if header.acknowledgement != flow_state.sequence + 1:
                return  # the caller has opened the flow at another target
            flow_state.opened = True
        if data and header.sequence == flow_state.expected_sequence:
            flow_state.expected_sequence += len(data)
            request = data.decode("ascii")
            self.ledger.append(Run(request, self.identity, self.service, self.loop.now))
            answer = f"{self.service} {self.identity} {request}".encode()
            self.loop.after(
                self._next_work_s(), lambda: self._answer(flow, header.cookie, answer)
            )
        elif data:
            self._send(
                flow,
                ACK,
                cookie=header.cookie,
                sequence=flow_state.sequence + 1,
                ack=flow_state.expected_sequence,
            )
        if header.flags & FIN:
            del self.flows[flow]

    def _next_work_s(self):
        """Return how long the next request takes."""
        self.runs += 1
        is_slow = self.slow_every and self.runs % self.slow_every == 0
        return self.slow_s if is_slow else self.work_s

    def _answer(self, flow, cookie, answer):
        flow_state = self.flows.get(flow)
        if flow_state is None or self.sock is None:
            return
        sequence = flow_state.sequence + 1
        flow_state.sequence += len(answer)
        self._send(
            flow,
            ACK,
            cookie=cookie,
            sequence=sequence,
            ack=flow_state.expected_sequence,
            data=answer,
        )

    def _send(self, flow, flags, **fields):
        source, source_port, destination, destination_port = flow
        packet = encode(
            (destination, destination_port, source, source_port), flags, **fields
        )
        self.sock.sendto(packet, (format_host(source), self.caller_port))
