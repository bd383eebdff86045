"""Decides which balancer reads the platform's store, and when.

Each call to the store is billed, and all balancers share one rate limit. So one
balancer per data centre, the reader, watches the store and updates the others by
beacons and deltas. A follower takes over when the beacons stop or show that the
reader has lost the store. Each balancer reads once at its start, to serve at once.
"""

from ._parts import PartCollector
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
FRESH_MS = 1_400  # a watch and an answer of a slow store (250 ms), and some slack
TAKEOVER_JITTER_MS = 250  # limits simultaneous takeovers
TAKEOVER_JITTER_PER_MEMBER_MS = 8  # the same in large fleets
RETRY_JITTER_PER_MEMBER_MS = 120  # of takeovers while a reader's calls fail
RETRY_INITIAL_MS = 150
RETRY_MAX_MS = 1_200  # a reader without the store retries about once a second
SLOW_LINK_TAKEOVER_DELAY_MS = 300  # instances with a fast link take over first
SLOW_LINK_MBPS = 50  # a reader sends each change to every member
FETCH_JITTER_MS = 250  # spreads followers' calls after a change
FETCH_JITTER_PER_MEMBER_MS = 8
# A route takes some 70 bytes, and a reader may spend 2 Mbit/s of its link.
FETCH_JITTER_PER_ROUTE_MEMBER_MS = 0.3
MAX_ROUTES_FROM_READER = 3_000  # times members; takes a second, see above
FETCH_RETRY_MS = 300
BEACON_INTERVAL_MS = 300


