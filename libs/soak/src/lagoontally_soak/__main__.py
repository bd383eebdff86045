"""The soak's command line."""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from ._explain import unexplained
from ._mutations import MUTATIONS
from ._run import soak

FIRST_NETWORK, NETWORKS = 2, 250


def run_seed(seed, seconds, balancers, keep, explain, mutation):
    """Run one seed and return its report."""
    network = FIRST_NETWORK + seed % NETWORKS
    folder = keep and Path(keep) / f"seed-{seed}"
    run = soak(
        seed=seed,
        seconds=seconds,
        network=network,
        balancers=balancers,
        keep=folder,
        mutation=mutation,
    )
    report = {
        "seed": seed,
        "requests": len(run.asked),
        "outcomes": run.outcomes,
        "faults": run.faults.made,
        "violations": run.violations,
    }
    if explain:
        processes = len(run.deployment.balancers)
        report["failures"] = len(run.failures)
        report["unexplained"] = unexplained(run.failures, folder, processes)
    return report


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--count", default=1, show_default=True, help="Number of seeds.")
@click.option("--seconds", default=20.0, show_default=True, help="Time of faults.")
@click.option("--balancers", default=3, show_default=True, help="In a data centre.")
@click.option("--jobs", default=2, show_default=True, help="Seeds at the same time.")
@click.option("--keep", type=click.Path(), help="Keep settings and logs here.")
@click.option(
    "--explain", is_flag=True, help="Trace each failed request; needs --keep."
)
@click.option(
    "--mutation",
    type=click.Choice(list(MUTATIONS)),
    help="Run a broken build; it should be noticed.",
)
def main(seed, count, seconds, balancers, jobs, keep, explain, mutation):
    """Run balancers under faults and check what callers and targets see."""
    if explain and not keep:
        raise click.UsageError("--explain needs --keep, for the logs")
    broken = 0
    with ProcessPoolExecutor(jobs) as pool:
        runs = [
            pool.submit(run_seed, one, seconds, balancers, keep, explain, mutation)
            for one in range(seed, seed + count)
        ]
        for run in runs:
            report = run.result()
            broken += bool(report["violations"])
            click.echo(json.dumps(report))
    click.echo(f"{count - broken} seeds kept every promise, {broken} didn't")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
