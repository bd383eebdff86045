"""The socket for messages between the balancers."""

from lagoontally_flows import (
    BY_PEER,
    BY_READER,
    BY_REPLY,
    Beacon,
    ConfigurationDelta,
    DealtAnew,
    Delta,
    DemandDigest,
    Evacuated,
    Hello,
    HolderQuery,
    Holders,
    InForce,
    Joined,
    LoadAdvice,
    LoadReport,
    Members,
    Membership,
    RelayAck,
    Relayed,
    Relays,
    Verdict,
)

from ._messages import decode_message, encode_message, split_evacuated
from ._sockets import datagram_socket
from ._traffic import Traffic

MAX_MESSAGES_PER_READ = 64
RECEIVE_BYTES = 2_048
STATE_MESSAGES = (
    Beacon,
    ConfigurationDelta,
    DealtAnew,
    Delta,
    HolderQuery,
    Holders,
    Verdict,
)
MEMBERSHIP_MESSAGES = (Hello, Joined, Members)
RELAY_MESSAGES = (RelayAck, Relayed)
LOAD_MESSAGES = (LoadAdvice, LoadReport)  # only from members
EPOCH_BITS = 31
COPIES = 4  # of a message that need not reach all members


class Peers:
    """The other balancers.

    Args:
        loop: The ``Loop`` that watches the socket.
        settings: The ``Settings``.
        random: Random number generator.
        metrics: The ``Metrics``.
        evacuations: The ``Evacuations``, told to and by other balancers.
        on_message: Called with an ``InForce`` or one of ``STATE_MESSAGES`` and the
            sender's host.

    Attributes:
        on_load_message: Called with a message about load and the sender's host.
        membership: The ``Membership``.
        relays: The ``Relays`` that pass this balancer's changes on.
        version: Version of the configuration in force here; 0 before the first.
    """

    def __init__(self, loop, settings, *, random, metrics, evacuations, on_message):
        self.loop = loop
        self.settings = settings
        self.random = random
        self.metrics = metrics
        self.traffic = Traffic(metrics)
        self.evacuations = evacuations
        self.on_message = on_message
        self.on_load_message = None
        self.membership = Membership(
            host=settings.host,
            data_centre=settings.data_centre,
            epoch=random.getrandbits(EPOCH_BITS) + 1,  # 0 stands for no list
        )
        self.version = 0
        self.relays = Relays()
        self._port = settings.peer_address[1]
        self._sock = datagram_socket(settings.peer_address)
        loop.watch(self._sock, self._on_readable)

    @property
    def members(self):
        """The hosts of the other balancers in this data centre."""
        return self.membership.members

    def on_tick(self, now_ms):
        """Send what is due: ``Hello`` to the seeds, and what relays are late with."""
        for host, message in self.relays.on_tick(now_ms):
            self.metrics.add("relays", "late")
            self.send(message, host)
        addresses = dict(self.settings.seeds)
        for seed, hello in self.membership.on_tick(addresses, now_ms):
            self._send(hello, (seed, addresses[seed]))
            self._send_version((seed, addresses[seed]))
            if self.evacuations.since_ms:
                self._tell_evacuations(BY_PEER, (seed, addresses[seed]), now_ms)

    def read_pending(self):
        """Handle the messages waiting in the socket's buffer."""
        self._on_readable(None)

    def announce_evacuations(self, now_ms):
        """Tell the members which data centres are emptied, if any."""
        if self.evacuations.since_ms:
            for part in split_evacuated(self.evacuations.message(BY_READER, now_ms)):
                self.broadcast(part)

    def broadcast(self, message):
        """Send a message to every member.

        Returns:
            False if it is too long for a datagram, else True.
        """
        data = encode_message(message)
        if data is None:
            return False
        for host in self.members:
            self._send(message, (host, self._port), data)
        self.metrics.add("peer_messages_sent", type(message).__name__)
        return True

    def send_to_some(self, message):
        """Send a message to ``COPIES`` members, to all where there are fewer."""
        members = sorted(self.members, key=lambda _: self.random.random())
        for host in members[:COPIES]:
            self.send(message, host)
        self.metrics.add("peer_messages_sent", type(message).__name__)

    def send_change(self, delta):
        """Send a ``Delta`` to every member, in a large data centre through relays."""
        now_ms = self.loop.clock()
        for host, message in self.relays.send(delta, self.members, now_ms):
            self.send(message, host)
        self.metrics.add("peer_messages_sent", type(delta).__name__)

    def send(self, message, host):
        """Send a message to one balancer, unless it is too long for a datagram."""
        self._send(message, (host, self._port))

    def send_to_seeds(self, message):
        """Send a message to each seed, in whichever data centre."""
        for seed in dict(self.settings.seeds):
            self.send(message, seed)

    def _send_version(self, address):
        """Send the version in force to a balancer in any data centre."""
        if self.version:
            self._send(InForce(self.version), address)

    def send_evacuated(self, message, host):
        """Send an ``Evacuated`` to one balancer, in parts."""
        for part in split_evacuated(message):
            self.send(part, host)

    def _tell_evacuations(self, source, address, now_ms):
        """Tell a balancer in any data centre which ones are emptied."""
        for part in split_evacuated(self.evacuations.message(source, now_ms)):
            self._send(part, address)

    def _send(self, message, address, data=None):
        """Send a message, or the datagram that it was encoded to before."""
        data = data or encode_message(message)
        if data is None:
            self.metrics.add("peer_unsent", "too_long")
            return
        try:
            self._sock.sendto(data, address)
        except OSError as error:
            self.metrics.add("peer_unsent", type(error).__name__)
        else:
            self.traffic.message_sent(message, data)

    def _on_readable(self, _events):
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                data, address = self._sock.recvfrom(RECEIVE_BYTES)
            except OSError:
                return  # no more datagrams
            message = decode_message(data)
            self.traffic.message_received(message, data)
            if message is None:
                self.metrics.add("peer_messages_bad", "unreadable")
                continue
            self._on_message(message, address[0])

    def _on_hello(self, hello, host, now_ms):
        for reply in self.membership.on_hello(hello, host, now_ms):
            self.send(reply, host)
        self._send_version((host, self._port))
        if self.evacuations.since_ms:
            self._tell_evacuations(BY_PEER, (host, self._port), now_ms)

    def _on_message(self, message, host):
        now_ms = self.loop.clock()
        if isinstance(message, MEMBERSHIP_MESSAGES):
            self._on_membership_message(message, host, now_ms)
        elif isinstance(message, Evacuated):
            if self.evacuations.on_message(message, host, now_ms):
                self._tell_evacuations(BY_REPLY, (host, self._port), now_ms)
        elif isinstance(message, RELAY_MESSAGES):
            self._on_relay_message(message, host, now_ms)
        elif isinstance(message, InForce):
            self.on_message(message, host)
        elif isinstance(message, STATE_MESSAGES):
            self.membership.on_message(host, now_ms)
            self.on_message(message, host)
        elif isinstance(message, DemandDigest) or (
            isinstance(message, LOAD_MESSAGES) and host in self.members
        ):
            self.on_load_message(message, host)

    def _on_membership_message(self, message, host, now_ms):
        if isinstance(message, Hello):
            self._on_hello(message, host, now_ms)
        elif isinstance(message, Members):
            for member, joined in self.membership.on_members(message, host, now_ms):
                self.send(joined, member)
        else:
            self.membership.on_joined(message, host, now_ms)

    def _on_relay_message(self, message, host, now_ms):
        """Handle a reader's change and pass it on, or an acknowledgement of that.

        Without an acknowledgement the reader sends the change itself, as it should if
        this balancer doesn't know all of the members yet.
        """
        if isinstance(message, RelayAck):
            self.relays.on_ack(message, host)
            return
        self.membership.on_message(host, now_ms)
        if all(member in self.members for member in message.hosts):
            self.send(RelayAck(message.number), host)
            data = encode_message(message.message)
            for member in message.hosts:
                self._send(message.message, (member, self._port), data)
        else:
            self.metrics.add("relays", "unknown_member")
        self.on_message(message.message, host)
