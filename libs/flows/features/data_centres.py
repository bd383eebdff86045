"""Data centres that share a store, and what their balancers tell each other.

Each data centre is a ``Fleet`` with its own view of the store, whose watches may lack
a change that reads return.
"""

from random import Random

from fleet import TICK_MS, Fleet

from lagoontally_flows import Heard, InForce, VersionCheck

HELLO_INTERVAL_MS = 2_000


class Checked:
    """A balancer with its ``VersionCheck``.

    Attributes:
        host: Name that is unique among the data centres.
        reports: Versions that it reported to lack.
        readings: Number of times that it read the store again.
        ignores: Whether it drops what it hears.
    """

    def __init__(self, fleet, balancer, host):
        self.fleet = fleet
        self.balancer = balancer
        self.host = host
        self.check = VersionCheck(random=Random(host))
        self.reports = []
        self.readings = 0
        self.ignores = False

    @property
    def is_reader(self):
        """Whether it reads for its data centre."""
        return self.balancer.store_sync.reader

    def on_message(self, message, host, now_ms):
        """Handle the version that another balancer announces."""
        if not self.ignores and message is not None:
            self.check.on_version(message.version, host, now_ms)

    def on_tick(self, now_ms):
        """Read the store again if that is due."""
        store_sync = self.balancer.store_sync
        self.check.on_own(store_sync.configuration_version, now_ms)
        heard = self.check.due(
            now_ms,
            reader=store_sync.reader,
            members=store_sync.members,
            reachable=store_sync.reaches_store(now_ms),
        )
        if heard is None or not store_sync.reread():
            return
        assert isinstance(heard, Heard)
        self.readings += 1
        if self.check.on_reread(now_ms):
            self.reports.append(heard.version)


class DataCentres:
    """Several fleets on one clock. The last balancer of each is a seed."""

    def __init__(self, data_centres, count):
        self.fleets = [Fleet(count) for _ in range(data_centres)]
        self.balancers = [
            Checked(fleet, balancer, f"{number}-{balancer.name}")
            for number, fleet in enumerate(self.fleets)
            for balancer in fleet.balancers
        ]
        self.seeds = [self.of(fleet)[-1] for fleet in self.fleets]
        self._next_hello_ms = dict.fromkeys(
            (one.host for one in self.balancers), self.now_ms
        )

    @property
    def now_ms(self):
        """The virtual time."""
        return self.fleets[0].now_ms

    def of(self, fleet):
        """Return the balancers of a data centre."""
        return [one for one in self.balancers if one.fleet is fleet]

    def first(self):
        """Return the balancers of the first data centre."""
        return self.of(self.fleets[0])

    def publish(self, *, missed=False):
        """Publish a configuration, which the first data centre's watches may lack."""
        for fleet in self.fleets:
            written = fleet.store.version_revision
            fleet.change_configuration()
            if missed and fleet is self.fleets[0]:
                fleet.store.version_revision = written

    def run(self, duration_ms):
        """Advance the time."""
        for _ in range(round(duration_ms / TICK_MS)):
            for fleet in self.fleets:
                fleet.run(TICK_MS)
            for one in self.balancers:
                one.on_tick(self.now_ms)
                self._send(one)

    def _send(self, one):
        """Send what accompanies a ``Hello`` and its reply, and notices to readers."""
        for reader in self.of(one.fleet):
            if reader.is_reader and reader is not one:
                announced = reader.balancer.store_sync.configuration_version
                members = one.balancer.store_sync.members
                notice = one.check.notice(announced, self.now_ms, members=members)
                reader.on_message(notice, one.host, self.now_ms)
        if self.now_ms < self._next_hello_ms[one.host]:
            return
        self._next_hello_ms[one.host] = self.now_ms + HELLO_INTERVAL_MS
        for seed in self.seeds:
            if seed is not one:
                self._announce(one, seed)
                self._announce(seed, one)

    def _announce(self, sender, receiver):
        if sender.check.own:
            message = InForce(sender.check.own)
            receiver.on_message(message, sender.host, self.now_ms)
