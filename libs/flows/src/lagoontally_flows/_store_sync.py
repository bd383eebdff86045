"""Decides which balancer reads the platform's store, and when.

Each call to the store is billed, and all balancers share one rate limit. So one
balancer per data centre, the reader, watches the store and updates the others by
beacons and deltas. A follower takes over when the beacons stop or show that the
reader has lost the store. Each balancer reads once at its start, to serve at once.
"""

from ._call_timing import (
    FRESH_MS,
    RETRY_INITIAL_MS,
    configuration_fetch_delay_ms,
    fetch_delay_ms,
    retry_pause_ms,
)
from ._parts import PartCollector
from ._reader_election import ReaderElection
from ._store_history import BEGAN, ENDED, START, StoreHistory
from ._store_sync_records import (
    Beacon,
    Delta,
    FetchConfiguration,
    FetchTargets,
    ListTargets,
    ReadConfiguration,
    Watch,
)

WATCH_WAIT_MS = 800  # each answer proves that the store is reachable; see FRESH_MS
WATCH_PAUSE_MS = 150  # batches changes that occur together into one call
MAX_ROUTES_FROM_READER = 3_000  # times members; a reader's link needs a second
FETCH_RETRY_MS = 300
BEACON_INTERVAL_MS = 300


class StoreSync(ReaderElection):
    """Decides the next call to the store or to a peer.

    Attributes:
        history: The ``StoreHistory``.
        configuration_version: Version in force here; 0 before the first.
        announced_version: Newest version announced in a beacon.
        confirmed_ms: When the view was last known to be current.
        routes: Number of routes in the configuration in force here.
        call_cancelled: Whether to cancel the running call to the store, since
            another reader reaches the store, or what it asks about has ended or is
            in doubt. Cleared by the caller of ``next_call``.
    """

    def __init__(self, *, priority, random, slow_link=False):
        super().__init__(priority=priority, random=random, slow_link=slow_link)
        self.history = StoreHistory()
        self.configuration_version = 0
        self.announced_version = 0
        self.confirmed_ms = None
        self.routes = 0
        self.call_cancelled = False
        self._reader_is_next = True
        self._reader_host = None
        self._listed = False
        self._listing_may_be_old = False
        self._configured = False
        self._configuration_doubted = False
        self._settling = False
        self._uninformed = False
        self._next_call_ms = 0
        self._targets_outdated = False
        self._parts = PartCollector()
        self._next_beacon_ms = 0

    def next_call(self, now_ms):
        """Return the call to make now, None if none is due.

        Must be called only while no call is running.
        """
        if now_ms < self._next_call_ms:
            return None
        if not self._listed:
            return self._first_call(now_ms)
        if self._listing_may_be_old:
            self._listing_may_be_old = False  # one try; then rely on beacons
            if not self.history.has_ended:
                return Watch(self.history.position.revision, 1)
        self.take_over_if_due(now_ms)
        if self.reader and self.history.has_ended:
            self._list_again()
            return self._first_call(now_ms)
        announced = self.announced_version > self.configuration_version
        if announced or not self._configured:
            return self._configuration_call(now_ms)
        if self.reader:
            return self._reader_call(now_ms)
        return self._follower_call(now_ms)

    def reread(self, now_ms):
        """Read the store again, as a change may have been missed.

        A follower reads only the configuration, once.

        Returns:
            False if a read is due anyway, or if the store isn't known to answer.
        """
        reachable = now_ms - (self.confirmed_ms or 0) <= FRESH_MS
        if not (reachable and self._listed and self._configured):
            return False
        if self.reader:
            self._list_again()
            self._reader_is_next = False  # it may lack the change, too
            self.call_cancelled = True
        else:
            self._configuration_doubted = True
        return True

    def _follower_call(self, now_ms):
        """Fetch what this follower missed, if anything."""
        if self._configuration_doubted:
            self._configuration_doubted = False
            return ReadConfiguration(may_be_old=False)
        if self._targets_outdated:
            return self._targets_call(now_ms)
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

    def on_listed(self, revision, now_ms, *, targets_changed, may_be_old=False):
        """Handle a complete listing of targets from the store."""
        self._listed = True
        self._listing_may_be_old = may_be_old
        self._targets_outdated = False
        self.history.on_listed(
            revision, targets_changed=targets_changed, settling=self._settling
        )
        self._settling = False
        self._on_answer(now_ms)

    def on_changes(self, revision, now_ms, *, targets_changed):
        """Handle the answer to a watch."""
        self.history.on_changes(revision, targets_changed=targets_changed)
        self._on_answer(now_ms)
        self._next_call_ms = now_ms + WATCH_PAUSE_MS

    def on_configuration(self, version, routes):
        """Record the version and number of routes of the configuration in force."""
        self._configured = True
        self.configuration_version = version
        self.routes = routes

    def on_configuration_read(self, revision, now_ms, *, found):
        """Handle the store's answer to a read of the configuration.

        Args:
            revision: Revision of the store in the answer.
            now_ms: Current time.
            found: Whether it contained a usable configuration.
        """
        self._configured = self._configured or found
        self.history.on_configuration_read(revision)
        self._on_answer(now_ms)
        if not found:
            self._next_call_ms = now_ms + FETCH_RETRY_MS

    def on_history_gone(self, now_ms):
        """Handle a watch whose changes the store no longer has."""
        self._list_again()
        self._on_answer(now_ms)

    def on_failure(self, now_ms):
        """Handle a failed call to the store."""
        self._settling = False
        self.failures += 1
        self._next_call_ms = now_ms + retry_pause_ms(self.failures, self.random)

    def on_targets(self, position, now_ms):
        """Handle targets fetched from a peer.

        Args:
            position: ``Position`` of the peer's targets.
            now_ms: Current time.

        Returns:
            True if they are at least as new as those known here.
        """
        if self._compare_peer_era(position.era, now_ms) == ENDED:
            return False
        self._listed = True
        self._uninformed = False
        self.history.informed_era = self.history.era
        if position < self.history.view:
            return False
        self._targets_outdated = False
        self._reader_is_next = True  # it has just answered
        self.history.on_copy(position)
        return True

    def on_delta(self, delta, now_ms):
        """Handle one part of a reader's changes of targets.

        Args:
            delta: The ``Delta``.
            now_ms: Current time.

        Returns:
            All entries of the changes once every part has arrived; None before, and
            if the changes don't continue this view. Single parts aren't applied:
            those of an older change might undo a newer one.
        """
        era = self._compare_peer_era(delta.position.era, now_ms)
        if era == ENDED or not self.history.follows(delta):
            return None
        # Each reader splits changes in its own way, so parts of two don't combine.
        delta_id = (delta.reader, delta.previous, delta.position, delta.parts)
        entries = self._parts.add(
            delta_id, part=delta.part, parts=delta.parts, items=delta.entries
        )
        if entries is None:
            return None
        self._parts.clear()
        self._targets_outdated = False
        history = self.history
        history.view = delta.position
        # A watch must not start after a configuration that isn't known here.
        if delta.configuration_version <= self.configuration_version:
            known = min(delta.position, delta.known)
            history.position = max(history.position, known._replace(step=0))
        return entries

    def on_beacon(self, beacon, host, now_ms):
        """Handle the beacon of a reader in this data centre."""
        if self._compare_peer_era(beacon.view.era, now_ms) == ENDED:
            self._on_ended_history(beacon, now_ms)
            return
        if beacon.configuration_version >= self.announced_version:
            self._reader_host = host  # older readers lack this configuration
        if beacon.configuration_version > self.announced_version:
            self._on_new_configuration(beacon, now_ms)
        fresh = beacon.reachable and beacon.contact_age_ms <= FRESH_MS
        if not fresh:
            self.record_failing_reader(beacon, now_ms)
            return
        self._on_fresh_beacon(beacon, now_ms)
        self.postpone_takeover(beacon, now_ms)
        if self.yields_to(beacon, now_ms):
            self.reader = False
            if not self.in_contact(now_ms):
                self.call_cancelled = True
                self._next_call_ms = now_ms

    def _on_fresh_beacon(self, beacon, now_ms):
        """Handle the beacon of a reader that is in contact with the store."""
        if self.failures:
            self._reader_is_next = True  # it reaches the store, this balancer doesn't
        self.record_working_reader(now_ms)
        if beacon.configuration_version <= self.configuration_version:
            known = self.history.configuration or START
            if beacon.known > known:
                self.history.configuration = beacon.known
        informed = self.history.informed_era == self.history.era
        self._uninformed = beacon.settling and not informed
        if self.history.position is None or beacon.view > self.history.view:
            self._on_outdated_targets(now_ms)
        else:
            self._targets_outdated = False
            confirmed_ms = now_ms - beacon.contact_age_ms
            self.confirmed_ms = max(self.confirmed_ms or 0, confirmed_ms)

    @property
    def known(self):
        """Position up to which both targets and configuration are known here."""
        return (self._configured and self.history.position) or START

    def beacon(self, now_ms):
        """Return the ``Beacon`` to send now, None if none is due."""
        if not self.reader or now_ms < self._next_beacon_ms:
            return None
        self._next_beacon_ms = now_ms + BEACON_INTERVAL_MS
        age_ms = now_ms - (self.contact_ms or 0)
        return Beacon(
            self.priority,
            self.history.view,
            self.known,
            self.configuration_version,
            self.routes,
            round(age_ms),
            self.failures == 0,
            self.history.is_settling,
        )

    def delta(self, previous, entries):
        """Return the ``Delta`` of changed entries for the members.

        Args:
            previous: ``Position`` of the previous change of targets.
            entries: Pairs of a key and a ``Target`` or None.
        """
        return Delta(
            reader=self.priority,
            previous=previous,
            position=self.history.view,
            known=self.known,
            configuration_version=self.configuration_version,
            part=0,
            parts=1,
            entries=entries,
        )

    def _reader_call(self, now_ms):
        """Settle a restored listing when that is due, else watch."""
        if self.history.is_settling_due(now_ms):
            self._settling = True
            return ListTargets(may_be_old=False)
        # Without contact a watch that ends at once detects the recovery soonest.
        wait_ms = WATCH_WAIT_MS if self.in_contact(now_ms) else 1
        return Watch(self.history.position.revision, wait_ms)

    def _list_again(self):
        """Read targets and configuration from the store once more."""
        self._listed = self._configured = False
        self.history.configuration = None

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
        self._parts.clear()
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

    def _on_new_configuration(self, beacon, now_ms):
        self.announced_version = beacon.configuration_version
        if self.reader or self.announced_version <= self.configuration_version:
            return
        self._reader_is_next = beacon.routes * self.members <= MAX_ROUTES_FROM_READER
        routes = beacon.routes if self._reader_is_next else 0
        delay_ms = configuration_fetch_delay_ms(self.members, routes, self.random)
        self._next_call_ms = max(self._next_call_ms, now_ms + delay_ms)

    def _on_outdated_targets(self, now_ms):
        """Schedule a fetch after a random delay.

        The delta may be lost, or just later than the beacon.
        """
        if not self._targets_outdated:
            self._targets_outdated = True
            self._reader_is_next = True
            due_ms = now_ms + fetch_delay_ms(self.members, self.random)
            self._next_call_ms = max(self._next_call_ms, due_ms)

    def _configuration_call(self, now_ms):
        """Alternate between the reader and the store until one has it."""
        if self._take_reader_turn(now_ms):
            return FetchConfiguration(self._reader_host)
        # All balancers poll until the operator publishes the first configuration.
        # Beacons correct an outdated one, as they do for the first listing.
        nothing_known = self.announced_version == self.configuration_version == 0
        return ReadConfiguration(nothing_known and not self.history.stale_refused)

    def _targets_call(self, now_ms):
        """Alternate between the reader and the store until one has them."""
        if self._take_reader_turn(now_ms):
            return FetchTargets(self._reader_host)
        return ListTargets(may_be_old=False)

    def _first_call(self, now_ms):
        """Try the store first; while it fails, alternate with a known reader."""
        if self.failures and self._take_reader_turn(now_ms):
            return FetchTargets(self._reader_host)
        nothing_known = self.history.position is None
        return ListTargets(nothing_known and not self.history.stale_refused)

    def _take_reader_turn(self, now_ms):
        reader_is_next = self._reader_is_next
        self._reader_is_next = not reader_is_next
        if not reader_is_next or self._reader_host is None:
            return False
        self._next_call_ms = now_ms + FETCH_RETRY_MS
        return True

    def _on_answer(self, now_ms):
        self.record_answer(now_ms)
        self.confirmed_ms = now_ms
