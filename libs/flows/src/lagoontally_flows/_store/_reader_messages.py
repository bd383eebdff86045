"""What a reader tells the other balancers of its data centre."""

from ._evacuations import Evacuations
from ._history import START, StoreHistory
from ._reader_election import ReaderElection
from ._sync_records import Beacon, Delta

BEACON_INTERVAL_MS = 300


class ReaderMessages(ReaderElection):
    """What this balancer knows, as messages to the members while it is the reader.

    Attributes:
        history: The ``StoreHistory``.
        evacuations: The ``Evacuations``.
        configuration_version: Version in force here; 0 before the first.
        routes: Number of routes in the configuration in force here.
        configuration_confirmed_ms: When the configuration in force was last known to be
            the newest, or None.
    """

    def __init__(self, *, priority, random, slow_link=False):
        super().__init__(priority=priority, random=random, slow_link=slow_link)
        self.history = StoreHistory()
        self.evacuations = Evacuations(self.history)
        self.configuration_version = 0
        self.routes = 0
        self.configuration_confirmed_ms = None
        self._configured = False
        self._next_beacon_ms = 0
        self._announced_generation = 0

    def record_answer(self, now_ms):
        """Record an answer of the store; a regained contact is announced at once."""
        if self.reader and not self.in_contact(now_ms):
            self._next_beacon_ms = now_ms
        super().record_answer(now_ms)

    @property
    def known(self):
        """Position up to which all contents of the store are known here."""
        return (self._configured and self.history.position) or START

    def beacon(self, now_ms, *, digest):
        """Return the ``Beacon`` to send now, None if none is due.

        Args:
            now_ms: Current time.
            digest: Digest of the targets here.
        """
        changed = self.evacuations.generation != self._announced_generation
        if not self.reader or (now_ms < self._next_beacon_ms and not changed):
            return None
        self._announced_generation = self.evacuations.generation
        self._next_beacon_ms = now_ms + BEACON_INTERVAL_MS
        age_ms = now_ms - (self.contact_ms or 0)
        return Beacon(
            self.priority,
            self.history.announced_view,
            self.known,
            self.configuration_version,
            self.routes,
            round(age_ms),
            self.failures == 0,
            self.history.is_settling,
            digest,
            self.history.evacuations or START,
            len(self.evacuations.since_ms),
        )

    def delta(self, previous, entries, *, digest):
        """Return the ``Delta`` of changed entries for the members.

        Args:
            previous: ``Position`` after which these are all changes, None if they
                were found by a listing.
            entries: Pairs of a key and a ``Target`` or None.
            digest: Digest of the targets here.
        """
        position = self.history.view
        return Delta(
            reader=self.priority,
            previous=position if previous is None else previous,
            position=position,
            known=self.known,
            configuration_version=self.configuration_version,
            part=0,
            parts=1,
            entries=entries,
            digest=digest,
            settling=self.history.is_settling,
        )
