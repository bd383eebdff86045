"""The load of an upstream as its report shows it: true, late or false."""

from collections import deque
from typing import NamedTuple

# Changes of the load that a late report can look back over.
LOAD_SAMPLES = 10_000


class Load(NamedTuple):
    """The load from one time on."""

    time_ms: float
    busy: int
    lines: int


class LoadHistory:
    """The load over time.

    Attributes:
        lag_ms: Age of what the report shows.
        lie: Values that the report shows in place of the true ones.
    """

    def __init__(self, *, now_ms: float):
        self.lag_ms = 0.0
        self.lie: dict | None = None
        self.loads = deque([Load(now_ms, 0, 0)], maxlen=LOAD_SAMPLES)

    def sample(self, busy: int, lines: int, *, now_ms: float) -> None:
        """Keep the present load, if it has changed."""
        last = self.loads[-1]
        if (last.busy, last.lines) != (busy, lines):
            self.loads.append(Load(now_ms, busy, lines))

    def report(self, *, now_ms: float) -> dict:
        """Return the load as it is reported now."""
        time_ms = now_ms - self.lag_ms
        seen = next(
            (load for load in reversed(self.loads) if load.time_ms <= time_ms),
            self.loads[0],
        )
        return {"busy": seen.busy, "lines": seen.lines} | (self.lie or {})
