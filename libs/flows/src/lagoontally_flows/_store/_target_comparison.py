"""Compares the targets known here with those of a reader."""

MAX_RECONCILED = 16
RECONCILE_PAUSE_MS = 2_000  # a lasting difference shows after each change


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
        self._next_read_ms = 0
        self._reconciled = set()

    def has_targets_of(self, beacon, digest, now_ms):
        """Return whether the targets here are at least as new as a reader's.

        Args:
            beacon: The ``Beacon`` of a reader that knows its position.
            digest: Digest of the targets here, None before the first.
            now_ms: Current time.
        """
        history = self.history
        if digest == beacon.digest:
            if beacon.view > history.view:
                history.on_copy(beacon.view)
            history.on_targets_known(beacon.known)
            return True
        if history.targets is None or beacon.view > history.view:
            return False
        state = (beacon.view, beacon.digest)
        if beacon.view < history.view or state in self._reconciled:
            return True
        self._differing = state
        return now_ms < self._next_read_ms

    def on_read(self, now_ms):
        """Record that the reader's targets were read.

        Those here may differ still, since a target known to be leaving stays so. Then
        to read them again doesn't help.
        """
        if self._differing is None:
            return
        if len(self._reconciled) > MAX_RECONCILED:
            self._reconciled.clear()
        self._reconciled.add(self._differing)
        self._differing = None
        self._next_read_ms = now_ms + RECONCILE_PAUSE_MS
