"""Receives callers' packets and forwards them as the balancer decides."""

from lagoontally_flows import SYN, Drop, Forward, Hold, unconfirmed
from lagoontally_platform import (
    MAX_DATAGRAM_BYTES,
    NAME_BYTES,
    REQUEST_ID_HEADER,
    InvalidPacket,
    address_packet,
    decode_packet,
    encode_reset,
    format_address,
    format_flow,
    format_host,
)

from ._sockets import datagram_socket

# Packets of a second or two, while targets or a large configuration are being loaded.
MAX_HELD_PACKETS = 256
MAX_BACKLOG_PACKETS = 512  # a socket buffers about 280 small packets by default
MAX_PACKETS_PER_READ = 128  # so that other sockets aren't starved
MAX_REQUEST_ID_BYTES = 64


class PacketPort:
    """The UDP socket for callers' packets.

    It is bound and read at once. Packets that arrive before the balancer can serve them
    are held until ``open``, so that it is known how long each has waited.

    Args:
        loop: The ``Loop`` that watches the socket.
        address: Where routers send packets; resets are sent to the same port.
        balancer: The ``Balancer`` that decides on packets.
        log: The ``Log``.
        metrics: The ``Metrics``.
    """

    def __init__(self, loop, address, *, balancer, log, metrics):
        self.loop = loop
        self.balancer = balancer
        self.log = log
        self.metrics = metrics
        self.last_packet_ms = 0
        self.is_open = False
        self._held = []
        # Since when packets may have waited in the socket's buffer, None after it
        # was found empty.
        self._backlog_since_ms = loop.clock()
        self._read_count = 0  # packets read since then
        self._reset_port = address[1]
        self._sock = datagram_socket(address)
        # One byte longer than the longest packet, to detect longer datagrams.
        self._buffer = bytearray(NAME_BYTES + MAX_DATAGRAM_BYTES + 1)
        self._datagram = memoryview(self._buffer)[NAME_BYTES:]
        loop.watch(self._sock, self._on_readable)

    def open(self):
        """Start processing packets, first those received since the start."""
        self.read_pending()
        self.is_open = True
        self.release_held()

    def read_pending(self):
        """Read the packets waiting in the socket's buffer.

        Must be called before the balancer's tick: a packet's wait is measured from
        the last tick, and after a pause the loop may tick before it reads.
        """
        self._on_readable(None)

    def release_held(self):
        """Process the packets that were held until there is a configuration."""
        held, self._held = self._held, []
        now_ms = self.loop.clock()
        for held_ms, datagram in held:
            self._datagram[: len(datagram)] = datagram
            self._on_packet(len(datagram), now_ms, now_ms - held_ms)

    def reset(self, flow, sequence, reason, cookie, **inputs):
        """Reset a flow that is open to the target with the cookie."""
        host = format_host(flow[0])
        sent = self._send(encode_reset(flow, sequence), (host, self._reset_port))
        self.metrics.add("resets", reason)
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
        self.last_packet_ms = now_ms
        if self._backlog_since_ms is None:
            self._backlog_since_ms = self.balancer.ticked_ms or now_ms
            self._read_count = 0
        elif self._read_count >= MAX_BACKLOG_PACKETS:
            self._backlog_since_ms = now_ms  # the whole earlier backlog has been read
            self._read_count = 0
        waited_ms = now_ms - self._backlog_since_ms
        for _ in range(MAX_PACKETS_PER_READ):
            try:
                size = self._sock.recv_into(self._datagram)
            except BlockingIOError:
                self._backlog_since_ms = None
                return
            except OSError as error:
                self.log.line("packets_unreadable", error=str(error))
                return
            self._read_count += 1
            self._on_packet(size, now_ms, waited_ms)

    def _on_packet(self, size, now_ms, waited_ms):
        if not self.is_open:
            self._hold(size, now_ms - waited_ms)
            return
        packet = decode_packet(self._buffer, size)
        if isinstance(packet, InvalidPacket):
            self.metrics.add("dropped", packet.reason)
            return
        action = self.balancer.on_packet(packet, now_ms, waited_ms=waited_ms)
        if isinstance(action, Forward):
            self._forward(packet, action, size)
        elif isinstance(action, Hold):
            self._hold(size, now_ms - waited_ms)
        elif isinstance(action, Drop):
            self.metrics.add("dropped", action.reason)
            self.log.line(
                "drop", **self._log_fields(packet, size), reason=action.reason
            )
        else:
            self.reset(
                packet.flow,
                action.sequence,
                action.reason,
                packet.cookie,
                request=self._request_id(size),
                **self.balancer.state_summary(now_ms),
            )

    def _hold(self, size, since_ms):
        """Keep the packet that was just read, and since when it waits."""
        if len(self._held) < MAX_HELD_PACKETS:
            self._held.append((since_ms, bytes(self._datagram[:size])))
        else:
            self.metrics.add("dropped", "too_many_held")

    def _forward(self, packet, action, size):
        target = action.target
        cookie = target.cookie if action.confirmed else unconfirmed(target.cookie)
        address_packet(self._buffer, target, cookie)
        sent = self._send(memoryview(self._buffer)[: NAME_BYTES + size], target.address)
        self.metrics.add("forwarded", action.reason)
        if action.reason != "open_flow":
            self.log.line(
                action.reason,
                flow=format_flow(packet.flow),
                target=target.name.hex(),
                service=target.service,
                to=format_address(target.address),
                sent=sent,
                **self.balancer.state_summary(self.last_packet_ms),
            )
        if packet.length and not packet.flags & SYN:
            self._log_request(packet, target, size, sent)

    def _log_request(self, packet, target, size, sent):
        """Log a request's target when its first packet is forwarded."""
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
        """Send a datagram and return whether the kernel accepted it."""
        try:
            self._sock.sendto(data, address)
        except OSError as error:
            self.metrics.add("unsent", type(error).__name__)
            return False
        return True

    def _log_fields(self, packet, size):
        fields = {"flow": format_flow(packet.flow)}
        if packet.cookie:
            fields["target"] = self.balancer.target_id(packet.cookie)
        request = self._request_id(size)
        if request:
            fields["request"] = request
        return fields

    def _request_id(self, size):
        """Return the id of the request that starts in the packet, "" if none does."""
        found = self._buffer.find(REQUEST_ID_HEADER, 0, NAME_BYTES + size)
        if found < 0:
            return ""
        start = found + len(REQUEST_ID_HEADER)
        text = bytes(self._buffer[start : start + MAX_REQUEST_ID_BYTES])
        return text.partition(b"\r\n")[0].decode("ascii", "replace")
