"""A stand-in for a target: flows over UDP, the health check over TCP."""

import asyncio
import contextlib
import random
import socket
import time

from wire import ACK, FIN, NAME_BYTES, RST, SYN, Packet, decode, from_target, to_host

HEARTBEAT_S = 1.2
RETRANSMISSIONS = 8
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 1.6


class TargetFlow:
    """A flow at a target."""

    def __init__(self, flow, next_expected):
        self.flow = flow
        self.seq = random.getrandbits(32)
        self.next_expected = next_expected
        self.echo = 0
        self.opened = False
        self.acknowledged = self.seq


class Target:
    """One incarnation of a target.

    Attributes:
        identity: Its id.
        address: Host and port.
        arrivals: Time, flow, flags and balancer's host of each packet for it.
        runs: Time, request and flow of each request that it began to work on.
        repeats_syn_acks: Whether an answer to a SYN that isn't acknowledged is sent
            again, as other packets are, or only if a copy of the SYN arrives.
        loses: Function of a flow that returns whether the network loses the first
            answer to its SYN.
    """

    def __init__(self, world, identity, service, address, zone):
        self.world = world
        self.identity = identity
        self.name = bytes.fromhex(identity.rpartition("-")[2]).rjust(NAME_BYTES, b"\0")
        self.service = service
        self.address = address
        self.zone = zone
        self.born = round(1_000 * time.time())
        self.state = "ready"
        self.work_s = 0.02
        self.arrivals = []
        self.runs = []
        self.lost = []
        self.loses = lambda _flow: False
        self.repeats_syn_acks = True
        self._flows = {}
        self._seq_no = 1
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(address)
        self._sock.setblocking(False)
        self._server = None
        self._heartbeat = None

    async def start(self):
        """Start to serve, and register."""
        self._server = await asyncio.start_server(self._on_health_check, *self.address)
        self.world.loop.add_reader(self._sock, self._on_readable)
        self.register()
        self._heartbeat = asyncio.create_task(self._write_regularly())

    def stop(self):
        """End, as a process that exits."""
        self.world.loop.remove_reader(self._sock)
        self._sock.close()
        self._server.close()
        self._heartbeat.cancel()

    def entry(self):
        """Return the entry that the target writes of itself."""
        host, port = self.address
        return {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "max-concurrency": 2,
            "state": self.state,
            "warmup-left-ms": 0,
            "seq-no": self._seq_no,
            "born": self.born,
        }

    def register(self):
        """Write the entry to the store."""
        self.world.store.put(f"servers/{self.identity}", self.entry())

    async def _write_regularly(self):
        """Write each heartbeat; the store's entry changes with more than ``seq-no``."""
        key = f"servers/{self.identity}"
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            stored = self.world.store.get(key) or {}
            if stored | {"seq-no": 0} != self.entry() | {"seq-no": 0}:
                self._seq_no += 1
                self.register()

    async def _on_health_check(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = "200 OK" if self.state == "ready" else "503 X"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _on_readable(self):
        while True:
            try:
                datagram, (host, _) = self._sock.recvfrom(2_048)
            except OSError:
                return
            if datagram[:NAME_BYTES] in (self.name, bytes(NAME_BYTES)):
                packet = decode(datagram[NAME_BYTES:], sender_is_client=True)
                arrival = (self.world.now, packet.flow, packet.flags, host)
                self.arrivals.append(arrival)
                self._on_packet(packet)

    def _on_packet(self, packet):
        flow = self._flows.get(packet.flow)
        if packet.flags & SYN:
            self._on_syn(packet, flow)
        elif flow is None:
            reset = Packet(packet.flow, RST, packet.echo, packet.ack, 0, b"")
            self._send(reset)
        elif packet.flags & RST:
            del self._flows[packet.flow]
        elif flow.opened or packet.ack == (flow.seq + 1) & 0xFFFFFFFF:
            self._on_flow_packet(packet, flow)
        # Otherwise the client has opened the flow at another target.

    def _on_syn(self, packet, flow):
        if flow is None:
            flow = self._flows[packet.flow] = TargetFlow(
                packet.flow, (packet.seq + 1) & 0xFFFFFFFF
            )
            flow.echo = packet.echo
            if self.repeats_syn_acks:
                self._transmit(
                    lambda: flow.opened or self._flows.get(packet.flow) is not flow,
                    lambda tries: self._send_syn_ack(flow, tries),
                )
            else:
                self._send_syn_ack(flow, 0)
        elif not flow.opened:
            self._send_syn_ack(flow, 1)

    def _send_syn_ack(self, flow, tries):
        if tries == 0 and self.loses(flow.flow):
            self.lost.append((self.world.now, flow.flow))
            return
        self._send(
            Packet(flow.flow, SYN | ACK, flow.echo, flow.seq, flow.next_expected, b"")
        )

    def _on_flow_packet(self, packet, flow):
        flow.opened = True
        flow.echo = packet.echo
        flow.acknowledged = packet.ack
        if packet.data and packet.seq == flow.next_expected:
            flow.next_expected = (flow.next_expected + len(packet.data)) & 0xFFFFFFFF
            request = packet.data.decode().partition("Request-Id: ")[2].split("\r\n")[0]
            self.runs.append((self.world.now, request, packet.flow))
            self.world.loop.call_later(self.work_s, self._answer, flow, request)
        elif packet.data:
            self._send_ack(flow)
        if packet.flags & FIN:
            self._send(Packet(flow.flow, ACK | FIN, flow.echo, flow.seq + 1, 0, b""))
            del self._flows[packet.flow]

    def _answer(self, flow, request):
        seq = (flow.seq + 1) & 0xFFFFFFFF
        body = f"{self.service} {request}"
        head = f"HTTP/1.1 200 OK\r\nServer-Stamp: {self.identity}\r\n"
        text = f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()
        flow.seq = (flow.seq + len(text)) & 0xFFFFFFFF
        end = (flow.seq + 1) & 0xFFFFFFFF
        self._transmit(
            lambda: flow.acknowledged == end or self._flows.get(flow.flow) is not flow,
            lambda _tries: self._send(
                Packet(flow.flow, ACK, flow.echo, seq, flow.next_expected, text)
            ),
        )

    def _send_ack(self, flow):
        seq = (flow.seq + 1) & 0xFFFFFFFF
        self._send(Packet(flow.flow, ACK, flow.echo, seq, flow.next_expected, b""))

    def _transmit(self, is_done, send, tries=0, pause_s=FIRST_PAUSE_S):
        """Send now, and again after pauses until it is acknowledged."""
        if is_done() or tries > RETRANSMISSIONS:
            return
        send(tries)
        longer_s = min(2 * pause_s, LONGEST_PAUSE_S)
        self.world.loop.call_later(
            pause_s, self._transmit, is_done, send, tries + 1, longer_s
        )

    def _send(self, packet):
        client = (to_host(packet.flow[0]), self.world.packet_port)
        with contextlib.suppress(OSError):  # the packet is lost
            self._sock.sendto(from_target(packet), client)
