"""Balancers of one data centre that share a store, on a virtual clock."""

from random import Random

from lagoontally_flows import (
    BEGAN,
    CURRENT,
    FetchConfiguration,
    FetchTargets,
    ListTargets,
    ReadConfiguration,
    StoreSync,
    Watch,
)

TICK_MS = 20
STORE_LATENCY_MS = 4
PEER_LATENCY_MS = 1
TIMEOUT_MS = 1_200


# Attributes of a store that a restore brings back.
COPIED = ("revision", "targets", "targets_revision", "version", "version_revision")


class Store:
    """The platform's store.

    Attributes:
        revision: Increases with each change.
        era: Incremented by each restore.
        targets: Identifies the state of the targets.
        targets_revision: Revision of the last change of targets.
        version: Version of the newest configuration.
        version_revision: Revision of its change.
        unreachable_from: Names of the balancers that it doesn't answer.
        stale_revision: Revision returned by reads that may be old, None for the
            newest.
        forgotten: Revision up to which the history is lost.
        calls: Number of calls made.
        billed_calls: The same, where a read that may be old counts as a tenth.
    """

    def __init__(self):
        self.era = 1
        self.revision = 10
        self.targets = 0
        self.last_targets = 0
        self.targets_revision = 10
        self.version = 1
        self.version_revision = 10
        self.unreachable_from = set()
        self.forgotten = 0
        self.stale_revision = None
        self.calls = 0
        self.billed_calls = 0.0

    def change_targets(self):
        """Change the listed targets to a state that never was before."""
        self.revision += 1
        self.last_targets += 1
        self.targets = self.last_targets
        self.targets_revision = self.revision

    def change_configuration(self, version):
        """Write a configuration."""
        self.revision += 1
        self.version = version
        self.version_revision = self.revision

    def copy(self):
        """Return a copy of what a restore brings back."""
        return {name: getattr(self, name) for name in COPIED}

    def restore(self, copy):
        """Return to a copy and begin a new era."""
        for name, value in copy.items():
            setattr(self, name, value)
        self.era += 1


class Balancer:
    """One balancer: its ``StoreSync`` and its running call.

    Attributes:
        store_sync: The ``StoreSync``.
        pending: The running call and when it ends, None without one.
        targets: The state of the targets that it knows, None before the first.
        calls: Number of calls to the store.
        version: The configuration in force.
        alive: Whether its process runs.
    """

    def __init__(self, name, priority, seed):
        self.name = name
        self.store_sync = StoreSync(priority=priority, random=Random(seed))
        self.pending = None
        self.targets = None
        self.calls = 0
        self.endings = 0
        self.version = 0
        self.alive = True


class Fleet:
    """Balancers, a store and the messages between them.

    Attributes:
        lost: Names of balancers that the next delta doesn't reach.
    """

    def __init__(self, count, routes=10):
        self.now_ms = 1_000_000
        self.routes = routes
        self.store = Store()
        self.balancers = [Balancer(f"b{n}", n, n) for n in range(count)]
        self.lost = set()

    def run(self, duration_ms):
        """Advance the time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            for balancer in self.living():
                self._tick(balancer)

    def living(self):
        """Return the balancers whose process is running."""
        return [balancer for balancer in self.balancers if balancer.alive]

    def readers(self):
        """Return the balancers that read for the others."""
        return [one for one in self.living() if one.store_sync.reader]

    def change_targets(self):
        """Change the listed targets."""
        self.store.change_targets()

    def change_configuration(self):
        """Publish a new configuration."""
        self.store.change_configuration(self.store.version + 1)

    def _tick(self, balancer):
        store_sync = balancer.store_sync
        store_sync.members = len(self.living())
        if store_sync.call_cancelled:
            store_sync.call_cancelled, balancer.pending = False, None
        if balancer.pending is not None:
            call, due_ms, early = balancer.pending
            if self.now_ms >= due_ms or (early and self._has_changes(call)):
                balancer.pending = None
                self._finish(balancer, call)
        if balancer.pending is None:
            self._begin(balancer)
        beacon = store_sync.beacon(self.now_ms, digest=balancer.targets)
        if beacon is not None:
            for other in self.living():
                if other is not balancer:
                    other.store_sync.on_beacon(
                        beacon, balancer.name, self.now_ms, digest=other.targets
                    )

    def _has_changes(self, call):
        return isinstance(call, Watch) and self.store.revision != call.revision

    def _begin(self, balancer):
        call = balancer.store_sync.next_call(self.now_ms)
        if call is None:
            return
        if isinstance(call, FetchTargets | FetchConfiguration):
            balancer.pending = (call, self.now_ms + PEER_LATENCY_MS, False)
            return
        self.store.calls += 1
        balancer.calls += 1
        balancer.endings = balancer.store_sync.history.endings
        self.store.billed_calls += 0.1 if getattr(call, "may_be_old", False) else 1.0
        wait_ms = call.wait_ms if isinstance(call, Watch) else 0
        answered = balancer.name not in self.store.unreachable_from
        due_ms = self.now_ms + (wait_ms + STORE_LATENCY_MS if answered else TIMEOUT_MS)
        balancer.pending = (call, due_ms, answered)

    def _finish(self, balancer, call):
        store_sync, store = balancer.store_sync, self.store
        if isinstance(call, FetchTargets):
            self._on_targets(balancer, call.host)
        elif isinstance(call, FetchConfiguration):
            self._configure(balancer, self._named(call.host).version)
        elif balancer.name in store.unreachable_from:
            store_sync.on_failure(self.now_ms)
        elif self._is_void(balancer, call):
            return
        elif isinstance(call, ListTargets):
            old = call.may_be_old and store.stale_revision is not None
            revision = store.stale_revision if old else store.revision
            if store_sync.history.is_outdated(revision, may_be_old=call.may_be_old):
                store_sync.on_outdated_listing(self.now_ms)
                return
            known, previous = balancer.targets, store_sync.history.view
            hidden = store.targets_revision > revision
            balancer.targets = None if hidden else store.targets
            store_sync.on_listed(
                revision,
                self.now_ms,
                targets_changed=balancer.targets != known,
                may_be_old=call.may_be_old,
            )
            self._send_delta(balancer, previous, None, known)
        elif isinstance(call, ReadConfiguration):
            self._configure(balancer, store.version)
            found = store.version > 0
            store_sync.on_configuration_read(
                store.revision, self.now_ms, found=found, may_be_old=call.may_be_old
            )
        elif not store.forgotten <= call.revision <= store.revision:
            store_sync.on_history_gone(self.now_ms)
        else:
            self._on_changes(balancer, call)

    def _on_changes(self, balancer, call):
        store_sync, store = balancer.store_sync, self.store
        previous = store_sync.history.view
        changed = store.targets_revision > call.revision
        changed = changed and not store_sync.history.is_outdated(store.revision)
        if store.version_revision > call.revision:
            self._configure(balancer, store.version)
        store_sync.on_changes(
            store.revision, self.now_ms, after=call.revision, targets_changed=changed
        )
        if not changed:
            return
        known, balancer.targets = balancer.targets, store.targets
        self._send_delta(balancer, previous, previous, known)

    def _send_delta(self, balancer, previous, since, known):
        """Send a delta that leads from the targets that the reader knew before."""
        store_sync = balancer.store_sync
        if not store_sync.reader or store_sync.history.view == previous:
            return
        delta = store_sync.delta(since, (), digest=balancer.targets)
        for other in self.living():
            if other is not balancer and other.name not in self.lost:
                self._deliver_delta(other, delta, balancer.targets, known)
        self.lost.clear()

    def _deliver_delta(self, balancer, delta, targets, known):
        after = targets if balancer.targets == known else balancer.targets
        found = balancer.store_sync.on_delta(
            delta, self.now_ms, digest_after=lambda _entries: after
        )
        if found is not None:
            balancer.targets = targets

    def _is_void(self, balancer, call):
        """Note the era of a response as the process does."""
        history = balancer.store_sync.history
        requested_before = balancer.endings != history.endings
        found = balancer.store_sync.on_era(self.store.era, self.now_ms)
        may_begin_era = not isinstance(call, Watch)
        valid = found == CURRENT or (found == BEGAN and may_begin_era)
        return requested_before or not valid

    def _on_targets(self, balancer, host):
        peer = self._named(host)
        position = peer.store_sync.history.view
        if peer.alive and balancer.store_sync.on_targets(position, self.now_ms):
            balancer.targets = peer.targets

    def _configure(self, balancer, version):
        if version > balancer.version:
            balancer.version = version
            balancer.store_sync.on_configuration(version, self.routes)

    def _named(self, name):
        return next(one for one in self.balancers if one.name == name)
