"""Detection of process pauses by the monotonic clock."""

import time

PAUSE_MS = 1000
NS_PER_MS = 1_000_000


def monotonic_ms():
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() // NS_PER_MS


class PauseDetector:
    """Detects when more time passes between two calls than a running loop takes.

    Args:
        clock_ms: Returns the monotonic clock in milliseconds.
    """

    def __init__(self, *, clock_ms=monotonic_ms):
        self.clock_ms = clock_ms
        self.last_ms = clock_ms()

    def pause_detected(self):
        """Return whether the process has paused since the last call."""
        now_ms = self.clock_ms()
        gap_ms = now_ms - self.last_ms
        self.last_ms = now_ms
        return gap_ms > PAUSE_MS
