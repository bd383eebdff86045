"""The rate at which a balancer sends new flows to a service with too little room.

Covers bursts beyond what the targets of a service can serve. The rate follows the
share that targets refuse: it falls while they refuse more than a few in a hundred and
rises while they refuse fewer, so that slots stay busy and few flows are sent in vain.
Unused room of a fraction of a second is kept, so that all are let in as soon as
fewer arrive.
"""

ADJUST_INTERVAL_MS = 100
REFUSED_TARGET = 0.05  # share of flows that keeps the queues filled
GROWTH = 0.05  # a tenth of a second without refusals
REDUCTION = 0.5  # relative to the excess of refusals
MIN_PER_S = 1.0  # a balancer always learns whether there is room
KEPT_S = 0.2
MIN_KEPT = 4.0


class RateLimit:
    """Tokens for new flows, refilled at a rate that follows refusals.

    Args:
        per_s: Rate to begin with.
        now_ms: Current time.

    Attributes:
        per_s: Flows a second.
        tokens: Flows that may be sent now.
    """

    __slots__ = ("per_s", "tokens", "_adjusted_ms", "_refilled_ms")

    def __init__(self, per_s, now_ms):
        self.per_s = max(MIN_PER_S, per_s)
        self.tokens = 0.0
        self._adjusted_ms = now_ms
        self._refilled_ms = now_ms

    @property
    def capacity(self):
        """Tokens that are kept at most."""
        return max(MIN_KEPT, self.per_s * KEPT_S)

    def adjust(self, refused_share, served_per_s, now_ms):
        """Adjust the rate.

        Args:
            refused_share: Share of the flows sent that targets refuse.
            served_per_s: Flows a second that they serve, below which the rate
                doesn't fall.
            now_ms: Current time.
        """
        if now_ms - self._adjusted_ms >= ADJUST_INTERVAL_MS:
            self._adjusted_ms = now_ms
            per_s = self.per_s * _factor(refused_share)
            self.per_s = max(MIN_PER_S, per_s, served_per_s)

    def refill(self, now_ms):
        """Add the tokens of the time that has passed."""
        elapsed_s = (now_ms - self._refilled_ms) / 1_000
        self._refilled_ms = now_ms
        self.tokens = min(self.capacity, self.tokens + self.per_s * elapsed_s)


def _factor(refused_share):
    if refused_share <= REFUSED_TARGET:
        return 1.0 + GROWTH * (1.0 - refused_share / REFUSED_TARGET)
    return 1.0 - REDUCTION * (refused_share - REFUSED_TARGET)
