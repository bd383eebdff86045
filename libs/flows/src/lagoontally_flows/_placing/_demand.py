"""Demand for each service, and whether it can be served here.

Covers a data centre that is cut off and has no targets of a service, or is emptied: its
balancers leave the rotation, so that routers send the callers elsewhere.
"""

HALF_LIFE_MS = 1_000
REFUSED_TO_SERVED = 2  # refused callers try three times at once
MIN_REFUSED_SYNS = 4  # fewer may be chance
CONTACT_LOST_MS = 1_300  # the store answers a reader every 950 ms


class Demand:
    """Recent SYNs by service, and how many of them were refused.

    Attributes:
        syns: Decaying count of SYNs by service.
        refused: Decaying count of SYNs that no target could take.
    """

    def __init__(self):
        self.syns = {}
        self.refused = {}
        self._decayed_ms = 0

    def on_syn(self, shares, *, served):
        """Count a SYN to a route with these shares."""
        service = shares[0][0]
        self.syns[service] = self.syns.get(service, 0) + 1
        if not served:
            self.refused[service] = self.refused.get(service, 0) + 1

    def on_tick(self, now_ms):
        """Halve the counts once per half-life."""
        if now_ms - self._decayed_ms < HALF_LIFE_MS:
            return
        self._decayed_ms = now_ms
        for counts in (self.syns, self.refused):
            for service in counts:
                counts[service] /= 2

    def mostly_refused(self):
        """Return whether most recent callers were refused."""
        refused = sum(self.refused.values())
        served = sum(self.syns.values()) - refused
        return refused >= MIN_REFUSED_SYNS and refused > REFUSED_TO_SERVED * served


def is_cut_off(demand, heard_ms, now_ms, *, was_cut_off, out_of_reach=False):
    """Return whether callers are better served through another data centre.

    Args:
        demand: The ``Demand``.
        heard_ms: When the platform last answered; None if it never did.
        now_ms: Current time.
        was_cut_off: The previous result. Once true, it stays true until the platform
            answers again: out of the rotation no SYNs arrive to judge by.
        out_of_reach: Whether the only targets that may be used are dead as seen from
            here. Routers use all balancers of a data centre while half of them are
            in the rotation, so none waits for SYNs of its own then.
    """
    if heard_ms is not None and now_ms - heard_ms < CONTACT_LOST_MS:
        return False
    return was_cut_off or out_of_reach or demand.mostly_refused()
