"""Balancers of several data centres that find each other, on a virtual clock."""

from random import Random

from lagoontally_flows import Hello, Joined, Members, Membership

TICK_MS = 50
START_SPREAD_MS = 300
SEEDS = 3


class Instance:
    """One balancer.

    Attributes:
        membership: Its ``Membership``, None while it doesn't run.
        sent: Number of messages sent.
        received: Number of messages received.
    """

    def __init__(self, host, data_centre):
        self.host = host
        self.data_centre = data_centre
        self.membership = None
        self.sent = self.received = 0


class Cluster:
    """Balancers and the datagrams between them, which take one tick.

    Args:
        count: Number of balancers.
        data_centres: Number of data centres.
        loss: Share of datagrams that are lost.

    Attributes:
        cut_off: Hosts whose datagrams are lost, as are those sent to them.
    """

    def __init__(self, count, data_centres, loss=0.0):
        self.cut_off = set()
        self.now_ms = 1_000_000
        self.random = Random(1)
        self.loss = loss
        self.data_centres = data_centres
        self.instances = {}
        self.due = []
        self.in_transit = []
        for number in range(count):
            self.add(number, self.random.random() * START_SPREAD_MS)
        self.seeds = [f"10.0.0.{number}" for number in range(SEEDS)]

    def add(self, number, after_ms=0.0):
        """Add a balancer that starts after some time and return its host."""
        host = f"10.0.{number // 250}.{number % 250}"
        data_centre = f"dc-{number % self.data_centres}"
        self.instances[host] = Instance(host, data_centre)
        self.due.append((self.now_ms + after_ms, host))
        return host

    def start(self, host):
        """Start or restart a balancer without any state."""
        instance = self.instances[host]
        instance.membership = Membership(
            host=host,
            data_centre=instance.data_centre,
            epoch=self.random.getrandbits(31) + 1,
        )

    def stop(self, host):
        """Kill a balancer."""
        self.instances[host].membership = None

    def running(self):
        """Return the balancers that run."""
        return [one for one in self.instances.values() if one.membership is not None]

    def missing(self):
        """Return pairs of hosts of a balancer and a member that it doesn't know."""
        by_data_centre = {}
        for one in self.running():
            by_data_centre.setdefault(one.data_centre, set()).add(one.host)
        return [
            (one.host, host)
            for one in self.running()
            for host in by_data_centre[one.data_centre] - {one.host}
            if host not in one.membership.members
        ]

    def run(self, duration_ms):
        """Advance the time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            self._start_due()
            arriving, self.in_transit = self.in_transit, []
            for sender, receiver, message in arriving:
                self._deliver(sender, self.instances[receiver], message)
            for one in self.running():
                self._send(one, one.membership.on_tick(self.seeds, self.now_ms))

    def _start_due(self):
        for at_ms, host in list(self.due):
            if at_ms <= self.now_ms:
                self.due.remove((at_ms, host))
                self.start(host)

    def _send(self, sender, messages):
        for receiver, message in messages:
            sender.sent += 1
            if self.random.random() >= self.loss:
                self.in_transit.append((sender.host, receiver, message))

    def _deliver(self, sender, receiver, message):
        membership = receiver.membership
        if membership is None or self.cut_off & {sender, receiver.host}:
            return
        receiver.received += 1
        if isinstance(message, Hello):
            replies = membership.on_hello(message, sender, self.now_ms)
            self._send(receiver, [(sender, reply) for reply in replies])
        elif isinstance(message, Members):
            self._send(receiver, membership.on_members(message, sender, self.now_ms))
        elif isinstance(message, Joined):
            membership.on_joined(message, sender, self.now_ms)
