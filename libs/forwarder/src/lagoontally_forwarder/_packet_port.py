"""Takes callers' packets and sends them where the balancer decides."""

from lagoontally_flows import Drop, Forward, Hold
from lagoontally_platform import (
    MAX_DATAGRAM_BYTES,
    NAME_BYTES,
    REQUEST_ID_HEADER,
    BadPacket,
    address_packet,
    decode_packet,
    encode_reset,
    format_address,
    format_flow,
    format_host,
)

from ._sockets import datagram_socket

MOST_HELD = 256  # SYNs of a second or two, while a large configuration comes
MOST_WAITING = 512  # packets; a socket holds some 280 small ones by default
PACKETS_A_TURN = 128  # then other sockets have their turn
REQUEST_ID_BYTES = 64


class PacketPort:
    """The socket of callers' packets.

    It is bound at once, so that packets wait in it until the balancer can
    serve them, and read from ``open`` on.

    Args:
        loop: The ``Loop`` that serves the socket.
        address: Where routers send packets; resets go to the same port.
        balancer: The ``Balancer`` that decides.
        log: The ``Log``.
        counters: The ``Counters``.
    """

    def __init__(self, loop, address, *, balancer, log, counters):
        self.loop = loop
        self.balancer = balancer
        self.log = log
        self.counters = counters
        self.packet_ms = 0
        self.is_open = False
        self._held = []
        # Since when a packet may have waited in the socket, None for a moment.
        self._waiting_since_ms = loop.clock()
        self._read = 0  # since then
        self._reset_port = address[1]
        self._sock = datagram_socket(address)
        # One byte more than a packet shows datagrams that are too long.
        self._buffer = bytearray(NAME_BYTES + MAX_DATAGRAM_BYTES + 1)
        self._space = memoryview(self._buffer)[NAME_BYTES:]

    def open(self):
        """Start to read packets, with those that have waited since the start."""
        self.is_open = True
        self.loop.watch(self._sock, self._on_readable)
        self.read()

    def read(self):
        """Read what waits in the socket, if the port is open.

        To be called before the balancer's tick: it goes by the last one how long a
        packet may have waited, and a loop that was stopped may tick first.
        """
        if self.is_open:
            self._on_readable(None)

    def release(self):
        """Decide on the packets that waited for a configuration."""
        held, self._held = self._held, []
        now_ms = self.loop.clock()
        for held_ms, datagram in held:
            self._space[: len(datagram)] = datagram
            self._on_packet(len(datagram), now_ms, now_ms - held_ms)

    def reset(self, flow, sequence, reason, cookie, **inputs):
        """Reset a flow, which is open to the target that the cookie names."""
        host = format_host(flow[0])
        sent = self._send(encode_reset(flow, sequence), (host, self._reset_port))
        self.counters.add("resets", reason)
        self.log.line(
            "reset",
            flow=format_flow(flow),
            reason=reason,
            target=self.balancer.target_id(cookie),
            sent=sent,
            **inputs,
        )

    def _on_readable(self, _events):
        now_ms = self.loop.clock()
        self.packet_ms = now_ms
        if self._waiting_since_ms is None:
            self._waiting_since_ms = self.balancer.ticked_ms or now_ms
            self._read = 0
        elif self._read >= MOST_WAITING:
            self._waiting_since_ms = now_ms  # what was there has been read
            self._read = 0
        waited_ms = now_ms - self._waiting_since_ms
        for _ in range(PACKETS_A_TURN):
            try:
                size = self._sock.recv_into(self._space)
            except BlockingIOError:
                self._waiting_since_ms = None
                return
            except OSError as error:
                self.log.line("packets_unreadable", error=str(error))
                return
            self._read += 1
            self._on_packet(size, now_ms, waited_ms)

    def _on_packet(self, size, now_ms, waited_ms):
        packet = decode_packet(self._buffer, size)
        if isinstance(packet, BadPacket):
            self.counters.add("dropped", packet.reason)
            return
        action = self.balancer.on_packet(packet, now_ms, waited_ms=waited_ms)
        if isinstance(action, Forward):
            self._forward(packet, action, size)
        elif isinstance(action, Hold):
            if len(self._held) < MOST_HELD:
                since_ms = now_ms - waited_ms
                self._held.append((since_ms, bytes(self._space[:size])))
            else:
                self.counters.add("dropped", "too_many_held")
        elif isinstance(action, Drop):
            self.counters.add("dropped", action.reason)
            self.log.line("drop", **self._identify(packet, size), reason=action.reason)
        else:
            self.reset(
                packet.flow,
                action.sequence,
                action.reason,
                packet.cookie,
                request=self._request_id(size),
                **self.balancer.state_summary(now_ms),
            )

    def _forward(self, packet, action, size):
        target = action.target
        address_packet(self._buffer, target)
        sent = self._send(memoryview(self._buffer)[: NAME_BYTES + size], target.address)
        self.counters.add("forwarded", action.reason)
        if action.reason != "open_flow":
            self.log.line(
                action.reason,
                flow=format_flow(packet.flow),
                target=target.name.hex(),
                service=target.service,
                to=format_address(target.address),
                sent=sent,
                **self.balancer.state_summary(self.packet_ms),
            )
        elif packet.length:
            self._note_request(packet, target, size, sent)

    def _note_request(self, packet, target, size, sent):
        """Log where a request goes, at its first packet."""
        request = self._request_id(size)
        if request:
            self.log.line(
                "request",
                request=request,
                flow=format_flow(packet.flow),
                target=target.name.hex(),
                sent=sent,
            )

    def _send(self, data, address):
        """Send a datagram and tell whether the system took it."""
        try:
            self._sock.sendto(data, address)
        except OSError as error:
            self.counters.add("unsent", type(error).__name__)
            return False
        return True

    def _identify(self, packet, size):
        fields = {"flow": format_flow(packet.flow)}
        if packet.cookie:
            fields["target"] = self.balancer.target_id(packet.cookie)
        request = self._request_id(size)
        if request:
            fields["request"] = request
        return fields

    def _request_id(self, size):
        """Return the id of the request that starts in the packet, "" without one."""
        found = self._buffer.find(REQUEST_ID_HEADER, 0, NAME_BYTES + size)
        if found < 0:
            return ""
        start = found + len(REQUEST_ID_HEADER)
        text = bytes(self._buffer[start : start + REQUEST_ID_BYTES])
        return text.partition(b"\r\n")[0].decode("ascii", "replace")
