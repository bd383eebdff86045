"""Structured logs on standard output, one JSON object per line.

Importing ``logging`` costs 17 ms of CPU time at startup and 1.5 MB
(docs/PLATFORM.md), so this module writes the lines itself. Writing never blocks:
lines that standard output doesn't accept at once, and lines over the rate limit,
are dropped and counted.
"""

from posix import set_blocking, write  # ``os`` adds a millisecond to the start
from time import time

from lagoontally_lean import dumps

BYTES_PER_S = 16_000  # on average; operators keep a few days of logs
BURST_BYTES = 64_000  # startup and shutdown write many lines at once
MS_PER_S = 1_000


class Log:
    """A rate-limited log of JSON lines.

    Args:
        instance: Name of the instance, part of every line.
        clock: Function that returns milliseconds.
        descriptor: File descriptor to write to.

    Attributes:
        dropped: Number of lines dropped since the last one that was written.
    """

    def __init__(self, instance, clock, descriptor=1):
        self.instance = instance
        self.clock = clock
        self.descriptor = descriptor
        self.dropped = 0
        self._budget_bytes = BURST_BYTES
        self._refilled_ms = clock()
        set_blocking(descriptor, False)

    def line(self, event, **fields):
        """Write one line.

        Args:
            event: Name of the event or decision.
            **fields: Its inputs, their age or version, and the outcome.
        """
        now_ms = self.clock()
        self._budget_bytes = min(
            BURST_BYTES,
            self._budget_bytes + (now_ms - self._refilled_ms) * BYTES_PER_S / MS_PER_S,
        )
        self._refilled_ms = now_ms
        record = {"time": round(time(), 3), "at_ms": now_ms, "instance": self.instance}
        if self.dropped:
            record["dropped_lines"] = self.dropped
        record["event"] = event
        record.update(fields)
        text = dumps(record).encode() + b"\n"
        if len(text) > self._budget_bytes:
            self.dropped += 1
            return
        self._budget_bytes -= len(text)
        try:
            write(self.descriptor, text)
        except OSError:
            self.dropped += 1  # standard output is full or closed
        else:
            self.dropped = 0
