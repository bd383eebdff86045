"""Membership of, and messages between, the balancers of a data centre."""

from lagoontally_flows import Beacon, DealtAnew, Verdict

from ._messages import Delta, Hello, Members, decode_message, encode_message
from ._sockets import datagram_socket

HELLO_INTERVAL_MS = 2_000
# Until a seed has answered; it may be starting too.
FIRST_HELLO_INTERVAL_MS = 250
MEMBER_TTL_MS = 12_000  # several intervals: some hellos may be lost
MAX_MEMBERS_PER_MESSAGE = 70  # hosts that fit into one datagram
MAX_MESSAGES_PER_READ = 64
RECEIVE_BYTES = 2_048


class Peers:
    """The other balancers.

    Each balancer regularly sends ``Hello`` to the seeds, which reply with the
    balancers of its data centre that recently did the same.

    Args:
        loop: The ``Loop`` that watches the socket.
        settings: The ``Settings``.
        metrics: The ``Metrics``.
        on_message: Called with a ``Beacon``, ``DealtAnew``, ``Delta`` or ``Verdict``
            and the sender's host.

    Attributes:
        members: Time at which each other balancer of the data centre last sent a
            message or was listed by a seed, by host.
        hello_senders: Data centre and time of the last ``Hello``, by host.
    """

    def __init__(self, loop, settings, *, metrics, on_message):
        self.loop = loop
        self.settings = settings
        self.metrics = metrics
        self.on_message = on_message
        self.members = {}
        self.hello_senders = {}
        self._port = settings.peer_address[1]
        self._next_hello_ms = 0
        self._sock = datagram_socket(settings.peer_address)
        loop.watch(self._sock, self._on_readable)

    def on_tick(self, now_ms):
        """Send ``Hello`` to the seeds when it is due and remove expired members."""
        if now_ms < self._next_hello_ms:
            return
        alone = not self.members
        interval_ms = FIRST_HELLO_INTERVAL_MS if alone else HELLO_INTERVAL_MS
        self._next_hello_ms = now_ms + interval_ms
        hello = encode_message(Hello(self.settings.data_centre))
        for seed in self.settings.seeds:
            if seed[0] != self.settings.host:
                self._send(hello, seed)
        for table in (self.members, self.hello_senders):
            for host, received in list(table.items()):
                last_received_ms = (
                    received[1] if table is self.hello_senders else received
                )
                if now_ms - last_received_ms > MEMBER_TTL_MS:
                    del table[host]

    def broadcast(self, message):
        """Send a message to every member.

        Returns:
            False if it is too long for a datagram, else True.
        """
        data = encode_message(message)
        if data is None:
            return False
        for host in self.members:
            self._send(data, (host, self._port))
        self.metrics.add("peer_messages_sent", type(message).__name__)
        return True

    def _send(self, data, address):
        try:
            self._sock.sendto(data, address)
        except OSError as error:
            self.metrics.add("peer_unsent", type(error).__name__)

    def _on_readable(self, _events):
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                data, address = self._sock.recvfrom(RECEIVE_BYTES)
            except OSError:
                return  # no more datagrams
            message = decode_message(data)
            if message is None:
                self.metrics.add("peer_messages_bad", "unreadable")
                continue
            self._on_message(message, address[0])

    def _on_message(self, message, host):
        now_ms = self.loop.clock()
        if isinstance(message, Hello):
            self._on_hello(message, host, now_ms)
        elif isinstance(message, Members):
            for member in message.hosts:
                if member != self.settings.host:
                    self.members[member] = now_ms
        elif isinstance(message, Beacon | DealtAnew | Delta | Verdict):
            self.members[host] = now_ms
            self.on_message(message, host)

    def _on_hello(self, hello, host, now_ms):
        self.hello_senders[host] = (hello.data_centre, now_ms)
        if hello.data_centre == self.settings.data_centre:
            self.members[host] = now_ms
        hosts = [
            sender
            for sender, (data_centre, _) in self.hello_senders.items()
            if data_centre == hello.data_centre and sender != host
        ]
        if hello.data_centre == self.settings.data_centre:
            hosts.append(self.settings.host)
        data = encode_message(Members(hosts[-MAX_MEMBERS_PER_MESSAGE:]))
        self._send(data, (host, self._port))
