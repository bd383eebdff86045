"""The edge towards other balancers: pynng over TCP."""

from collections import OrderedDict
from threading import Lock
from typing import NamedTuple

import pynng

from lagoontally_core import Count

from ._datagrams import ignore_count, split_address
from ._pause import monotonic_ms
from ._peer_codec import DecodeError, EncodeError, decode_peer, encode_peer
from ._receive import NothingReceived, receive

RECEIVE_WAIT_MS = 100
MAX_PEERS = 600
IDLE_MS = 60_000
SWEEP_MS = 1_000
SEND_QUEUE = 64
RECEIVE_QUEUE = 256
MAX_MESSAGE_BYTES = 2 << 20
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000


class Link(NamedTuple):
    """The socket dialed to a peer, and when it was last used."""

    socket: pynng.Push0
    used_ms: int


class PeerEdge:
    """Listens for other balancers' messages and sends them this one's.

    Args:
        incarnation: Incarnation of this balancer.
        listen_address: ``IP:port`` to listen at; port 0 lets the system choose.
        post: Takes events for the core.
        count: Takes ``Count``.
        clock_ms: Returns the monotonic clock in milliseconds.
        max_peers: Number of peers that may be dialed at once.

    Raises:
        pynng.NNGException: When the address can't be listened at.
    """

    def __init__(
        self,
        *,
        incarnation,
        listen_address,
        post,
        count=ignore_count,
        clock_ms=monotonic_ms,
        max_peers=MAX_PEERS,
    ):
        self.incarnation = incarnation
        self.post = post
        self.count = count
        self.clock_ms = clock_ms
        self.max_peers = max_peers
        self.lock = Lock()
        self.links = OrderedDict()
        self.retired = []
        self.swept_ms = clock_ms()
        self.pull = pynng.Pull0(
            recv_timeout=RECEIVE_WAIT_MS,
            recv_buffer_size=RECEIVE_QUEUE,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        listener = self.pull.listen(f"tcp://{listen_address}")
        self.listen_address = str(listener.local_address)

    def send(self, action):
        """Send the message of a ``SendPeer``; dropped when it would block."""
        data = encode_peer(self.incarnation, action.message)
        if isinstance(data, EncodeError):
            self.add("unencodable")
            return
        with self.lock:
            self.send_by_link(action.peer_address, data)

    def send_by_link(self, peer_address, data):
        """Send encoded data by the peer's link, dialed at its first use."""
        link = self.links.pop(peer_address, None)
        socket = link.socket if link else self.dial(peer_address)
        if socket is None:
            self.add("dial_failed")
            return
        self.links[peer_address] = Link(socket, self.clock_ms())
        if len(self.links) > self.max_peers:
            _, longest_unused = self.links.popitem(last=False)
            self.retired.append(longest_unused.socket)
        try:
            socket.send(data, block=False)
        except pynng.NNGException:
            self.add("send_dropped")

    def dial(self, peer_address):
        """Return a socket that connects in the background, or None."""
        if split_address(peer_address) is None:
            return None
        socket = pynng.Push0(
            send_buffer_size=SEND_QUEUE,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        try:
            socket.dial(f"tcp://{peer_address}", block=False)
        except pynng.NNGException:
            socket.close()
            return None
        return socket

    def forget(self, peer_address):
        """Drop the link to a peer, so that the next message dials it anew."""
        with self.lock:
            link = self.links.pop(peer_address, None)
            if link:
                self.retired.append(link.socket)

    def run(self, stop):
        """Read other balancers' messages until ``stop`` is set."""
        while not stop.is_set():
            self.receive()
            self.sweep()

    def receive(self):
        """Wait a short time for a message and post it."""
        data = receive(self.pull)
        if isinstance(data, NothingReceived):
            if data.failed:
                self.add("receive_failed")
            return
        decoded = decode_peer(data)
        if isinstance(decoded, DecodeError):
            self.add("undecodable")
            return
        self.post(decoded)

    def sweep(self):
        """Close the links that are idle or retired, at most once a second."""
        now_ms = self.clock_ms()
        if now_ms - self.swept_ms < SWEEP_MS:
            return
        self.swept_ms = now_ms
        with self.lock:
            self.retire_idle(now_ms - IDLE_MS)
            retired, self.retired = self.retired, []
        for socket in retired:
            socket.close()

    def retire_idle(self, before_ms):
        """Retire the links that were last used before a time."""
        for address, link in list(self.links.items()):
            if link.used_ms >= before_ms:
                return
            self.retired.append(self.links.pop(address).socket)

    def add(self, counter):
        """Add one to a counter of this edge."""
        self.count(Count(f"peer_{counter}"))

    def close(self):
        """Close every socket; call it once ``run`` has returned."""
        with self.lock:
            sockets = [link.socket for link in self.links.values()] + self.retired
            self.links.clear()
            self.retired = []
        for socket in [*sockets, self.pull]:
            socket.close()
