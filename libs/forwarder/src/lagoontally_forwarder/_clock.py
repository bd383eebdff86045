"""The clocks of the process."""

from time import CLOCK_BOOTTIME, clock_gettime_ns, time_ns

NS_PER_MS = 1_000_000


def now_ms():
    """Return milliseconds since boot, including time spent in suspend."""
    return clock_gettime_ns(CLOCK_BOOTTIME) // NS_PER_MS


def unix_ms():
    """Return the time of day in Unix milliseconds, which may jump."""
    return time_ns() // NS_PER_MS
