"""A stand-in for clients and for the platform's routers."""

import asyncio
import contextlib
import random
import socket
import zlib

from wire import ACK, FIN, RST, SYN, Packet, decode, from_client, to_int

SYN_COPIES_S = (0.2, 0.6)
SYN_PATIENCE_S = 1.4
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 1.6
RESET_WINDOW = 76_800
PROBE_INTERVAL_S = 0.5
MISSES = 2


class Router:
    """Sends packets to the balancers in rotation, by hash modulo their number."""

    def __init__(self, world):
        self.world = world
        self.misses = {}
        self.changes = []
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)

    def add(self, host):
        """Probe a balancer from now on."""
        self.misses[host] = MISSES
        return asyncio.create_task(self._probe(host))

    def rotation(self):
        """Return the hosts that get packets."""
        ready = sorted(host for host, one in self.misses.items() if one < MISSES)
        return ready if 2 * len(ready) >= len(self.misses) else sorted(self.misses)

    def send(self, packet):
        """Send a client's packet to a balancer."""
        hosts = self.rotation()
        ends = ":".join(map(str, packet.flow)).encode()
        host = hosts[zlib.crc32(ends) % len(hosts)]
        with contextlib.suppress(OSError):  # the packet is lost
            self._sock.sendto(from_client(packet), (host, self.world.packet_port))

    async def _probe(self, host):
        while True:
            asked_at = self.world.now
            is_ready = await self._is_ready(host)
            before = self.rotation()
            self.misses[host] = 0 if is_ready else self.misses[host] + 1
            if self.rotation() != before:
                self.changes.append((self.world.now, self.rotation()))
            waited_s = self.world.now - asked_at
            await asyncio.sleep(max(0.0, PROBE_INTERVAL_S - waited_s))

    async def _is_ready(self, host):
        try:
            async with asyncio.timeout(PROBE_INTERVAL_S):
                reader, writer = await asyncio.open_connection(
                    host, self.world.ready_port
                )
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


class Request:
    """A request on a flow, and what became of it."""

    def __init__(self, name, sent_at, deadline_s):
        self.name = name
        self.sent_at = sent_at
        self.deadline_s = deadline_s
        self.outcome = None


class ClientFlow:
    """A client's end of a flow."""

    def __init__(self, clients, flow):
        self.clients = clients
        self.world = clients.world
        self.flow = flow
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.echo = 0
        self.target_host = None
        self.opened_at = None
        self.ended_at = None
        self.resets = []
        self.requests = []
        self._acknowledged = 0

    @property
    def is_open(self):
        """Whether requests can be sent."""
        return self.opened_at is not None and self.ended_at is None

    def open(self):
        """Send a SYN and its copies."""
        self._send_syn(0)
        for copy, delay_s in enumerate(SYN_COPIES_S, 1):
            self.world.loop.call_later(delay_s, self._send_syn, copy)
        self.world.loop.call_later(SYN_PATIENCE_S, self._on_syn_patience_over)

    def request(self, name, deadline_s):
        """Send a request and its retransmissions."""
        request = Request(name, self.world.now, deadline_s)
        self.requests.append(request)
        text = f"POST /x HTTP/1.1\r\nRequest-Id: {name}\r\nContent-Length: 0\r\n\r\n"
        seq, data = self.seq, text.encode()
        self.seq = (self.seq + len(data)) & 0xFFFFFFFF
        self._transmit(seq, data, FIRST_PAUSE_S)
        self.world.loop.call_later(deadline_s, self._on_deadline, request)

    def close(self):
        """End the flow."""
        if self.ended_at is None:
            if self.opened_at is not None:
                self._send(ACK | FIN, self.seq)
            self.ended_at = self.world.now

    def on_packet(self, packet, host):
        """Handle a packet of a target, or a reset of a balancer."""
        if self.ended_at is not None:
            return
        if packet.flags & RST:
            self._on_reset(packet, host)
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            self._on_syn_ack(packet, host)
        elif host == self.target_host:
            self._acknowledged = packet.ack
            if packet.data:
                self._on_answer(packet)

    def _on_syn_ack(self, packet, host):
        if self.opened_at is None:
            self.opened_at = self.world.now
            self.target_host = host
            self.seq = self._acknowledged = (self.seq + 1) & 0xFFFFFFFF
            self.ack = (packet.seq + 1) & 0xFFFFFFFF
            self._send(ACK, self.seq)
        elif host == self.target_host:
            self._send(ACK, self.seq)

    def _on_answer(self, packet):
        if packet.seq == self.ack:
            self.ack = (self.ack + len(packet.data)) & 0xFFFFFFFF
            request = self.requests[-1] if self.requests else None
            right = request is not None and packet.data.endswith(
                f" {request.name}".encode()
            )
            if request is not None and request.outcome is None:
                request.outcome = "answered" if right else "wrong answer"
        self._send(ACK, self.seq)

    def _on_reset(self, packet, host):
        near = (packet.seq - self.ack + RESET_WINDOW) & 0xFFFFFFFF
        if self.opened_at is not None and near > 2 * RESET_WINDOW:
            return
        if self.opened_at is not None:
            self.resets.append((self.world.now, host))
        self._end("reset")

    def _on_deadline(self, request):
        if request.outcome is None:
            request.outcome = "no answer"
            self.close()

    def _on_syn_patience_over(self):
        if self.opened_at is None:
            self._end("not opened")

    def _end(self, outcome):
        self.ended_at = self.world.now
        if self.requests and self.requests[-1].outcome is None:
            self.requests[-1].outcome = outcome

    def _send_syn(self, copy):
        if self.opened_at is None and self.ended_at is None:
            self.clients.router.send(Packet(self.flow, SYN, 0, self.seq, copy, b""))

    def _transmit(self, seq, data, pause_s):
        end = (seq + len(data)) & 0xFFFFFFFF
        if self.ended_at is not None or self._acknowledged == end:
            return
        if self.requests[-1].outcome is not None:
            return
        self._send(ACK, seq, data)
        longer_s = min(2 * pause_s, LONGEST_PAUSE_S)
        self.world.loop.call_later(pause_s, self._transmit, seq, data, longer_s)

    def _send(self, flags, seq, data=b""):
        packet = Packet(self.flow, flags, self.echo, seq, self.ack, data)
        self.clients.router.send(packet)


class Clients:
    """The clients at one address."""

    def __init__(self, world, host, router):
        self.world = world
        self.router = router
        self.host = to_int(host)
        self.flows = []
        self._by_port = {}
        self._next_port = random.randrange(20_000, 40_000)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((host, world.packet_port))
        self._sock.setblocking(False)
        world.loop.add_reader(self._sock, self._on_readable)

    def open(self, route):
        """Open a flow from a new port."""
        self._next_port += 1
        flow = ClientFlow(self, (self.host, self._next_port, *route))
        self._by_port[self._next_port] = flow
        self.flows.append(flow)
        flow.open()
        return flow

    def _on_readable(self):
        while True:
            try:
                datagram, (host, _) = self._sock.recvfrom(2_048)
            except OSError:
                return
            packet = decode(datagram, sender_is_client=False)
            flow = self._by_port.get(packet.flow[1])
            if flow is not None and flow.flow == packet.flow:
                flow.on_packet(packet, host)
