"""How many callers ask for each service, and whether it can be served here.

Answers the load of a data centre that is cut off and has no target of a service:
its balancers leave the rotation, so that routers send the callers elsewhere.
"""

HALF_LIFE_MS = 1_000
REFUSED_TO_SERVED = 2  # refused callers try three times at once
MIN_REFUSED_SYNS = 4  # SYNs; fewer may be chance
CONTACT_LOST_MS = 1_300  # a reader hears the store each 950 ms


class Demand:
    """SYNs of late by service, and how many of them were refused.

    Attributes:
        asked: Decayed number of SYNs by service.
        refused: Decayed number of those that no target could take.
    """

    def __init__(self):
        self.syns = {}
        self.refused = {}
        self._decayed_ms = 0

    def on_syn(self, shares, *, served):
        """Count a SYN of a route with these shares."""
        service = shares[0][0]
        self.syns[service] = self.syns.get(service, 0) + 1
        if not served:
            self.refused[service] = self.refused.get(service, 0) + 1

    def on_tick(self, now_ms):
        """Let old SYNs count for less."""
        if now_ms - self._decayed_ms < HALF_LIFE_MS:
            return
        self._decayed_ms = now_ms
        for counts in (self.syns, self.refused):
            for service in counts:
                counts[service] /= 2

    def mostly_refused(self):
        """Tell whether most callers of late had to be refused."""
        refused = sum(self.refused.values())
        served = sum(self.syns.values()) - refused
        return refused >= MIN_REFUSED_SYNS and refused > REFUSED_TO_SERVED * served


def is_cut_off(demand, *, view_age_ms, was_cut_off):
    """Tell whether callers are better served through another data centre.

    Args:
        demand: The ``Demand``.
        view_age_ms: Age of the view; None where the platform was never heard.
        was_cut_off: Whether it was so before. It stays so until the platform is
            heard again: out of the rotation no SYN would show it.
    """
    if view_age_ms is not None and view_age_ms < CONTACT_LOST_MS:
        return False
    return was_cut_off or demand.mostly_refused()
