"""Counters and histograms in the Prometheus text format.

``prometheus_client`` takes 75 ms of CPU time at startup and 14 MB
(docs/PLATFORM.md), more than everything else in this process together.
"""

LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)
_PREFIX = "lagoontally_"


class Histogram:
    """A histogram of durations in milliseconds.

    Attributes:
        counts: Number of values in each bucket, not cumulative.
        total: Sum of all values.
        count: Number of all values.
    """

    __slots__ = ("counts", "total", "count")

    def __init__(self):
        self.counts = [0] * len(LATENCY_BOUNDS_MS)
        self.total = 0
        self.count = 0

    def observe(self, value):
        """Record a value."""
        self.count += 1
        self.total += value
        for index, bound in enumerate(LATENCY_BOUNDS_MS):
            if value <= bound:
                self.counts[index] += 1
                return


class Metrics:
    """The counters and histograms of the process.

    Attributes:
        counts: Counter values by pairs of a metric name and a ``kind`` label.
        histograms: ``Histogram`` by metric name.
    """

    def __init__(self):
        self.counts = {}
        self.histograms = {}

    def add(self, name, kind, amount=1):
        """Increment the counter of a name and a ``kind`` label."""
        key = (name, kind)
        self.counts[key] = self.counts.get(key, 0) + amount

    def observe_ms(self, name, value_ms):
        """Record a duration in the histogram of a name."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.observe(value_ms)

    def render(self, gauges):
        """Return all metrics in the Prometheus text format.

        Args:
            gauges: Current values by name; those that are None are left out.
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
    lines, cumulative = [], 0
    for bound, count in zip(LATENCY_BOUNDS_MS, histogram.counts, strict=True):
        cumulative += count
        lines.append(f'{name}_bucket{{le="{bound}"}} {cumulative}')
    lines.append(f'{name}_bucket{{le="+Inf"}} {histogram.count}')
    lines.append(f"{name}_sum {histogram.total:g}")
    lines.append(f"{name}_count {histogram.count}")
    return lines
