"""Counters and latency histograms, exported to statsd."""

from collections import Counter
from threading import Lock

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from ._datagrams import split_address

FLUSH_INTERVAL_S = 1.0
MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 120_000
SIGNIFICANT_DIGITS = 2
_STATSD_REPLACEMENTS = str.maketrans(
    {":": "_", "|": "_", "@": "_", "/": ".", "\n": "_"}
)


def new_histogram():
    """Create an empty histogram of latencies in milliseconds."""
    return HdrHistogram(MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)


def summarize(histogram):
    """Return the number of values and the percentiles of a histogram as a dict."""
    return {
        "count": histogram.get_total_count(),
        "p50": histogram.get_value_at_percentile(50),
        "p99": histogram.get_value_at_percentile(99),
    }


def build_snapshot(counters, histograms):
    """Build a JSON-serializable snapshot of counters and histograms.

    Args:
        counters: Value by name.
        histograms: ``HdrHistogram`` by ``service/kind``.

    Returns:
        ``counters``, ``latency_ms`` and the encoded ``histograms``.
    """
    return {
        "counters": dict(counters),
        "latency_ms": {name: summarize(item) for name, item in histograms.items()},
        "histograms": {
            name: item.encode().decode("ascii") for name, item in histograms.items()
        },
    }


def merge_snapshots(snapshots):
    """Merge the snapshots of several balancers into one of the same format."""
    counters = Counter()
    histograms = {}
    for snapshot in snapshots:
        counters.update(snapshot["counters"])
        for name, encoded in snapshot["histograms"].items():
            merged = histograms.setdefault(name, new_histogram())
            merged.decode_and_add(encoded)
    return build_snapshot(counters, histograms)


class Metrics:
    """Keeps counters and histograms in memory and sends them to statsd.

    Args:
        address: ``IP:port`` of statsd, or None to keep metrics in memory only.
        prefix: Prefix of the metric names in statsd.
    """

    def __init__(self, *, address, prefix):
        self.lock = Lock()
        self.counters = Counter()
        self.unsent = Counter()
        self.histograms = {}
        self.unsent_histograms = {}
        self.client = open_client(address, prefix)

    def count(self, action):
        """Add the value of a ``Count``."""
        with self.lock:
            self.counters[action.name] += action.value
            self.unsent[action.name] += action.value

    def record(self, action):
        """Add the latency of a ``RecordLatency`` to its histogram."""
        name = f"{action.service}/{action.kind}"
        latency_ms = min(max(action.latency_ms, MIN_LATENCY_MS), MAX_LATENCY_MS)
        with self.lock:
            for histograms in (self.histograms, self.unsent_histograms):
                if name not in histograms:
                    histograms[name] = new_histogram()
                histograms[name].record_value(latency_ms)

    def snapshot(self):
        """Return all counters and histograms in JSON-serializable form."""
        with self.lock:
            return build_snapshot(self.counters, self.histograms)

    def run(self, stop):
        """Flush to statsd once a second until ``stop`` is set."""
        while not stop.wait(FLUSH_INTERVAL_S):
            self.flush()
        self.flush()

    def flush(self):
        """Send the counts and latency percentiles since the last flush."""
        with self.lock:
            counters, self.unsent = self.unsent, Counter()
            histograms, self.unsent_histograms = self.unsent_histograms, {}
        if self.client is None or not (counters or histograms):
            return
        with self.client.pipeline() as pipeline:
            for name, value in counters.items():
                pipeline.incr(name.translate(_STATSD_REPLACEMENTS), value)
            for name, histogram in histograms.items():
                for field, value in summarize(histogram).items():
                    stat = f"latency_ms.{name}.{field}"
                    pipeline.gauge(stat.translate(_STATSD_REPLACEMENTS), value)

    def close(self):
        """Close the socket to statsd; call it once ``run`` has returned."""
        if self.client is not None:
            self.client.close()


def open_client(address, prefix):
    """Return a statsd client, or None without a valid address."""
    host_and_port = split_address(address) if address else None
    if host_and_port is None:
        return None
    host, port = host_and_port
    return StatsClient(host, port, prefix=prefix)
