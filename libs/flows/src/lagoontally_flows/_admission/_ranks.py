"""Who is let in first where a service can't serve all.

Covers kinds of request that compete for the same targets, and a crowd on one of
several routes. Kinds of a higher rank may use all tokens; the others leave some for
them. Each kind keeps a floor, so that none starves however many of a higher rank
come, and so does each route beside others of its kind.
"""

RESERVED = 0.35  # share of the tokens that the lowest rank must leave
FLOOR = 0.1  # flows of a lower kind, or of a kind's other routes, for each that passed
MAX_CREDIT = 2.0


class Ranks:
    """Kinds of request that use one service, their routes and the floor of each.

    Attributes:
        kinds: Known kinds, highest rank first.
        credits: What each route is owed of its floor, by kind and name.
    """

    __slots__ = ("credits", "kinds")

    def __init__(self):
        self.kinds = []
        self.credits = {}

    def add(self, kind, name):
        """Take note of a kind and of the name of one of its routes."""
        if kind not in self.credits:
            self.credits[kind] = {}
            self.kinds = sorted(self.credits)
        self.credits[kind].setdefault(name, 0.0)

    def reserve(self, kind, capacity):
        """Return how many tokens a kind must leave for those of a higher rank."""
        position = self.kinds.index(kind)
        if not position:
            return 0.0
        return RESERVED * capacity * position / (len(self.kinds) - 1)

    def may_pass(self, kind, name, tokens, capacity):
        """Return whether a flow of a route is let in."""
        if self.credits[kind][name] >= 1.0:
            return True
        return tokens >= 1.0 + self.reserve(kind, capacity)

    def room(self, kind, name, free, capacity):
        """Return how much of some free room a flow of a route may use."""
        if self.credits[kind][name] >= 1.0:
            return free
        return free - self.reserve(kind, capacity)

    def on_passed(self, kind, name):
        """Take note that a flow of a route was let in."""
        routes = self.credits[kind]
        routes[name] = max(0.0, routes[name] - 1.0)
        _share_floor(routes, besides=name)
        for lower in self.kinds[self.kinds.index(kind) + 1 :]:
            _share_floor(self.credits[lower])


def _share_floor(routes, besides=None):
    """Share what a flow leaves to a kind among its routes."""
    others = [name for name in routes if name != besides]
    for name in others:
        routes[name] = min(MAX_CREDIT, routes[name] + FLOOR / len(others))


def kind_of(route):
    """Return the kind of a route's requests: by rank, and whether they may be repeated.

    Kinds compare by rank; of an equal priority, those that callers can't repeat
    come first.
    """
    return (route.priority, bool(route.repeatable))
