"""Membership: which other balancers run in this balancer's data centre.

Each balancer regularly sends a ``Hello`` to the seeds, which reply with the changes
since the reply before. How often it does so depends on the number of balancers that
a seed serves, so a seed's traffic is bounded in fleets of any size. A balancer that
starts announces itself to each member that a seed lists, so that readers don't have
to wait for their next ``Hello`` to learn of it.
"""

from lagoontally_lean import Record

from ._store import PartCollector

HELLO_INTERVAL_MS = 2_000
HELLO_INTERVAL_PER_SENDER_MS = 50  # a seed answers at most 20 a second
MAX_HELLO_INTERVAL_MS = 60_000  # bounds what a faulty reply can set
# Until a seed has answered; it may be starting too.
FIRST_HELLO_INTERVAL_MS = 250
MISSED_HELLOS = 6  # that remove a sender; datagrams may be lost
MISSED_REPLIES = 3  # below what seeds allow, so a balancer that is cut off knows first
SETTLING_MS = 3_000  # members that start together announce themselves by then
MAX_HOSTS_PER_MESSAGE = 60  # an address takes up to 18 bytes of a datagram of 1,200
MAX_RECORDED_CHANGES = 256
UNKNOWN_GENERATION = 0


class Hello(Record, fields="data_centre epoch generation"):
    """Announces the sender to a seed and requests its data centre's balancers.

    Attributes:
        data_centre: Data centre of the sender.
        epoch: Epoch of the seed's list that the sender knows.
        generation: Generation of that list, ``UNKNOWN_GENERATION`` for none.
    """

    __slots__ = ()


class Members(
    Record, fields="epoch generation complete part parts interval_ms hosts removed"
):
    """The reply to ``Hello``: balancers of the sender's data centre.

    Attributes:
        epoch: Identifies the list; a seed that restarts begins another one.
        generation: Counts the changes of the list.
        complete: Whether ``hosts`` of all parts are the whole list. Otherwise they
            were added to the generation that the ``Hello`` named.
        part: Index of this part, from 0.
        parts: Number of parts that the reply is split into.
        interval_ms: How long the sender of the ``Hello`` should wait before the next.
        hosts: Hosts of balancers.
        removed: Hosts that were removed.
    """

    __slots__ = ()


class Joined(Record, fields="data_centre"):
    """Announces a balancer that has started to a member of its data centre."""

    __slots__ = ()


class MemberList:
    """The balancers of one data centre that send ``Hello`` to this one.

    Attributes:
        hosts: Time of the last ``Hello`` by host.
        generation: Incremented whenever a host is added or removed.
    """

    def __init__(self):
        self.hosts = {}
        self.generation = UNKNOWN_GENERATION + 1
        self._changes = []

    def add(self, host, now_ms):
        """Record a ``Hello``."""
        if host not in self.hosts:
            self._record(host, added=True)
        self.hosts[host] = now_ms

    def remove(self, host):
        """Remove a host if it is listed."""
        if self.hosts.pop(host, None) is not None:
            self._record(host, added=False)

    def expire(self, oldest_ms):
        """Remove the hosts whose last ``Hello`` came before a time."""
        for host, received_ms in list(self.hosts.items()):
            if received_ms < oldest_ms:
                self.remove(host)

    def changes_since(self, generation):
        """Return the hosts added and removed since a generation.

        Returns:
            Two lists, or None if the changes aren't recorded any more or are too
            many for one message.
        """
        count = self.generation - generation
        if not 0 <= count <= len(self._changes):
            return None
        latest = dict(self._changes[len(self._changes) - count :])
        if len(latest) > MAX_HOSTS_PER_MESSAGE:
            return None
        added = [host for host, is_added in latest.items() if is_added]
        removed = [host for host, is_added in latest.items() if not is_added]
        return added, removed

    def _record(self, host, *, added):
        self.generation += 1
        self._changes.append((host, added))
        del self._changes[:-MAX_RECORDED_CHANGES]


class SeedReplies:
    """What one seed has replied.

    Attributes:
        epoch: Epoch of its list.
        generation: Generation of its list, known in full.
        hosts: The hosts that it lists.
    """

    def __init__(self):
        self.epoch = 0
        self.generation = UNKNOWN_GENERATION
        self.hosts = set()
        self._parts = PartCollector()

    def apply(self, message):
        """Apply a ``Members`` message."""
        if not message.complete:
            if message.epoch == self.epoch:
                self.hosts.difference_update(message.removed)
                self.hosts.update(message.hosts)
                self.generation = message.generation
            return
        self.hosts.update(message.hosts)
        hosts = self._parts.add(
            (message.epoch, message.generation, message.parts),
            part=message.part,
            parts=message.parts,
            items=message.hosts,
        )
        if hosts is not None:
            self.hosts = set(hosts)
            self.epoch, self.generation = message.epoch, message.generation


