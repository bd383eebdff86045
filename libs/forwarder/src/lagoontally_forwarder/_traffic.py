"""Counts the bytes of control by kind, apart from callers' packets.

Payloads only: the headers of IP, UDP and TCP come on top.
"""

from _functools import partial  # ``functools`` adds to startup

BEACONS = "beacons"
CHANGES = "changes"
FETCHES = "fetches"  # by peers, and of the metrics
FLOWS = "flows"  # which targets hold them
HEALTH = "health"
LOAD = "load"
MEMBERSHIP = "membership"
READINESS = "readiness"
STORE = "store"
UNREADABLE = "unreadable"
_KINDS = {
    "Beacon": BEACONS,
    "ConfigurationDelta": CHANGES,
    "DealtAnew": HEALTH,
    "Delta": CHANGES,
    "DemandDigest": LOAD,
    "Evacuated": CHANGES,
    "HolderQuery": FLOWS,
    "Holders": FLOWS,
    "Hello": MEMBERSHIP,
    "InForce": MEMBERSHIP,
    "Joined": MEMBERSHIP,
    "LoadAdvice": LOAD,
    "LoadReport": LOAD,
    "Members": MEMBERSHIP,
    "RelayAck": CHANGES,
    "Relayed": CHANGES,
    "Verdict": HEALTH,
}


class Traffic:
    """The bytes of control that this process sends and receives.

    Args:
        metrics: The ``Metrics``, with ``control_bytes_sent`` and
            ``control_bytes_received``.
    """

    def __init__(self, metrics):
        self.metrics = metrics

    def sent(self, kind, size):
        """Count bytes sent."""
        self.metrics.add("control_bytes_sent", kind, size)

    def received(self, kind, size):
        """Count bytes received."""
        self.metrics.add("control_bytes_received", kind, size)

    def message_sent(self, message, data):
        """Count a datagram sent to a balancer."""
        self.sent(_KINDS[type(message).__name__], len(data))

    def message_received(self, message, data):
        """Count a datagram received; the message is None if it is none."""
        kind = UNREADABLE if message is None else _KINDS[type(message).__name__]
        self.received(kind, len(data))

    def of(self, kind):
        """Return functions that count bytes sent and bytes received of a kind."""
        return partial(self.sent, kind), partial(self.received, kind)


def uncounted(_size):
    """Count nothing."""


UNCOUNTED = (uncounted, uncounted)
