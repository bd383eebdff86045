"""The ``bench`` command: runs experiments, writes results and plots."""

from pathlib import Path

import click
import msgspec

from ._experiment import read_experiment
from ._plots import plot_loads, plot_time
from ._runs import run_experiment

ROW_FORMAT = (
    "{:<12} {:>4} {:<11} {:<12} {:<18} {:>7} {:>7} {:>7} {:>7} "
    "{:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>6}"
)
COLUMN_TITLES = (
    "service",
    "load",
    "work",
    "condition",
    "policy",
    "p50",
    "p99",
    "p99.9",
    "wait",
    "jobs",
    "busy",
    "shed",
    "refus",
    "lost",
    "ampl",
    "recov",
    "cmd p99",
    "cmd -",
)


@click.command("bench")
@click.argument("experiments", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("--out", default=".out/bench", help="Folder of the JSON results.")
@click.option("--plots", default=None, help="Folder of the plots; none without it.")
@click.option("--workers", default=2, help="Runs at the same time.")
def bench(experiments, out, plots, workers):
    """Run EXPERIMENTS, each a JSON file, and compare their policies."""
    for path in experiments:
        experiment = read_experiment(path)
        results = run_experiment(experiment, workers=workers)
        _print(experiment, results)
        _write(experiment, results, Path(out))
        if plots:
            _plot(experiment, results, Path(plots))


def _print(experiment, results):
    click.echo(f"{experiment.name}: seed {experiment.seed}")
    click.echo(ROW_FORMAT.format(*COLUMN_TITLES))
    for item in results:
        click.echo(
            ROW_FORMAT.format(
                item.service,
                item.load,
                item.work,
                item.condition,
                item.policy,
                item.p50_ms,
                item.p99_ms,
                item.p999_ms,
                item.wait_p99_ms,
                item.jobs_imbalance,
                item.busy_imbalance,
                item.shed,
                item.refused,
                item.timed_out,
                round(item.amplification, 2),
                item.recovery_s,
                item.command_p99_ms,
                item.commands_failed,
            )
        )


def _write(experiment, results, folder):
    folder.mkdir(parents=True, exist_ok=True)
    document = {
        "experiment": {
            **experiment._asdict(),
            "fleets": _plain(experiment.fleets),
            "conditions": _plain(experiment.conditions),
        },
        "results": _plain(results),
    }
    encoded = msgspec.json.format(msgspec.json.encode(document), indent=1)
    (folder / f"{experiment.name}.json").write_bytes(encoded)


def _plain(results):
    return [item._asdict() for item in results]


def _plot(experiment, results, folder):
    folder.mkdir(parents=True, exist_ok=True)
    if len(experiment.loads) > 1:
        plot_loads(results, folder / f"{experiment.name}.svg")
    else:
        plot_time(results, folder / f"{experiment.name}.svg")
