"""Positions in the store's history, and how far a balancer has followed it.

A store that comes back from an older copy begins a new era: changes that it had
confirmed are lost, and its revisions are given out again. So a revision means
something only within its era.
"""

from lagoontally_lean import Record

CURRENT = "current"
BEGAN = "began"
ENDED = "ended"

# Targets write their entries again within 2 s of the store's return; those that the
# copy lists and that have ended expire after three heartbeats, or a little later.
SETTLE_AFTER_MS = (2_500, 8_000)


class Position(Record, fields="era revision step"):
    """A position in the store's history; later positions compare greater.

    Attributes:
        era: Number of times that the store came back from a copy.
        revision: The store's revision within the era.
        step: Number of listings since the era began that a reader has taken over with
            fewer reservations, see ``ListingRules``; 0 for changes.
    """

    __slots__ = ()


START = Position(0, 0, 0)


class ListingRules(Record, fields="keep_missing refuse_delisted"):
    """What a listing from a restored copy may not change.

    Attributes:
        keep_missing: Whether targets that the listing lacks stay listed: they may
            have started after the copy was made.
        refuse_delisted: Whether targets that are known to be delisted stay so: the
            copy may be older than their end.
    """

    __slots__ = ()


ALL_CHANGES = ListingRules(False, False)
_RULES_BY_STEP = (ListingRules(True, True), ListingRules(False, True), ALL_CHANGES)


class StoreHistory:
    """How far a balancer has followed the store's history.

    Attributes:
        era: The newest era known, 0 before the first.
        position: Position to watch from, None before the first listing.
        view: Position of the last known change of targets.
        configuration: Position up to which the configuration is known, or None.
        began_ms: When the present era was found to have ended another one, or None.
        step: Number of listings taken over after ``SETTLE_AFTER_MS`` in this era.
        endings: Number of histories that ended while this balancer followed them;
            what was requested before is void.
        stale_refused: Whether a response of an ended history has arrived. Reads that
            may be old aren't made any more.
        informed_era: Era in which the view takes account of the history before.
    """

    def __init__(self):
        self.era = 0
        self.position = None
        self.view = START
        self.configuration = None
        self.began_ms = None
        self.step = 0
        self.endings = 0
        self.stale_refused = False
        self.informed_era = 0

    @property
    def has_ended(self):
        """Whether the position is in a history that has ended."""
        return self.position is not None and self.position.era < self.era

    @property
    def is_settling(self):
        """Whether the copy that began this era may still list ended targets."""
        return self.began_ms is not None and self.step < len(SETTLE_AFTER_MS)

    def compare_era(self, era, now_ms):
        """Compare an era with the one known, and take over a newer one.

        Args:
            era: Era of a response or a message, None if it names none.
            now_ms: Current time.

        Returns:
            ``CURRENT``, ``ENDED`` for an older era, or ``BEGAN`` if the era has ended
            the history that was followed here.
        """
        if era is None or era == self.era:
            return CURRENT
        if era < self.era:
            self.stale_refused = True
            return ENDED
        self.era = era
        if self.position is None:
            return CURRENT
        self.configuration = None
        self.began_ms = now_ms
        self.step = 0
        self.endings += 1
        self.informed_era = era
        return BEGAN

    def is_settling_due(self, now_ms):
        """Return whether a listing is due that settles what was kept."""
        return self.is_settling and now_ms - self.began_ms >= SETTLE_AFTER_MS[self.step]

    def rules(self, *, settling):
        """Return the ``ListingRules`` of a listing from the store.

        Args:
            settling: Whether the listing was made because it was due.
        """
        if not self.is_settling:
            return ALL_CHANGES
        return _RULES_BY_STEP[self.step + settling]

    def on_listed(self, revision, *, targets_changed, settling):
        """Record a complete listing of targets from the store."""
        if settling and self.is_settling:
            self.step += 1
        self.position = Position(self.era, revision, 0)
        if targets_changed or settling or self.view.era < self.era:
            step = self.step if settling else 0
            self.view = max(self.view, Position(self.era, revision, step))
        self.limit_watch()

    def on_changes(self, revision, *, targets_changed):
        """Record the changes up to a revision."""
        self.position = max(self.position, Position(self.era, revision, 0))
        if targets_changed:
            self.view = max(self.view, self.position)

    def on_configuration_read(self, revision):
        """Record that the configuration is known up to a revision."""
        self.configuration = Position(self.era, revision, 0)
        self.limit_watch()

    def on_copy(self, position):
        """Record the targets that a peer sent."""
        self.view = position
        if self.position is None:
            self.position = position

    def limit_watch(self):
        """Start watches where both targets and configuration are known."""
        known = self.configuration
        if known is None or self.position is None or known.era != self.position.era:
            return
        self.position = min(self.position, known)

    def follows(self, delta):
        """Return whether a ``Delta`` continues this view.

        Between eras it must continue exactly this view: the changes of a balancer
        that had got further, or had listed the copy itself, aren't known.
        """
        if self.position is None or not delta.previous <= self.view < delta.position:
            return False
        same_era = delta.previous.era == delta.position.era
        return same_era or self.view == delta.previous
