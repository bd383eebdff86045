"""Plots of an experiment's results."""

from collections import defaultdict

import matplotlib as mpl

mpl.use("Agg")
mpl.rcParams["svg.hashsalt"] = "lagoontally"

from matplotlib import pyplot as plt  # noqa: E402

WIDTH_IN = 14
PANEL_IN = 3.2
LOAD_MEASURES = (
    ("p50_ms", "p50 (ms)"),
    ("p99_ms", "p99 (ms)"),
    ("p999_ms", "p99.9 (ms)"),
    ("jobs_imbalance", "max over mean of jobs"),
)


def plot_loads(results, path):
    """Plot each measure against the load, by service and policy."""
    rows = _group(results, lambda item: (item.service, item.work, item.condition))
    figure, axes = _panels(len(rows), len(LOAD_MEASURES))
    for (key, items), row in zip(rows.items(), axes, strict=True):
        for (measure, label), panel in zip(LOAD_MEASURES, row, strict=True):
            _plot_measure(items, measure, panel)
            panel.set_title(f"{' / '.join(key)}", fontsize=8)
            panel.set_ylabel(label, fontsize=8)
            panel.set_xlabel("offered load", fontsize=8)
    _save(figure, axes, path)


def _plot_measure(items, measure, panel):
    for policy, chosen in _group(items, lambda item: item.policy).items():
        loads = [item.load for item in chosen]
        values = [getattr(item, measure) for item in chosen]
        panel.plot(loads, values, marker="o", markersize=3, label=policy)
    panel.set_yscale("log")


def plot_time(results, path):
    """Plot latency and imbalance over time, by condition and policy."""
    rows = _group(results, lambda item: (item.service, item.condition, str(item.load)))
    figure, axes = _panels(len(rows), 2)
    for (key, items), row in zip(rows.items(), axes, strict=True):
        for item in items:
            times = [point.at_s for point in item.curve]
            row[0].plot(times, [p.p99_ms for p in item.curve], label=item.policy)
            row[1].plot(times, [p.imbalance for p in item.curve], label=item.policy)
        row[0].set_yscale("log")
        row[0].set_ylabel("p99 (ms)", fontsize=8)
        row[1].set_ylabel("max over mean of jobs", fontsize=8)
        for panel in row:
            panel.set_title(" / ".join(key), fontsize=8)
            panel.set_xlabel("time (s)", fontsize=8)
    _save(figure, axes, path)


def _group(items, key):
    groups = defaultdict(list)
    for item in items:
        groups[key(item)].append(item)
    return groups


def _panels(rows, columns):
    return plt.subplots(
        rows, columns, figsize=(WIDTH_IN, PANEL_IN * rows), squeeze=False
    )


def _save(figure, axes, path):
    handles, labels = axes[0][0].get_legend_handles_labels()
    figure.tight_layout(rect=(0, 0, 0.87, 1))
    figure.legend(handles, labels, loc="center right", fontsize=8)
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)
