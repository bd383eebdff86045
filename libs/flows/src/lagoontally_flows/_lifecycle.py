"""When a balancer takes packets, and when it may end."""

LEAVE_LEAST_MS = 1_100  # routers ask twice a second and wait for two misses
QUIET_MS = 600  # a router that still sent packets would have by then
GRACE_SLACK_MS = 700  # to end before the platform kills the process


class Lifecycle:
    """Readiness and end of a balancer.

    Args:
        grace_ms: Time from the order to stop until the process is killed.

    Attributes:
        stopping_ms: When it was told to stop, None before.
        packet_ms: When the last packet came.
    """

    def __init__(self, *, grace_ms):
        self.grace_ms = grace_ms
        self.stopping_ms = None
        self.packet_ms = 0

    def stop(self, now_ms):
        """Take the order to stop; later ones change nothing."""
        if self.stopping_ms is None:
            self.stopping_ms = now_ms

    def ready(self, *, has_view, isolated, cut_off):
        """Tell whether routers may send packets here.

        Args:
            has_view: Whether targets and configuration are known.
            isolated: Whether this balancer seems cut off from the targets.
            cut_off: Whether its data centre is cut off and can't serve its callers.
        """
        can_serve = has_view and not isolated and not cut_off
        return can_serve and self.stopping_ms is None

    def may_end(self, now_ms):
        """Tell whether the process may end: packets go elsewhere by now."""
        if self.stopping_ms is None:
            return False
        stopping_for_ms = now_ms - self.stopping_ms
        if stopping_for_ms >= self.grace_ms - GRACE_SLACK_MS:
            return True
        quiet_ms = now_ms - self.packet_ms
        return stopping_for_ms >= LEAVE_LEAST_MS and quiet_ms >= QUIET_MS
