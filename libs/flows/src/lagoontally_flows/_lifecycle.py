"""When a balancer accepts packets, and when its process may end."""

LEAVE_LEAST_MS = 1_100  # routers probe twice a second and act on two misses
QUIET_MS = 600  # a router that still used this balancer would have sent packets
GRACE_SLACK_MS = 700  # to end before the platform kills the process


class Lifecycle:
    """Readiness and shutdown of a balancer.

    Args:
        grace_ms: Time between the signal to stop and the kill.

    Attributes:
        stopping_ms: When the shutdown began, None before.
        packet_ms: When the last packet arrived.
    """

    def __init__(self, *, grace_ms):
        self.grace_ms = grace_ms
        self.stopping_ms = None
        self.packet_ms = 0

    def stop(self, now_ms):
        """Begin the shutdown; further calls have no effect."""
        if self.stopping_ms is None:
            self.stopping_ms = now_ms

    def ready(self, *, has_view, isolated, cut_off):
        """Return whether routers may send packets here.

        Args:
            has_view: Whether targets and configuration are known.
            isolated: Whether this balancer seems cut off from the targets.
            cut_off: Whether its data centre is cut off and can't serve its callers.
        """
        can_serve = has_view and not isolated and not cut_off
        return can_serve and self.stopping_ms is None

    def may_end(self, now_ms):
        """Return whether the process may end.

        It may once routers send packets elsewhere, or shortly before the kill.
        """
        if self.stopping_ms is None:
            return False
        stopping_for_ms = now_ms - self.stopping_ms
        if stopping_for_ms >= self.grace_ms - GRACE_SLACK_MS:
            return True
        quiet_ms = now_ms - self.packet_ms
        return stopping_for_ms >= LEAVE_LEAST_MS and quiet_ms >= QUIET_MS
