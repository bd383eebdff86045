"""Compares the targets known here with those of a reader."""


class TargetComparison:
    """Decides whether the targets here are those that a reader announces.

    Targets whose position isn't known are those of the reader if the digests are
    equal.

    Args:
        history: The ``StoreHistory``; takes over the reader's positions.
    """

    def __init__(self, history):
        self.history = history

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
        history.on_targets_known(beacon.known)
        return True
