"""The socket for messages between the balancers."""

from lagoontally_flows import (
    Beacon,
    ConfigurationDelta,
    DealtAnew,
    Delta,
    DemandDigest,
    Hello,
    InForce,
    Joined,
    LoadAdvice,
    LoadReport,
    Members,
    Membership,
    Verdict,
)

from ._messages import decode_message, encode_message
from ._sockets import datagram_socket

MAX_MESSAGES_PER_READ = 64
RECEIVE_BYTES = 2_048
STATE_MESSAGES = (Beacon, ConfigurationDelta, DealtAnew, Delta, Verdict)
LOAD_MESSAGES = (LoadAdvice, LoadReport)  # only from members
EPOCH_BITS = 31


class Peers:
    """The other balancers.

    Args:
        loop: The ``Loop`` that watches the socket.
        settings: The ``Settings``.
        random: Random number generator.
        metrics: The ``Metrics``.
        on_message: Called with an ``InForce`` or one of ``STATE_MESSAGES`` and the
            sender's host.

    Attributes:
        on_load_message: Called with a message about load and the sender's host.
        membership: The ``Membership``.
        version: Version of the configuration in force here; 0 before the first.
    """

    def __init__(self, loop, settings, *, random, metrics, on_message):
        self.loop = loop
        self.settings = settings
        self.metrics = metrics
        self.on_message = on_message
        self.on_load_message = None
        self.membership = Membership(
            host=settings.host,
            data_centre=settings.data_centre,
            epoch=random.getrandbits(EPOCH_BITS) + 1,  # 0 stands for no list
        )
        self.version = 0
        self._port = settings.peer_address[1]
        self._sock = datagram_socket(settings.peer_address)
        loop.watch(self._sock, self._on_readable)

    @property
    def members(self):
        """The hosts of the other balancers in this data centre."""
        return self.membership.members

    def on_tick(self, now_ms):
        """Send ``Hello`` to the seeds when it is due and remove expired members."""
        addresses = dict(self.settings.seeds)
        for seed, hello in self.membership.on_tick(addresses, now_ms):
            self._send(encode_message(hello), (seed, addresses[seed]))
            self._send_version((seed, addresses[seed]))

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

    def send(self, message, host):
        """Send a message to one balancer, unless it is too long for a datagram."""
        data = encode_message(message)
        if data is None:
            self.metrics.add("peer_unsent", "too_long")
        else:
            self._send(data, (host, self._port))

    def send_to_seeds(self, message):
        """Send a message to each seed, in whichever data centre."""
        for seed in dict(self.settings.seeds):
            self.send(message, seed)

    def _send_version(self, address):
        """Send the version in force to a balancer in any data centre."""
        if self.version:
            self._send(encode_message(InForce(self.version)), address)

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
            for reply in self.membership.on_hello(message, host, now_ms):
                self.send(reply, host)
            self._send_version((host, self._port))
        elif isinstance(message, Members):
            for member, joined in self.membership.on_members(message, host, now_ms):
                self.send(joined, member)
        elif isinstance(message, Joined):
            self.membership.on_joined(message, host, now_ms)
        elif isinstance(message, InForce):
            self.on_message(message, host)
        elif isinstance(message, STATE_MESSAGES):
            self.membership.on_message(host, now_ms)
            self.on_message(message, host)
        elif isinstance(message, DemandDigest) or (
            isinstance(message, LOAD_MESSAGES) and host in self.members
        ):
            self.on_load_message(message, host)
