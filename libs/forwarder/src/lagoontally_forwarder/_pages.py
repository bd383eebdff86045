"""Collects the pages of a read of the store."""

from lagoontally_platform import decode_page, page_path

RESUME_MS = 5_000  # the store keeps its history for longer, and no page is as old


class Pages:
    """The pages of one read that have arrived.

    Args:
        prefix: Prefix of the keys that are read.
        may_be_old: Whether the response may be some seconds stale.
        started_ms: When the read began; not needed for one that is never resumed.

    Attributes:
        path: Path of the call for the next page, None after the last.
        after: Key after which that page starts, None for the first page.
        entries: Pairs of a key and a ``Target`` or None.
        evacuations: ``EvacuationChange`` records.
        configuration: The ``Configuration``, or None.
        configuration_revision: Revision at which it was written.
        revision: Revision that the first page names, None before; pages are no
            snapshot, so later ones may show more.
        newest: Revision of the last change among the items, 0 without any.
    """

    def __init__(self, prefix, *, may_be_old, started_ms=0):
        self.prefix = prefix
        self.may_be_old = may_be_old
        self.started_ms = started_ms
        self.path = page_path(prefix, may_be_old=may_be_old)
        self.after = None
        self.entries = []
        self.evacuations = []
        self.configuration = self.configuration_revision = None
        self.revision = None
        self.newest = 0
        self._era = None

    def may_resume(self, call, now_ms):
        """Return whether a new ``ListTargets`` may go on after the last page.

        What changes in the pages before it is found by a watch from the revision of the
        first page, as in a read that isn't interrupted.
        """
        is_recent = now_ms - self.started_ms < RESUME_MS
        return is_recent and self.may_be_old == call.may_be_old

    def decode(self, body):
        """Return the ``Listing`` in a response or an ``InvalidResponse``."""
        return decode_page(body, self.prefix, self.after)

    def add(self, listing, era):
        """Add the next page.

        Args:
            listing: The ``Listing``.
            era: Era of the store that it shows.

        Returns:
            False if the pages before show a history of the store that has ended.
        """
        if self.revision is None:
            self.revision, self._era = listing.revision, era
        elif era != self._era:
            return False
        self.entries += listing.entries
        self.evacuations += listing.evacuations
        if listing.configuration is not None:
            self.configuration = listing.configuration
            self.configuration_revision = listing.configuration_revision
        self.newest = max(self.newest, listing.newest)
        self.path, self.after = None, listing.next_key
        if self.after is not None:
            self.path = page_path(self.prefix, self.after, may_be_old=self.may_be_old)
        return True
