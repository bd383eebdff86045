"""Soak test of packet-forwarding balancer processes under seeded faults."""

from ._checks import Violation
from ._run import Soak, soak

__all__ = ["Soak", "Violation", "soak"]
