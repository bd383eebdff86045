"""Who is let in first where a service can't serve all.

Covers kinds of request that compete for the same targets. Kinds of a higher rank may
use all tokens; the others leave some for them. Each kind keeps a floor, so that none
starves however many of a higher rank come.
"""

RESERVED = 0.35  # share of the tokens that the lowest rank must leave
FLOOR = 0.1  # flows of a lower rank for each flow that a higher one gets
MAX_CREDIT = 2.0


class Ranks:
    """Kinds of request that use one service, and the floor of each.

    Attributes:
        kinds: Known kinds, highest rank first.
        credits: What each kind is owed of its floor.
    """

    __slots__ = ("credits", "kinds")

    def __init__(self):
        self.kinds = []
        self.credits = {}

    def add(self, kind):
        """Take note of a kind."""
        if kind not in self.credits:
            self.credits[kind] = 0.0
            self.kinds = sorted(self.credits)

    def reserve(self, kind, capacity):
        """Return how many tokens a kind must leave for those of a higher rank."""
        position = self.kinds.index(kind)
        if not position:
            return 0.0
        return RESERVED * capacity * position / (len(self.kinds) - 1)

    def may_pass(self, kind, tokens, capacity):
        """Return whether a flow of a kind is let in."""
        if self.credits[kind] >= 1.0:
            return True
        return tokens >= 1.0 + self.reserve(kind, capacity)

    def on_passed(self, kind):
        """Take note that a flow of a kind was let in."""
        self.credits[kind] = max(0.0, self.credits[kind] - 1.0)
        for lower in self.kinds[self.kinds.index(kind) + 1 :]:
            self.credits[lower] = min(MAX_CREDIT, self.credits[lower] + FLOOR)


def kind_of(route):
    """Return the kind of a route's requests: by rank, and whether they may be repeated.

    Kinds compare by rank; of an equal priority, those that callers can't repeat
    come first.
    """
    return (route.priority, bool(route.repeatable))
