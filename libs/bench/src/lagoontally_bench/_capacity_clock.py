"""Processor time and memory of this process."""

import os
import time
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
US = 1_000_000


class Clock:
    """Adds up processor time."""

    def __init__(self):
        self.seconds = 0.0
        self.started = 0.0

    def __enter__(self):
        self.started = time.process_time()
        return self

    def __exit__(self, *_):
        self.seconds += time.process_time() - self.started

    def us(self, times):
        """Return the microseconds of each of this many times."""
        return round(self.seconds * US / times, 1)


def resident_bytes():
    """Return the resident memory of this process."""
    fields = Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES
