"""Decides which balancer reads the platform's store, and when.

Each call to the store is billed, and all balancers share one rate limit. So one
balancer per data centre, the reader, watches the store and updates the others by
beacons and deltas. A follower takes over when the beacons stop or show that the
reader has lost the store.

Each balancer reads once at its start, to serve at once. These reads may be old, so it
then compares its targets with those of a reader, or becomes one and reads again.
"""

from ._call_timing import (
    FRESH_MS,
    RETRY_INITIAL_MS,
    retry_pause_ms,
)
from ._delta_queue import DeltaQueue
from ._history import BEGAN, ENDED
from ._reads import FETCH_RETRY_MS, StoreReads
from ._sync_records import (
    FetchTargets,
    ListTargets,
    ReadConfiguration,
    Watch,
)
from ._target_comparison import TargetComparison

WATCH_WAIT_MS = 800  # each answer proves that the store is reachable; see FRESH_MS
WATCH_PAUSE_MS = 150  # batches changes that occur together into one call


class StoreSync(StoreReads):
    """Decides the next call to the store or to a peer.

    Attributes:
        has_targets: Whether any targets were read, from the store or a peer.
    """

    def __init__(self, *, priority, random, slow_link=False):
        super().__init__(priority=priority, random=random, slow_link=slow_link)
        self.has_targets = False
        self._catch_up_revision = None
        self._settling = False
        self._uninformed = False
        self._deltas = DeltaQueue(self.history)
        self._comparison = TargetComparison(self.history)

    def next_call(self, now_ms):
        """Return the call to make now, None if none is due.

        Must be called only while no call is running.
        """
        if now_ms < self._next_call_ms:
            return None
        if not self._listed:
            return self._first_call(now_ms)
        if self._catch_up_revision is not None:
            revision, self._catch_up_revision = self._catch_up_revision, None
            return Watch(revision, 1)
        self.take_over_if_due(now_ms)
        if self.reader and self.history.has_ended:
            self._list_again()
            return self._first_call(now_ms)
        if self._is_configuration_next(now_ms):
            return self._configuration_call(now_ms)
        if self.reader:
            return self._reader_call(now_ms)
        return self._follower_call(now_ms)

    def _follower_call(self, now_ms):
        if self._targets_fetch.is_due(now_ms):
            self._targets_fetch.on_call(now_ms)
            reader_turn = self._take_reader_turn(now_ms)
            return (
                FetchTargets(self._host_to_ask()) if reader_turn else ListTargets(False)
            )
        if self._uninformed and self._reader_host is not None:
            self._next_call_ms = now_ms + FETCH_RETRY_MS
            return FetchTargets(self._reader_host)
        return None

    def on_era(self, era, now_ms):
        """Handle the era that a response of the store names, before its content.

        Args:
            era: The era, None if the response names none.
            now_ms: Current time.

        Returns:
            ``CURRENT``; ``BEGAN`` if the response is the first of a new era, and all
            that was requested from the former history is void; ``ENDED`` if the
            response is of a former era and must be ignored.
        """
        found = self.history.compare_era(era, now_ms)
        if found == BEGAN:
            self._on_new_era(now_ms)
        elif found == ENDED:
            self._settling = False
            self._next_call_ms = now_ms + RETRY_INITIAL_MS
        return found

    def listing_rules(self):
        """Return the ``ListingRules`` of the listing that has just arrived."""
        return self.history.rules(settling=self._settling)

    def on_outdated_listing(self, now_ms):
        """Handle a listing older than the targets here, not applied."""
        self._listed = True
        self._settling = False
        self.record_answer(now_ms)

    def on_listed(self, revision, now_ms, *, may_be_old=False, started_ms=None):
        """Handle a complete listing of targets from the store.

        Args:
            revision: Revision of the store in the response.
            now_ms: Current time.
            may_be_old: Whether the call was for a result that may be old: no position.
            started_ms: When its first page was asked for, None for now. Later changes
                of that page are unknown.
        """
        self._listed = self.has_targets = True
        self._targets_fetch.cancel()
        if may_be_old:
            self._catch_up_revision = revision
            self.record_answer(now_ms)
            return
        self.history.on_listed(revision, settling=self._settling)
        self._settling = False
        self.record_answer(now_ms)
        self.confirmed_ms = now_ms if started_ms is None else started_ms

    def on_changes(self, revision, now_ms, *, after, targets_changed, evacuations=()):
        """Handle the answer to a watch.

        Args:
            revision: Revision up to which it contains the changes.
            now_ms: Current time.
            after: Revision from which the watch was made.
            targets_changed: Whether it contains changes of targets.
            evacuations: ``EvacuationChange`` records that it contains.
        """
        self.evacuations.on_changes(evacuations, now_ms)
        self.history.on_changes(revision, after=after, targets_changed=targets_changed)
        self.record_answer(now_ms)
        if self.history.knows_targets:
            self.confirmed_ms = now_ms
        if self.history.knows_configuration_at(revision):
            self.configuration_confirmed_ms = now_ms
        self._next_call_ms = now_ms + WATCH_PAUSE_MS

    def on_configuration(self, version, routes):
        """Record the version and number of routes of the configuration in force."""
        self._configured = True
        self.configuration_version = version
        self.routes = routes
        if version >= self.announced_version:
            self._on_caught_up()

    def on_configuration_fetched(self):
        """Handle a peer's configuration, which gives no position."""
        self._configured = True

    def on_configuration_read(
        self, revision, now_ms, *, found, may_be_old=False, evacuations=()
    ):
        """Handle the store's answer to a read of the configuration.

        Args:
            revision: Revision of the store in the answer.
            now_ms: Current time.
            found: Whether it contained a usable configuration.
            may_be_old: Whether the call was for a result that may be old.
            evacuations: ``EvacuationChange`` records that it contained.
        """
        self.evacuations.on_read(evacuations, revision, now_ms, may_be_old=may_be_old)
        self._configured = self._configured or found
        if not may_be_old:
            self.history.on_configuration_read(revision)
            self.configuration_confirmed_ms = now_ms
            # A store that came back from a copy may lack the version announced.
            self.announced_version = self.configuration_version
            self._on_caught_up()
        self.record_answer(now_ms)
        if not found:
            self._next_call_ms = now_ms + FETCH_RETRY_MS

    def on_history_gone(self, now_ms):
        """Handle a watch whose changes the store no longer has."""
        self._list_again()
        self.record_answer(now_ms)

    def on_unusable_changes(self):
        """Handle a watch that fails as its changes are too many, or can't be read.

        The pages of a listing are limited.
        """
        self._list_again()

    def on_failure(self, now_ms):
        """Handle a failed call to the store."""
        self._settling = False
        self.failures += 1
        self._next_call_ms = now_ms + retry_pause_ms(self.failures, self.random)

    def on_targets(self, position, now_ms):
        """Handle targets fetched from a peer.

        Args:
            position: ``Position`` of the peer's targets, revision 0 if unknown.
            now_ms: Current time.

        Returns:
            True if they are at least as new as those known here.
        """
        if self._compare_peer_era(position.era, now_ms) == ENDED:
            return False
        if not position.revision and self.has_targets:
            return False
        self._listed = self.has_targets = True
        if not position.revision:
            self._reader_is_next = True  # it has just answered
            return True  # better than none, but they may be old
        self._uninformed = False
        self.history.informed_era = self.history.era
        if position < self.history.view:
            return False
        self._targets_fetch.cancel()
        self._reader_is_next = True  # it has just answered
        self._comparison.on_read(now_ms)
        self.history.on_copy(position)
        return True

    def on_delta(self, delta, now_ms, *, digest_after):
        """Handle one part of a reader's changes of targets.

        Args:
            delta: The ``Delta``.
            now_ms: Current time.
            digest_after: Function that returns the digest of the targets here after
                the entries given to it.

        Returns:
            All entries once every part has arrived; None before, and if they lead
            neither from this view nor to the reader's targets. Single parts aren't
            applied: those of an older change might undo a newer one.
        """
        era = self._compare_peer_era(delta.position.era, now_ms)
        if era == ENDED or not self._listed or delta.position <= self.history.view:
            return None
        entries = self._deltas.add(delta)
        if entries is None:
            return None
        if not self.history.follows(delta) and digest_after(entries) != delta.digest:
            self._deltas.keep_early(delta, entries)
            return None
        self._take_over(delta, now_ms)
        for continuation, more in self._deltas.early():
            self._take_over(continuation, now_ms)
            entries = entries + more
        return entries

    def _take_over(self, delta, now_ms):
        """Record the position of a change that is applied."""
        self._deltas.on_applied(delta)
        self._targets_fetch.cancel()
        self.history.on_copy(delta.position)
        if delta.settling:
            self.history.on_settling_reader(now_ms)
        if delta.configuration_version <= self.configuration_version:
            self.history.on_configuration_known(delta.known)

    def on_beacon(self, beacon, host, now_ms, *, digest):
        """Handle the beacon of a reader in this data centre.

        Args:
            beacon: The ``Beacon``.
            host: Its sender.
            now_ms: Current time.
            digest: Digest of the targets here.
        """
        if self._compare_peer_era(beacon.view.era, now_ms) == ENDED:
            self._on_ended_history(beacon, now_ms)
            return
        evacuations = self.evacuations
        evacuations.on_reader(beacon.evacuations, beacon.evacuated, now_ms)
        if beacon.configuration_version >= self.announced_version:
            self._reader_host = host  # older readers lack this configuration
        if beacon.configuration_version > self.announced_version:
            self._on_new_configuration(beacon, now_ms)
        fresh = beacon.reachable and beacon.contact_age_ms <= FRESH_MS
        if not fresh:
            self.record_failing_reader(beacon, now_ms)
            return
        self._on_fresh_beacon(beacon, now_ms, digest)
        self.postpone_takeover(beacon, now_ms)
        if self.yields_to(beacon, now_ms):
            self.reader = False
            if not self.in_contact(now_ms):
                self.call_cancelled = True
                self._next_call_ms = now_ms

    def _on_fresh_beacon(self, beacon, now_ms, digest):
        """Handle the beacon of a reader that is in contact with the store."""
        if self.failures:
            self._reader_is_next = True  # it reaches the store, this balancer doesn't
        self.record_working_reader(beacon, now_ms)
        self.evacuations.on_contact(now_ms)
        if beacon.configuration_version <= self.configuration_version:
            self._on_newest_configuration(beacon, now_ms)
        informed = self.history.informed_era == self.history.era
        self._uninformed = beacon.settling and not informed
        if beacon.settling:
            self.history.on_settling_reader(now_ms)
        if not beacon.view.revision:
            return  # its targets may be old as well
        digest = digest if self._listed else None
        if self._comparison.has_targets_of(beacon, digest, now_ms):
            self._targets_fetch.cancel()
            confirmed_ms = now_ms - beacon.contact_age_ms
            self.confirmed_ms = max(self.confirmed_ms or 0, confirmed_ms)
        else:
            self._on_outdated_targets(now_ms)

    def _on_newest_configuration(self, beacon, now_ms):
        """Handle the beacon of a reader that knows no newer configuration."""
        self.history.on_configuration_known(beacon.known)
        if beacon.known.revision:
            confirmed_ms = now_ms - beacon.contact_age_ms
            self.configuration_confirmed_ms = max(
                self.configuration_confirmed_ms or 0, confirmed_ms
            )

    def _reader_call(self, now_ms):
        """Read what has no position, settle a restored listing, else watch."""
        history = self.history
        if not (history.knows_configuration and history.knows_evacuations):
            return ReadConfiguration(may_be_old=False)
        if not self.history.knows_targets:
            return ListTargets(may_be_old=False)
        if self.history.is_settling_due(now_ms):
            self._settling = True
            return ListTargets(may_be_old=False)
        # Without contact a watch that ends at once detects the recovery soonest.
        wait_ms = WATCH_WAIT_MS if self.in_contact(now_ms) else 1
        return Watch(self.history.position.revision, wait_ms)

    def _compare_peer_era(self, era, now_ms):
        """Compare the era of a peer's message with the one known."""
        found = self.history.compare_era(era, now_ms)
        if found == BEGAN:
            self.call_cancelled = True
            self._on_new_era(now_ms)
        return found

    def _on_new_era(self, now_ms):
        """End what belongs to the former history.

        Followers wait for the reader, which lists the store again.
        """
        self._deltas.clear()
        self._settling = False
        if self.reader:
            self._list_again()
            self._next_call_ms = now_ms
        else:
            self._on_outdated_targets(now_ms)

    def _on_ended_history(self, beacon, now_ms):
        """Handle the beacon of a reader that doesn't know the present era yet."""
        if not self.reader and beacon.reachable and beacon.contact_age_ms <= FRESH_MS:
            self.postpone_takeover(beacon, now_ms)
