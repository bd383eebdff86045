"""Structured logs on standard output.

One JSON object a line. Importing ``logging`` costs a starting balancer 17 ms of
processor time and 1.5 MB (docs/PLATFORM.md), so that lines are written here.
Writing never blocks: what standard output doesn't take at once is dropped and
counted, and so is what exceeds the budget of a second.
"""

from posix import set_blocking, write  # ``os`` adds a millisecond to the start
from time import time

from lagoontally_lean import dumps

BYTES_PER_S = 16_000  # of log, on average; operators keep some days of it
BURST_BYTES = 64_000  # start and stop write many lines at once
MS_PER_S = 1_000


class Log:
    """Writes lines within a budget.

    Args:
        instance: Name that every line carries.
        clock: Function that returns milliseconds.
        descriptor: Where lines are written.

    Attributes:
        dropped: Lines dropped since the last line that said so.
    """

    def __init__(self, instance, clock, descriptor=1):
        self.instance = instance
        self.clock = clock
        self.descriptor = descriptor
        self.dropped = 0
        self._budget = BURST_BYTES
        self._refilled_ms = clock()
        set_blocking(descriptor, False)

    def line(self, event, **fields):
        """Write one line.

        Args:
            event: What happened or was decided.
            **fields: Inputs, their age or version, and the outcome.
        """
        now_ms = self.clock()
        self._budget = min(
            BURST_BYTES,
            self._budget + (now_ms - self._refilled_ms) * BYTES_PER_S / MS_PER_S,
        )
        self._refilled_ms = now_ms
        record = {"time": round(time(), 3), "at_ms": now_ms, "instance": self.instance}
        if self.dropped:
            record["dropped_lines"] = self.dropped
        record["event"] = event
        record.update(fields)
        text = dumps(record).encode() + b"\n"
        if len(text) > self._budget:
            self.dropped += 1
            return
        self._budget -= len(text)
        try:
            write(self.descriptor, text)
        except OSError:
            self.dropped += 1  # standard output is full or closed: nowhere to say it
        else:
            self.dropped = 0
