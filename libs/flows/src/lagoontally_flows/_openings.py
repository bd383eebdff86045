"""Flows whose target hasn't answered their SYN yet.

A target's host refuses packets in a few milliseconds once its process is gone,
and the refusal goes straight to the caller. A balancer sees only that the caller
doesn't go on, or that it tries again from another port.
"""

OVERDUE_MS = 45  # a handshake takes some 7 ms, 30 where an instance is slow
KEPT_MS = 400  # callers whose SYN was refused try again at once


class Openings:
    """Flows that were given a target and aren't open yet, oldest first.

    Attributes:
        waiting: ``Flow`` and when it was placed, by its addresses and ports.
    """

    def __init__(self):
        self.waiting = {}
        self._doubted = set()

    def add(self, key, flow, now_ms):
        """Note that a SYN was sent to a target."""
        self.waiting[key] = (flow, now_ms)

    def remove(self, key):
        """Note that a flow is open or has ended."""
        self.waiting.pop(key, None)
        self._doubted.discard(key)

    def overdue(self, now_ms):
        """Return targets that should have answered, with the time of the SYN.

        Returns:
            Pairs of a cookie and a time; each flow is told of once.
        """
        found = []
        for key, (flow, placed_ms) in list(self.waiting.items()):
            age_ms = now_ms - placed_ms
            if age_ms < OVERDUE_MS:
                break
            if key not in self._doubted:
                self._doubted.add(key)
                found.append((flow.cookie, placed_ms))
            if age_ms > KEPT_MS:
                self.remove(key)
        return found

    def tried_by(self, caller):
        """Return the cookies of targets that this caller waits for in vain."""
        return {
            flow.cookie for key, (flow, _) in self.waiting.items() if key[0] == caller
        }
