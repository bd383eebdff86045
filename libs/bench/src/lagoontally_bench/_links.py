"""Simulated network links: delay, loss, duplication and cuts."""

from typing import NamedTuple

BASE_DELAY_MS = 1
CALLER_DELAY_MS = 3
PEER = "peer"
CALLER = "caller"
UPSTREAM = "upstream"
PLATFORM = "platform"


class LinkFaults(NamedTuple):
    """Faults injected on the links of one kind.

    Attributes:
        loss: Fraction of the datagrams that is lost.
        duplicate: Fraction that arrives twice.
        jitter_ms: Limit of the random extra delay, which causes reordering.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    jitter_ms: int = 0


class Links:
    """Decides when and how many times a message arrives.

    Messages between balancers use TCP: they may be lost with their connection,
    but are never duplicated.

    Attributes:
        random: Source of random numbers.
        faults: The ``LinkFaults`` of each kind of link.
        cuts: Pairs ``(source, destination)`` of places; messages from one to the
            other are lost.
    """

    def __init__(self, random):
        self.random = random
        self.faults = {}
        self.cuts = set()

    def cut(self, one, other, *, both_ways=True):
        """Drop all messages from ``one`` to ``other``, each a node or data centre."""
        self.cuts.add((one, other))
        if both_ways:
            self.cuts.add((other, one))

    def heal(self):
        """Remove all cuts."""
        self.cuts.clear()

    def is_cut(self, source, destination):
        """Return whether a cut separates two sets of places."""
        return any((one, other) in self.cuts for one in source for other in destination)

    def delays(self, kind, source, destination):
        """Return the delay of each copy that arrives.

        Args:
            kind: The kind of link.
            source: Names of the sender: its own and its data centre's.
            destination: Names of the receiver.

        Returns:
            A list of delays in milliseconds, empty when the message is lost.
        """
        if self.is_cut(source, destination):
            return []
        faults = self.faults.get(kind, LinkFaults())
        if self.random.random() < faults.loss:
            return []
        copies = 1
        if kind != PEER and self.random.random() < faults.duplicate:
            copies = 2
        return [self._delay(kind, faults) for _ in range(copies)]

    def _delay(self, kind, faults):
        base_ms = CALLER_DELAY_MS if kind == CALLER else BASE_DELAY_MS
        if not faults.jitter_ms:
            return base_ms
        return base_ms + self.random.randrange(faults.jitter_ms)
