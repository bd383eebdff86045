"""The advice that a balancer follows, while it is fresh.

Covers a reader that ends or is cut off: what it told lapses, and each balancer's own
counts of flows decide alone.
"""

from lagoontally_lean import Record

ADVICE_LIFETIME_MS = 2_000  # four intervals of the reader


class ServiceLimit(Record, fields="usual by_target"):
    """What a balancer may have in hand of a service with too little room.

    Attributes:
        usual: Requests in hand at one target at most; a fraction is a probability.
        by_target: The same by cookie, of targets where it is another.
    """

    __slots__ = ()

    def at(self, cookie):
        """Return the limit at a target."""
        return self.by_target.get(cookie, self.usual)

    def total(self, targets):
        """Return the limit at some ``Target`` records together."""
        return sum(self.at(target.cookie) for target in targets)


class AdviceInForce:
    """The latest ``LoadAdvice`` and what follows from it for a new flow."""

    def __init__(self):
        self._shares = {}
        self._spills = {}
        self._full = frozenset()
        self._limits = {}
        self._received_ms = None

    def on_advice(self, advice, now_ms):
        """Replace the advice in force."""
        self._shares = {cookie: percent / 100 for cookie, percent in advice.shares}
        self._spills = {service: tuple(parts) for service, parts in advice.spills}
        self._full = frozenset(advice.full)
        self._limits = {
            service: ServiceLimit(
                usual / 100, {cookie: most / 100 for cookie, most in pairs}
            )
            for service, usual, pairs in advice.limits
        }
        self._received_ms = now_ms

    def admitted(self, targets, now_ms, random):
        """Return the targets that a new flow may go to.

        One that holds as many flows as it may is left out, and a slow one of all flows
        but its share. If that leaves none, all are returned, so the only target of a
        service is never set aside.
        """
        if not self._is_fresh(now_ms):
            return targets
        full, shares = self._full, self._shares
        if full:
            targets = [one for one in targets if one.cookie not in full] or targets
        if not shares:
            return targets
        return [
            target
            for target in targets
            if target.cookie not in shares or random.random() < shares[target.cookie]
        ] or targets

    def spill(self, service, now_ms):
        """Return pairs of a data centre and its percentage, empty if all stay."""
        return self._spills.get(service, ()) if self._is_fresh(now_ms) else ()

    def limit(self, service, now_ms):
        """Return the ``ServiceLimit`` of a service, None if it isn't limited."""
        return self._limits.get(service) if self._is_fresh(now_ms) else None

    def _is_fresh(self, now_ms):
        received_ms = self._received_ms
        return received_ms is not None and now_ms - received_ms <= ADVICE_LIFETIME_MS
