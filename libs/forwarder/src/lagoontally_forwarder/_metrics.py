"""Counters and histograms in the text format of Prometheus.

``prometheus_client`` takes 75 ms of processor time at the start and 14 MB
(docs/PLATFORM.md), more than all else in this process together.
"""

LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)
_PREFIX = "lagoontally_"


class Histogram:
    """Counts of values up to each bound, in milliseconds."""

    __slots__ = ("counts", "total", "count")

    def __init__(self):
        self.counts = [0] * len(LATENCY_BOUNDS_MS)
        self.total = 0
        self.count = 0

    def add(self, value):
        """Count a value."""
        self.count += 1
        self.total += value
        for index, bound in enumerate(LATENCY_BOUNDS_MS):
            if value <= bound:
                self.counts[index] += 1
                return


class Metrics:
    """Counters by name and label, and histograms by name.

    Attributes:
        counts: Number by pairs of a name and a label's value.
        histograms: ``Histogram`` by name.
    """

    def __init__(self):
        self.counts = {}
        self.histograms = {}

    def add(self, name, kind, amount=1):
        """Count an event of some kind."""
        key = (name, kind)
        self.counts[key] = self.counts.get(key, 0) + amount

    def time(self, name, value_ms):
        """Count a duration."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.add(value_ms)

    def text(self, gauges):
        """Return everything in the text format.

        Args:
            gauges: Values of the moment, by name.
        """
        lines = [
            f'{_PREFIX}{name}{{kind="{kind}"}} {count}'
            for (name, kind), count in sorted(self.counts.items())
        ]
        lines += [
            f"{_PREFIX}{name} {value:g}"
            for name, value in sorted(gauges.items())
            if value is not None
        ]
        for name, histogram in sorted(self.histograms.items()):
            lines += _histogram_lines(_PREFIX + name + "_ms", histogram)
        return "\n".join(lines) + "\n"


def _histogram_lines(name, histogram):
    lines, below = [], 0
    for bound, count in zip(LATENCY_BOUNDS_MS, histogram.counts, strict=True):
        below += count
        lines.append(f'{name}_bucket{{le="{bound}"}} {below}')
    lines.append(f'{name}_bucket{{le="+Inf"}} {histogram.count}')
    lines.append(f"{name}_sum {histogram.total:g}")
    lines.append(f"{name}_count {histogram.count}")
    return lines
