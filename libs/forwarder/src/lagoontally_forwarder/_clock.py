"""The clock of a balancer."""

from time import CLOCK_BOOTTIME, clock_gettime_ns

NS_PER_MS = 1_000_000


def now_ms():
    """Return milliseconds that also pass while the machine is suspended."""
    return clock_gettime_ns(CLOCK_BOOTTIME) // NS_PER_MS
