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

RECEIVE_TIMEOUT_MS = 100
MAX_PEERS = 600
IDLE_TIMEOUT_MS = 60_000
SWEEP_INTERVAL_MS = 1_000
SEND_QUEUE_MESSAGES = 64
RECEIVE_QUEUE_MESSAGES = 256
MAX_MESSAGE_BYTES = 2 << 20
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000


class PeerConnection(NamedTuple):
    """A socket dialed to a peer, and the time of its last use."""

    socket: pynng.Push0
    last_used_ms: int


class PeerEdge:
    """Receives messages from other balancers and sends messages to them.

    Args:
        incarnation: Incarnation of this balancer.
        listen_address: ``IP:port`` to listen on; port 0 lets the system choose.
        post: Called with each event for the core.
        count: Called with each ``Count``.
        clock_ms: Returns the monotonic clock in milliseconds.
        max_peers: Maximum number of peers dialed at the same time.

    Raises:
        pynng.NNGException: If listening on the address fails.
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
        self.connections = OrderedDict()
        self.retired = []
        self.last_sweep_ms = clock_ms()
        self.pull_socket = pynng.Pull0(
            recv_timeout=RECEIVE_TIMEOUT_MS,
            recv_buffer_size=RECEIVE_QUEUE_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        listener = self.pull_socket.listen(f"tcp://{listen_address}")
        self.listen_address = str(listener.local_address)

    def send(self, action):
        """Send the message of a ``SendPeer``, or drop it if that would block."""
        data = encode_peer(self.incarnation, action.message)
        if isinstance(data, EncodeError):
            self.increment("unencodable")
            return
        with self.lock:
            self.send_on_connection(action.peer_address, data)

    def send_on_connection(self, peer_address, data):
        """Send encoded data to a peer, which is dialed at its first use."""
        connection = self.connections.pop(peer_address, None)
        socket = connection.socket if connection else self.dial(peer_address)
        if socket is None:
            self.increment("dial_failed")
            return
        self.connections[peer_address] = PeerConnection(socket, self.clock_ms())
        if len(self.connections) > self.max_peers:
            _, least_recent = self.connections.popitem(last=False)
            self.retired.append(least_recent.socket)
        try:
            socket.send(data, block=False)
        except pynng.NNGException:
            self.increment("send_dropped")

    def dial(self, peer_address):
        """Return a socket that connects in the background, or None."""
        if split_address(peer_address) is None:
            return None
        socket = pynng.Push0(
            send_buffer_size=SEND_QUEUE_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        try:
            socket.dial(f"tcp://{peer_address}", block=False)
        except pynng.NNGException:
            socket.close()
            return None
        return socket

    def disconnect(self, peer_address):
        """Drop the connection to a peer; the next message dials it again."""
        with self.lock:
            connection = self.connections.pop(peer_address, None)
            if connection:
                self.retired.append(connection.socket)

    def run(self, stop):
        """Receive messages from other balancers until ``stop`` is set."""
        while not stop.is_set():
            self.receive()
            self.sweep()

    def receive(self):
        """Wait briefly for a message and post it."""
        data = receive(self.pull_socket)
        if isinstance(data, NothingReceived):
            if data.failed:
                self.increment("receive_failed")
            return
        decoded = decode_peer(data)
        if isinstance(decoded, DecodeError):
            self.increment("undecodable")
            return
        self.post(decoded)

    def sweep(self):
        """Close idle and retired connections, at most once a second."""
        now_ms = self.clock_ms()
        if now_ms - self.last_sweep_ms < SWEEP_INTERVAL_MS:
            return
        self.last_sweep_ms = now_ms
        with self.lock:
            self.retire_idle(now_ms - IDLE_TIMEOUT_MS)
            retired, self.retired = self.retired, []
        for socket in retired:
            socket.close()

    def retire_idle(self, before_ms):
        """Retire connections that were last used before a time."""
        for address, connection in list(self.connections.items()):
            if connection.last_used_ms >= before_ms:
                return
            self.retired.append(self.connections.pop(address).socket)

    def increment(self, counter):
        """Increment a counter of this edge."""
        self.count(Count(f"peer_{counter}"))

    def close(self):
        """Close every socket; call it once ``run`` has returned."""
        with self.lock:
            sockets = [
                connection.socket for connection in self.connections.values()
            ] + self.retired
            self.connections.clear()
            self.retired = []
        for socket in [*sockets, self.pull_socket]:
            socket.close()