class StoreSync:
    """Decides the next call to the store or to a peer.

    Args:
        priority: This balancer's priority as a reader; lower values win.
        random: Random number generator.
        slow_link: Whether balancers with a faster link should take over first.

    Attributes:
        reader: Whether this balancer reads for its data centre.
        revision: Revision of the store to watch from, None before the first.
        view_revision: Revision of the last known change of targets.
        configuration_version: Version in force here; 0 before the first.
        announced_version: Newest version announced in a beacon.
        contact_ms: When the store last answered this balancer.
        confirmed_ms: When the view was last known to be current.
        failures: Consecutive calls to the store without a usable answer.
        recovered_ms: When the store was last found to have recovered, or None.
        members: Number of balancers in this data centre, including this one.
        routes: Number of routes in the configuration in force here.
        call_cancelled: Whether to cancel the running call to the store, since
            another reader reaches the store. Cleared by the caller of
            ``next_call``.
    """

    def __init__(self, *, priority, random, slow_link=False):
        self.priority = priority
        self.slow_link = slow_link
        self.random = random
        self.reader = False
        self.revision = None
        self.view_revision = 0
        self.configuration_version = 0
        self.announced_version = 0
        self.contact_ms = None
        self.confirmed_ms = None
        self.failures = 0
        self.recovered_ms = None
        self._reader_failing = False
        self.members = 1
        self.routes = 0
        self.call_cancelled = False
        self._reader_is_next = True
        self._reader_host = None
        self._listed = False
        self._listing_may_be_old = False
        self._configured = False
        self._configuration_revision = None
        self._next_call_ms = 0
        self._takeover_ms = 0
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
            return Watch(self.revision, 1)
        if not self.reader and now_ms >= self._takeover_ms:
            self.reader = True
        announced = self.announced_version > self.configuration_version
        if announced or not self._configured:
            return self._configuration_call(now_ms)
        if self.reader:
            # Without contact a watch that ends at once detects the recovery soonest.
            wait_ms = WATCH_WAIT_MS if self._in_contact(now_ms) else 1
            return Watch(self.revision, wait_ms)
        if self._targets_outdated:
            return self._targets_call(now_ms)
        return None

    def on_listed(self, revision, now_ms, *, targets_changed, may_be_old=False):
        """Handle a complete listing of targets from the store."""
        self._listed = True
        self._listing_may_be_old = may_be_old
        self._targets_outdated = False
        self.revision = revision
        if targets_changed:
            self.view_revision = max(self.view_revision, revision)
        self._limit_watch()
        self._on_answer(now_ms)

    def on_changes(self, revision, now_ms, *, targets_changed):
        """Handle the answer to a watch."""
        self.revision = max(self.revision, revision)
        if targets_changed:
            self.view_revision = self.revision
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
        self._configuration_revision = revision
        self._limit_watch()
        self._on_answer(now_ms)
        if not found:
            self._next_call_ms = now_ms + FETCH_RETRY_MS

    def on_history_gone(self, now_ms):
        """Handle a watch whose changes the store no longer has."""
        self._listed = self._configured = False
        self._configuration_revision = None
        self._on_answer(now_ms)

    def on_failure(self, now_ms):
        """Handle a failed call to the store."""
        self.failures += 1
        pause_ms = min(RETRY_INITIAL_MS << min(self.failures - 1, 5), RETRY_MAX_MS)
        self._next_call_ms = now_ms + pause_ms * (0.75 + self.random.random() / 2)

    def on_targets(self, revision):
        """Handle targets fetched from a peer.

        Returns:
            True if they are at least as new as those known here.
        """
        self._listed = True
        if revision < self.view_revision:
            return False
        self._targets_outdated = False
        self._reader_is_next = True  # it has just answered
        self.view_revision = revision
        if self.revision is None:
            self.revision = revision
        return True

    def on_delta(self, delta):
        """Handle one part of a reader's changes of targets.

        Args:
            delta: The ``Delta``.

        Returns:
            All entries of the changes once every part has arrived; None before, and
            if the changes don't continue this view. Single parts aren't applied:
            those of an older change might undo a newer one.
        """
        known = self.view_revision
        if self.revision is None or not delta.previous <= known < delta.revision:
            return None
        # Each reader splits changes in its own way, so parts of two don't combine.
        delta_id = (delta.reader, delta.previous, delta.revision, delta.parts)
        entries = self._parts.add(
            delta_id, part=delta.part, parts=delta.parts, items=delta.entries
        )
        if entries is None:
            return None
        self._parts.clear()
        self.view_revision = delta.revision
        # A watch must not start after a configuration that isn't known here.
        if delta.configuration_version <= self.configuration_version:
            known_revision = min(delta.revision, delta.known_revision)
            self.revision = max(self.revision, known_revision)
        return entries

    def on_beacon(self, beacon, host, now_ms):
        """Handle the beacon of a reader in this data centre."""
        if beacon.configuration_version >= self.announced_version:
            self._reader_host = host  # older readers lack this configuration
        if beacon.configuration_version > self.announced_version:
            self._on_new_configuration(beacon, now_ms)
        fresh = beacon.reachable and beacon.contact_age_ms <= FRESH_MS
        if not fresh:
            self._reader_failing = True
            self._on_failing_reader(beacon, now_ms)
            return
        if self.failures:
            self._reader_is_next = True  # it reaches the store, this balancer doesn't
        if self._reader_failing:
            self._reader_failing = False
            self.recovered_ms = now_ms
        if beacon.configuration_version <= self.configuration_version:
            known = self._configuration_revision or 0
            self._configuration_revision = max(known, beacon.known_revision)
        if self.revision is None or beacon.revision > self.view_revision:
            self._on_outdated_targets(now_ms)
        else:
            self._targets_outdated = False
            confirmed_ms = now_ms - beacon.contact_age_ms
            self.confirmed_ms = max(self.confirmed_ms or 0, confirmed_ms)
        self._takeover_ms = (
            now_ms + FRESH_MS - beacon.contact_age_ms + self._takeover_jitter_ms()
        )
        in_contact = self._in_contact(now_ms)
        if self.reader and (beacon.priority < self.priority or not in_contact):
            self.reader = False
            if not in_contact:
                self.call_cancelled = True
                self._next_call_ms = now_ms

    @property
    def known_revision(self):
        """Revision up to which both targets and configuration are known here."""
        return self.revision if self._configured and self.revision else 0

    def beacon(self, now_ms):
        """Return the ``Beacon`` to send now, None if none is due."""
        if not self.reader or now_ms < self._next_beacon_ms:
            return None
        self._next_beacon_ms = now_ms + BEACON_INTERVAL_MS
        age_ms = now_ms - (self.contact_ms or 0)
        return Beacon(
            self.priority,
            self.view_revision,
            self.known_revision,
            self.configuration_version,
            self.routes,
            round(age_ms),
            self.failures == 0,
        )

    def delta(self, previous, entries):
        """Return the ``Delta`` of changed entries for the members.

        Args:
            previous: Revision of the previous change of targets.
            entries: Pairs of a key and a ``Target`` or None.
        """
        return Delta(
            reader=self.priority,
            previous=previous,
            revision=self.view_revision,
            known_revision=self.known_revision,
            configuration_version=self.configuration_version,
            part=0,
            parts=1,
            entries=entries,
        )

    def _on_new_configuration(self, beacon, now_ms):
        self.announced_version = beacon.configuration_version
        if self.reader or self.announced_version <= self.configuration_version:
            return
        load = beacon.routes * self.members
        self._reader_is_next = load <= MAX_ROUTES_FROM_READER
        jitter_ms = FETCH_JITTER_MS + FETCH_JITTER_PER_MEMBER_MS * self.members
        if self._reader_is_next:
            jitter_ms = max(jitter_ms, FETCH_JITTER_PER_ROUTE_MEMBER_MS * load)
        self._delay_call(jitter_ms, now_ms)

    def _on_outdated_targets(self, now_ms):
        """Schedule a fetch after a random delay.

        The delta may be lost, or just later than the beacon.
        """
        if not self._targets_outdated:
            self._targets_outdated = True
            self._reader_is_next = True
            self._delay_call(
                FETCH_JITTER_MS + FETCH_JITTER_PER_MEMBER_MS * self.members, now_ms
            )

    def _delay_call(self, jitter_ms, now_ms):
        due_ms = now_ms + jitter_ms * self.random.random()
        self._next_call_ms = max(self._next_call_ms, due_ms)

    def _configuration_call(self, now_ms):
        """Alternate between the reader and the store until one has it."""
        if self._take_reader_turn(now_ms):
            return FetchConfiguration(self._reader_host)
        # All balancers poll until the operator publishes the first configuration.
        # Beacons correct an outdated one, as they do for the first listing.
        nothing_known = self.announced_version == self.configuration_version == 0
        return ReadConfiguration(may_be_old=nothing_known)

    def _targets_call(self, now_ms):
        """Alternate between the reader and the store until one has them."""
        if self._take_reader_turn(now_ms):
            return FetchTargets(self._reader_host)
        return ListTargets(may_be_old=False)

    def _first_call(self, now_ms):
        """Try the store first; while it fails, alternate with a known reader."""
        if self.failures and self._take_reader_turn(now_ms):
            return FetchTargets(self._reader_host)
        return ListTargets(may_be_old=self.revision is None)

    def _limit_watch(self):
        """Start watches where both targets and configuration are known."""
        known = self._configuration_revision
        if known is not None and self.revision is not None:
            self.revision = min(self.revision, known)

    def _take_reader_turn(self, now_ms):
        reader_is_next, self._reader_is_next = (
            self._reader_is_next,
            not self._reader_is_next,
        )
        if not reader_is_next or self._reader_host is None:
            return False
        self._next_call_ms = now_ms + FETCH_RETRY_MS
        return True

    def _on_answer(self, now_ms):
        if self.failures:
            self.recovered_ms = now_ms
        self.failures = 0
        self.contact_ms = now_ms
        self.confirmed_ms = now_ms
        if not self.reader:
            due_ms = now_ms + FRESH_MS + self._takeover_jitter_ms()
            self._takeover_ms = max(self._takeover_ms, due_ms)

    def _on_failing_reader(self, beacon, now_ms):
        """Limit the balancers that call the store while it answers no known reader."""
        if self.reader:
            if not self.failures or beacon.priority >= self.priority:
                return
            self.reader = False
        elif now_ms < self._takeover_ms:
            return
        jitter_ms = RETRY_JITTER_PER_MEMBER_MS * self.members * self.random.random()
        self._takeover_ms = now_ms + jitter_ms

    def _in_contact(self, now_ms):
        return (
            self.failures == 0
            and self.contact_ms is not None
            and now_ms - self.contact_ms <= FRESH_MS
        )

    def _takeover_jitter_ms(self):
        jitter_ms = TAKEOVER_JITTER_MS + TAKEOVER_JITTER_PER_MEMBER_MS * self.members
        wait_ms = SLOW_LINK_TAKEOVER_DELAY_MS if self.slow_link else 0
        return wait_ms + jitter_ms * self.random.random()
