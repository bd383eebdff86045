"""Which reads of the store are due, and whether a peer is asked instead."""

from ._call_timing import FRESH_MS, configuration_fetch_delay_ms, fetch_delay_ms
from ._reader_messages import ReaderMessages
from ._scheduled_fetch import ScheduledFetch
from ._sync_records import (
    FetchConfiguration,
    FetchTargets,
    ListTargets,
    ReadConfiguration,
)

FETCH_RETRY_MS = 300
MAX_ROUTES_FROM_READER = 3_000  # times members; a reader's link needs a second


class StoreReads(ReaderMessages):
    """Reads of all targets and of the configuration.

    Attributes:
        announced_version: Newest version announced in a beacon.
        behind_since_ms: When a beacon first announced a version newer than the one in
            force since, None while none is.
        confirmed_ms: When the view was last known to be current.
        call_cancelled: Whether to cancel the running call to the store, since
            another reader reaches the store, or what it asks about has ended or is
            in doubt. Cleared by the caller of ``next_call``.
    """

    def __init__(self, *, priority, random, slow_link=False):
        super().__init__(priority=priority, random=random, slow_link=slow_link)
        self.announced_version = 0
        self.behind_since_ms = None
        self.confirmed_ms = None
        self.call_cancelled = False
        self._reader_is_next = True
        self._reader_host = None
        self._informed_host = None
        self._listed = False
        self._first_listing = True
        self._next_call_ms = 0
        self._configuration_fetch = ScheduledFetch(FETCH_RETRY_MS)
        self._targets_fetch = ScheduledFetch(FETCH_RETRY_MS)

    def reaches_store(self, now_ms):
        """Return whether this balancer or its reader has lately reached the store."""
        fresh_ms = FRESH_MS if self.reader else 2 * FRESH_MS  # beacons report it later
        return self.confirmed_ms is not None and now_ms - self.confirmed_ms <= fresh_ms

    def on_informed(self, host):
        """Record a balancer that has a configuration in force, of any data centre."""
        self._informed_host = host

    def reread(self):
        """Read the store again, as a change may have been missed.

        A follower reads only the configuration.

        Returns:
            False if a read is due anyway.
        """
        announced = self.announced_version > self.configuration_version
        if announced or not (self._listed and self._configured):
            return False
        if self.reader and self.history.position is None:
            return False
        if self.reader:
            self._list_again()
            self.call_cancelled = True
        self._configured = self._reader_is_next = False
        return True

    def _list_again(self):
        """Read targets and configuration from the store once more."""
        self._listed = self._configured = self._first_listing = False
        self.history.configuration = None

    def _is_configuration_next(self, now_ms):
        """Return whether to read or fetch the configuration now.

        Of two fetches that are due, the one that has waited longer is made first.
        """
        announced = self.announced_version > self.configuration_version
        if self.reader or not announced:
            return announced or not self._configured
        fetch, other = self._configuration_fetch, self._targets_fetch
        return fetch.is_due(now_ms) and (
            fetch.precedes(other) or not other.is_due(now_ms)
        )

    def _on_new_configuration(self, beacon, now_ms):
        """Handle a beacon with a version newer than all those announced before."""
        self.announced_version = beacon.configuration_version
        if self.announced_version <= self.configuration_version:
            return
        if self.behind_since_ms is None:
            self.behind_since_ms = now_ms
        from_reader = beacon.routes * self.members <= MAX_ROUTES_FROM_READER
        if self.reader:
            self._configuration_fetch.schedule(now_ms)
        elif self._configuration_fetch.due_ms is None:
            self._reader_is_next = from_reader
            routes = beacon.routes if from_reader else 0
            delay_ms = configuration_fetch_delay_ms(self.members, routes, self.random)
            self._configuration_fetch.schedule(now_ms + delay_ms)
        elif not from_reader:
            # The configuration has become too large for the reader's link since.
            self._reader_is_next = False

    def _on_caught_up(self):
        """Record that no version newer than the one in force is announced."""
        self.behind_since_ms = None
        self._configuration_fetch.cancel()

    def _on_outdated_targets(self, now_ms):
        """Schedule a fetch after a random delay.

        The delta may be lost, or just later than the beacon.
        """
        if self._targets_fetch.due_ms is None:
            self._reader_is_next = True
            delay_ms = fetch_delay_ms(self.members, self.random)
            self._targets_fetch.schedule(now_ms + delay_ms)

    def _configuration_call(self, now_ms):
        """Alternate between the reader and the store until one has it."""
        if self._configuration_fetch.due_ms is not None:
            self._configuration_fetch.on_call(now_ms)
        # A reader needs a position, which only the store's answer gives.
        needs_position = not self.history.knows_configuration
        has_version = self.reader and self.configuration_version > 0
        if has_version and needs_position and not self.failures:
            return ReadConfiguration(may_be_old=False)
        if self._take_reader_turn(now_ms):
            return FetchConfiguration(self._host_to_ask())
        # All balancers poll until the operator publishes the first configuration.
        # Beacons correct an outdated one, as they do for the first listing.
        nothing_known = self.announced_version == self.configuration_version == 0
        return ReadConfiguration(nothing_known and self._may_read_copy())

    def _first_call(self, now_ms):
        """Try the store first; while it fails, alternate with a balancer that knows."""
        if self.failures and self._take_reader_turn(now_ms):
            return FetchTargets(self._host_to_ask())
        nothing_known = self._first_listing and self.history.targets is None
        return ListTargets(nothing_known and self._may_read_copy())

    def _may_read_copy(self):
        """Return whether first reads may be of an old copy, which costs a tenth.

        After an outage the copy may be from before it, and holds until a reader reads.
        """
        has_failed = self.failures > 0 or self.recovered_ms is not None
        return not has_failed and not self.history.stale_refused

    def _take_reader_turn(self, now_ms):
        self._reader_is_next = not self._reader_is_next
        if self._reader_is_next or self._host_to_ask() is None:
            return False
        self._next_call_ms = now_ms + FETCH_RETRY_MS
        return True

    def _host_to_ask(self):
        """Return the reader's host, without a reader and store that of another.

        All balancers of a data centre may have restarted while the store is away.
        """
        if self._reader_host is None and self.failures:
            return self._informed_host
        return self._reader_host
