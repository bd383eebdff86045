"""Flows whose target hasn't answered their SYN yet.

Once a target's process is gone, its host refuses packets within a few milliseconds,
and the refusal goes straight to the caller. A balancer sees only that the caller
doesn't continue the handshake, or that it tries again from another port.
"""

OVERDUE_MS = 45  # a handshake takes some 7 ms, 30 where an instance is slow
RETENTION_MS = 400  # callers whose SYN was refused try again at once
MIN_REFUSAL_MS = 5  # round trip to a target; a caller can't know sooner
MAX_FLOWS_PER_CALLER = 8  # bounds the cost of a SYN from a caller that floods


class HalfOpenFlows:
    """Flows that have a target and aren't open yet, oldest first.

    Attributes:
        pending: ``Flow`` and the time of its SYN, by flow key.
        by_caller: Keys of the latest pending flows, by the caller's address.
    """

    def __init__(self):
        self.pending = {}
        self.by_caller = {}
        self._reported = set()

    def add(self, key, flow, now_ms):
        """Add a flow whose SYN was forwarded to a target."""
        self.remove(key)  # a caller may reuse a port for another flow
        self.pending[key] = (flow, now_ms)
        keys = self.by_caller.setdefault(key[0], [])
        keys.append(key)
        if len(keys) > MAX_FLOWS_PER_CALLER:
            del keys[0]

    def remove(self, key):
        """Remove a flow that is open or has ended."""
        if self.pending.pop(key, None) is None:
            return
        self._reported.discard(key)
        keys = self.by_caller.get(key[0], [])
        if key in keys:
            keys.remove(key)
        if not keys:
            self.by_caller.pop(key[0], None)

    def overdue(self, now_ms):
        """Return the targets of overdue flows and drop expired ones.

        Returns:
            Pairs of a cookie and the time of the SYN; each flow is returned once.
        """
        found = []
        expired = []
        for key, (flow, placed_ms) in self.pending.items():
            age_ms = now_ms - placed_ms
            if age_ms < OVERDUE_MS:
                break
            if key not in self._reported:
                self._reported.add(key)
                found.append((flow.cookie, placed_ms))
            if age_ms > RETENTION_MS:
                expired.append(key)
        for key in expired:
            self.remove(key)
        return found

    def possibly_refused_by(self, caller, now_ms):
        """Return the cookies of targets that may have refused a caller."""
        tried = (self.pending[key] for key in self.by_caller.get(caller, ()))
        return {
            flow.cookie
            for flow, placed_ms in tried
            if now_ms - placed_ms >= MIN_REFUSAL_MS
        }
