"""Compares the targets known here with those of a reader."""

MAX_RECONCILED = 16


class TargetComparison:
    """Decides whether the targets here are those that a reader announces.

    Targets whose position isn't known are those of the reader if the digests are
    equal. At equal positions the digests may differ: one of both may keep a target
    that a restored store lacks, or know that one is leaving.

    Args:
        history: The ``StoreHistory``; takes over the reader's positions.
    """

    def __init__(self, history):
        self.history = history
        self._differing = None
        self._reconciled = set()

    def has_targets_of(self, beacon, digest):
        """Return whether the targets here are at least as new as a reader's.

        Args:
            beacon: The ``Beacon`` of a reader that knows its position.
            digest: Digest of the targets here, None before the first.
        """
        history = self.history
        if history.targets is None:
            if digest != beacon.digest:
                return False
            history.on_copy(beacon.view)
        if beacon.view != history.view:
            return beacon.view < history.view
        state = (beacon.view, beacon.digest)
        if digest != beacon.digest and state not in self._reconciled:
            self._differing = state
            return False
        history.on_targets_known(beacon.known)
        return True

    def on_read(self):
        """Record that the targets were read after they were found to differ.

        They may differ still, since a target known to be leaving stays so here. Then
        to read them again doesn't help.
        """
        if len(self._reconciled) > MAX_RECONCILED:
            self._reconciled.clear()
        self._reconciled.add(self._differing)
