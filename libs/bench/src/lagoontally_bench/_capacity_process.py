"""CPU time and memory of the current process."""

import os
import time
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
US_PER_S = 1_000_000


class CpuTimer:
    """Accumulates CPU time over ``with`` blocks."""

    def __init__(self):
        self.seconds = 0.0
        self.started = 0.0

    def __enter__(self):
        self.started = time.process_time()
        return self

    def __exit__(self, *_):
        self.seconds += time.process_time() - self.started

    def mean_us(self, times):
        """Return the mean CPU time of this many operations in microseconds."""
        return round(self.seconds * US_PER_S / times, 1)


def resident_bytes():
    """Return the resident memory of this process."""
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES
