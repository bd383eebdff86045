"""Detection of pauses by the monotonic clock."""

import time

PAUSE_MS = 1000
NS_PER_MS = 1_000_000


def monotonic_ms():
    """Return the monotonic clock in milliseconds."""
    return time.monotonic_ns() // NS_PER_MS


class PauseDetector:
    """Notices that more time passed between two turns than a loop ever takes.

    Args:
        clock_ms: Returns the monotonic clock in milliseconds.
    """

    def __init__(self, *, clock_ms=monotonic_ms):
        self.clock_ms = clock_ms
        self.last_ms = clock_ms()

    def pause_detected(self):
        """Return True when the process paused since the last call."""
        now_ms = self.clock_ms()
        gap_ms = now_ms - self.last_ms
        self.last_ms = now_ms
        return gap_ms > PAUSE_MS
