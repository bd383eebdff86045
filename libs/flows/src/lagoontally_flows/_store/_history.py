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
            fewer reservations, see ``ListingRules``; 0 for changes. For evacuations,
            the number of reads at the revision that have corrected the list.
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

    Targets and configuration are read in separate calls, and peers tell evacuations
    without either, so each has a position of its own. Only consistent reads, watches
    that continue from a position, and peers with a position set one: a read that may
    be old shows what the store contained once, and not up to which change.

    Attributes:
        era: The newest era known, 0 before the first.
        targets: Position up to which all changes of targets are known, or None.
        configuration: The same for changes of the configuration.
        evacuations: The same for evacuations.
        view: Position of the last known change or listing of targets, ``START``
            while ``targets`` is None.
        began_ms: When the present era was found to have ended another one, here or by
            a reader, or None.
        step: Number of listings taken over after ``SETTLE_AFTER_MS`` in this era.
        endings: Number of histories that ended while this balancer followed them;
            what was requested before is void.
        stale_refused: Whether a response of an ended history has arrived. Reads that
            may be old aren't made any more.
        informed_era: Era in which the view takes account of the history before.
    """

    def __init__(self):
        self.era = 0
        self.targets = None
        self.configuration = None
        self.evacuations = None
        self.view = START
        self.began_ms = None
        self.step = 0
        self.endings = 0
        self.stale_refused = False
        self.informed_era = 0

    @property
    def knows_targets(self):
        """Whether the targets are known up to a position in the present era."""
        return self.targets is not None and self.targets.era == self.era

    @property
    def knows_configuration(self):
        """Whether the same holds for the configuration."""
        return self.configuration is not None and self.configuration.era == self.era

    def knows_configuration_at(self, revision):
        """Return whether the configuration is known up to a revision of this era."""
        return self.knows_configuration and self.configuration.revision >= revision

    @property
    def knows_evacuations(self):
        """Whether the same holds for evacuations."""
        return self.evacuations is not None and self.evacuations.era == self.era

    @property
    def announced_view(self):
        """The view as peers are told; revision 0 while the targets may be old."""
        return self.view if self.targets is not None else Position(self.era, 0, 0)

    @property
    def position(self):
        """Position up to which all changes are known, None if there is none.

        A watch starts there.
        """
        if not (
            self.knows_targets and self.knows_configuration and self.knows_evacuations
        ):
            return None
        return min(self.targets, self.configuration, self.evacuations)

    @property
    def has_ended(self):
        """Whether the targets are known up to a position in an era that has ended."""
        return self.targets is not None and self.targets.era < self.era

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
        if self.targets is None:
            return CURRENT
        self.began_ms = now_ms
        self.step = 0
        self.endings += 1
        self.informed_era = era
        return BEGAN

    def on_settling_reader(self, now_ms):
        """Record that a reader has targets of which a restored copy may lack some.

        A balancer that started since may take them over, and then has to settle them.
        """
        if self.began_ms is None:
            self.began_ms = now_ms

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

    def is_outdated(self, revision, *, may_be_old=False):
        """Return whether targets that the store sent are older than those here.

        Changes that a reader sent may arrive while a call to the store is running.

        Args:
            revision: Revision of the store in the response.
            may_be_old: Whether the call was for a result that may be old.
        """
        if may_be_old:
            return self.targets is not None
        era, known, _ = self.view
        return (era, known) > (self.era, revision)

    def on_listed(self, revision, *, settling):
        """Record a complete, consistent listing of targets from the store.

        The view moves even if nothing changed here: another balancer's may contain
        a target that was listed and has ended since.
        """
        if settling and self.is_settling:
            self.step += 1
        self.targets = Position(self.era, revision, 0)
        step = self.step if settling else 0
        self.view = max(self.view, Position(self.era, revision, step))

    def on_changes(self, revision, *, after, targets_changed):
        """Record all changes between two revisions.

        Args:
            revision: The later one.
            after: The earlier one. Positions before it keep their place, since the
                changes up to it are missing.
            targets_changed: Whether there are changes of targets.
        """
        reached = Position(self.era, revision, 0)
        if self.knows_targets and after <= self.targets.revision:
            self.targets = max(self.targets, reached)
            if targets_changed:
                self.view = max(self.view, reached)
        if self.knows_configuration and after <= self.configuration.revision:
            self.configuration = max(self.configuration, reached)
        if self.knows_evacuations and after <= self.evacuations.revision:
            self.evacuations = max(self.evacuations, reached)

    def on_configuration_read(self, revision):
        """Record a consistent read of the configuration."""
        self.on_configuration_known(Position(self.era, revision, 0))

    def on_configuration_known(self, position):
        """Record that the newest configuration up to a position is in force here."""
        position = position._replace(step=0)
        if position > (self.configuration or START):
            self.configuration = position

    def on_targets_known(self, position):
        """Record that the targets are known up to a position."""
        self.targets = max(self.targets or START, position._replace(step=0))

    def on_copy(self, position):
        """Record targets that a peer sent, as they were at the position of its view."""
        self.view = position
        self.on_targets_known(position)

    def follows(self, delta):
        """Return whether a ``Delta`` contains all changes after this view."""
        known = self.targets is not None
        return known and delta.previous <= self.view < delta.position
