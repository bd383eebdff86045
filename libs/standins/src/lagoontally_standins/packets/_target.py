"""A stand-in for a target: a UDP end of flows with a health port beside it."""

import socket
from typing import NamedTuple

from ._wire import ACK, FIN, NAME_BYTES, RST, SYN, decode, encode, host_text


class Run(NamedTuple):
    """A request that a target worked on."""

    request: str
    target: str
    service: str
    at: float


class Opening(NamedTuple):
    """A flow's first SYN at a target.

    Attributes:
        at: When it came.
        host: Address of the balancer that sent it on.
    """

    at: float
    host: str


class TargetFlow:
    """A flow that a target holds."""

    def __init__(self, sequence, received):
        self.sequence = sequence
        self.received = received
        self.opened = False


class Target:
    """One incarnation of an upstream process.

    Args:
        loop: The ``Loop``.
        identity: Its id, as in its entry.
        service: Name of its service.
        address: Host and port.
        client_port: Port at which callers take packets.
        ledger: List to which it appends each ``Run``.

    Attributes:
        first_syns: ``Opening`` of each flow.
        silent: Whether it drops everything that it gets.
    """

    def __init__(self, loop, identity, service, address, *, client_port, ledger):
        self.loop = loop
        self.identity = identity
        self.name = bytes.fromhex(identity.partition("-")[2]).rjust(NAME_BYTES, b"\0")
        self.service = service
        self.client_port = client_port
        self.ledger = ledger
        self.flows = {}
        self.first_syns = {}
        self.resets = 0
        self.silent = False
        self.work_s = 0.005
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(address)
        self.address = address
        self.listener = socket.create_server(address, backlog=64)
        loop.watch(self.sock, self._on_readable)
        loop.watch(self.listener, self._on_connection)

    def entry(self, data_centre, state="ready"):
        """Return its entry in the store."""
        host, port = self.address
        return {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": data_centre,
            "version": "v1",
            "max-concurrency": 2,
            "state": state,
            "warmup-left-ms": 0,
            "seq-no": 1,
            "born": 1_790_000_000_000,
        }

    def close(self):
        """End the process: its ports are closed, its flows are gone."""
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
        flow = (header.address, header.port, header.to, header.to_port)
        held = self.flows.get(flow)
        if header.flags & SYN:
            self.first_syns.setdefault(flow, Opening(self.loop.now, host))
            if held is None:
                held = self.flows[flow] = TargetFlow(
                    (hash(flow) ^ int.from_bytes(self.name, "big")) & 0xFFFFFF,
                    header.sequence + 1,
                )
            self._send(
                flow,
                SYN | ACK,
                cookie=header.cookie,
                sequence=held.sequence,
                ack=held.received,
            )
        elif header.flags & RST:
            self.flows.pop(flow, None)
        elif held is None:
            self.resets += 1
            self._send(flow, RST, cookie=header.cookie, sequence=header.acknowledgement)
        else:
            self._on_data(flow, held, header, data)

    def _on_data(self, flow, held, header, data):
        held.opened = True
        if data and header.sequence == held.received:
            held.received += len(data)
            request = data.decode("ascii")
            self.ledger.append(Run(request, self.identity, self.service, self.loop.now))
            answer = f"{self.service} {self.identity} {request}".encode()
            self.loop.after(
                self.work_s, lambda: self._answer(flow, header.cookie, answer)
            )
        elif data:
            self._send(
                flow,
                ACK,
                cookie=header.cookie,
                sequence=held.sequence + 1,
                ack=held.received,
            )
        if header.flags & FIN:
            del self.flows[flow]

    def _answer(self, flow, cookie, answer):
        held = self.flows.get(flow)
        if held is None or self.sock is None:
            return
        sequence = held.sequence + 1
        held.sequence += len(answer)
        self._send(
            flow, ACK, cookie=cookie, sequence=sequence, ack=held.received, data=answer
        )

    def _send(self, flow, flags, **fields):
        address, port, to, to_port = flow
        packet = encode((to, to_port, address, port), flags, **fields)
        self.sock.sendto(packet, (host_text(address), self.client_port))
