"""Changes of targets that arrive in parts, and out of order."""

from ._parts import PartCollector

MAX_EARLY = 8  # changes; others are fetched


class DeltaQueue:
    """Changes that can't be applied yet.

    Args:
        history: The ``StoreHistory``.
    """

    def __init__(self, history):
        self.history = history
        self._parts = PartCollector()
        self._early = {}

    def add(self, delta):
        """Add a part; return the entries of all parts once the last one arrived."""
        # Each reader splits changes in its own way, so parts of two don't combine.
        delta_id = (delta.reader, delta.previous, delta.position, delta.parts)
        return self._parts.add(
            delta_id, part=delta.part, parts=delta.parts, items=delta.entries
        )

    def keep_early(self, delta, entries):
        """Keep a change that may have overtaken the one that it continues."""
        if len(self._early) >= MAX_EARLY:
            self._early.clear()
        self._early[delta.position] = (delta, entries)

    def on_applied(self, delta):
        """Drop the parts of changes that an applied ``Delta`` has overtaken."""
        # Parts of the next change may have overtaken the last one of this.
        self._parts.keep(lambda one: one[2] > delta.position)

    def early(self):
        """Yield the kept changes that continue the view, which must be applied.

        Yields:
            Pairs of a ``Delta`` and its entries.
        """
        for position in sorted(self._early):
            delta, entries = self._early[position]
            if self.history.follows(delta):
                yield delta, entries
            if position <= self.history.view:
                del self._early[position]

    def clear(self):
        """Drop everything."""
        self._parts.clear()
        self._early.clear()