class Membership:
    """The members of this balancer's data centre, by the seeds and by their messages.

    Args:
        host: This balancer's host.
        data_centre: Its data centre.
        epoch: Random number that identifies this process's lists.

    Attributes:
        members: When each other balancer of the data centre was last listed by a seed
            or sent a message, by host. They are kept while no seed answers.
    """

    def __init__(self, *, host, data_centre, epoch):
        self.host = host
        self.data_centre = data_centre
        self.epoch = epoch
        self.members = {}
        self._senders = {}
        self._lists = {}
        self._seeds = {}
        self._announced = set()
        self._interval_ms = HELLO_INTERVAL_MS
        self._next_hello_ms = 0
        self._replied_ms = None
        self._heard_ms = None
        self._settling_since_ms = None

    def on_tick(self, seeds, now_ms):
        """Expire members and return the messages that are due.

        Args:
            seeds: Hosts of the seeds.
            now_ms: Current time.

        Returns:
            Pairs of a host and a ``Hello``.
        """
        if now_ms < self._next_hello_ms:
            return []
        alone = not self.members
        interval_ms = FIRST_HELLO_INTERVAL_MS if alone else self._interval_ms
        self._next_hello_ms = now_ms + interval_ms
        self._expire(now_ms)
        return [(seed, self._hello(seed)) for seed in seeds if seed != self.host]

    def on_hello(self, hello, host, now_ms):
        """Record the sender of a ``Hello``.

        Returns:
            The ``Members`` messages of the reply.
        """
        previous = self._senders.get(host)
        if previous is not None and previous != hello.data_centre:
            self._lists[previous].remove(host)
        self._senders[host] = hello.data_centre
        self._on_heard(now_ms)
        if hello.data_centre == self.data_centre:
            self.members[host] = now_ms
        member_list = self._lists.setdefault(hello.data_centre, MemberList())
        member_list.add(host, now_ms)
        if hello.data_centre == self.data_centre:
            member_list.add(self.host, now_ms)
        return self._reply(hello, member_list)

    def on_members(self, message, seed, now_ms):
        """Handle a seed's reply.

        Returns:
            Pairs of a host and a ``Joined`` for members that don't know this balancer.
        """
        replies = self._seeds.setdefault(seed, SeedReplies())
        replies.apply(message)
        self._replied_ms = now_ms
        self._on_heard(now_ms)
        self._interval_ms = min(message.interval_ms, MAX_HELLO_INTERVAL_MS)
        new = []
        for host in replies.hosts:
            if host != self.host:
                self.members[host] = now_ms
                if host not in self._announced:
                    new.append(host)
        self._announced.update(new)
        self._remove_unlisted(message.removed)
        return [(host, Joined(self.data_centre)) for host in new]

    def is_settled(self, now_ms):
        """Return whether this balancer and the members know each other.

        True once it has been in touch with seeds for ``SETTLING_MS``, until it misses
        ``MISSED_REPLIES``.
        """
        return (
            self._heard_ms is not None
            and now_ms - self._heard_ms <= self._interval_ms * MISSED_REPLIES
            and now_ms - self._settling_since_ms >= SETTLING_MS
        )

    def on_joined(self, message, host, now_ms):
        """Record a balancer that has started."""
        if message.data_centre == self.data_centre:
            self.on_message(host, now_ms)

    def on_message(self, host, now_ms):
        """Record any message of a balancer in this data centre."""
        self.members[host] = now_ms
        self._announced.add(host)

    def _on_heard(self, now_ms):
        """Record that another balancer is in touch, as a seed or with this seed."""
        heard_ms = self._heard_ms
        silence_ms = self._interval_ms * MISSED_REPLIES
        if heard_ms is None or now_ms - heard_ms > silence_ms:
            self._settling_since_ms = now_ms
        self._heard_ms = now_ms

    def _remove_unlisted(self, hosts):
        """Remove hosts that no seed lists any more."""
        for host in hosts:
            if not any(host in seed.hosts for seed in self._seeds.values()):
                self.members.pop(host, None)
                self._announced.discard(host)

    def _hello(self, seed):
        replies = self._seeds.get(seed)
        if replies is None:
            return Hello(self.data_centre, 0, UNKNOWN_GENERATION)
        return Hello(self.data_centre, replies.epoch, replies.generation)

    def _reply(self, hello, member_list):
        interval_ms = self._sender_interval_ms()
        common = {
            "epoch": self.epoch,
            "generation": member_list.generation,
            "interval_ms": interval_ms,
        }
        changes = None
        if hello.epoch == self.epoch:
            changes = member_list.changes_since(hello.generation)
        if changes is not None:
            added, removed = changes
            return [
                Members(
                    complete=False,
                    part=0,
                    parts=1,
                    hosts=added,
                    removed=removed,
                    **common,
                )
            ]
        hosts = list(member_list.hosts)
        starts = range(0, len(hosts), MAX_HOSTS_PER_MESSAGE)
        return [
            Members(
                complete=True,
                part=part,
                parts=len(starts),
                hosts=hosts[start : start + MAX_HOSTS_PER_MESSAGE],
                removed=[],
                **common,
            )
            for part, start in enumerate(starts)
        ]

    def _sender_interval_ms(self):
        per_fleet_ms = HELLO_INTERVAL_PER_SENDER_MS * len(self._senders)
        return max(HELLO_INTERVAL_MS, per_fleet_ms)

    def _expire(self, now_ms):
        ttl_ms = self._sender_interval_ms() * MISSED_HELLOS
        for member_list in self._lists.values():
            member_list.expire(now_ms - ttl_ms)
        for host, data_centre in list(self._senders.items()):
            if host not in self._lists[data_centre].hosts:
                del self._senders[host]
        ttl_ms = self._interval_ms * MISSED_HELLOS
        if self._replied_ms is None or now_ms - self._replied_ms > ttl_ms:
            return  # without replies of seeds, silence of a member shows nothing
        for host, confirmed_ms in list(self.members.items()):
            if now_ms - confirmed_ms > ttl_ms:
                del self.members[host]
                self._announced.discard(host)
