"""Soak test of packet-forwarding balancer processes under seeded faults."""

from ._run import Soak, soak
from ._violation import Violation

__all__ = ["Soak", "Violation", "soak"]
