"""Command line of the soak test."""

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from lagoontally_standins.packets import release_network, reserve_network

from ._explain import unexplained_failures
from ._mutations import MUTATIONS
from ._run import soak

FIRST_NETWORK, NETWORK_COUNT = 2, 250


def reserve_seed_network(seed):
    """Reserve the loopback network of a seed.

    Raises:
        click.ClickException: It is in use.
    """
    network = FIRST_NETWORK + seed % NETWORK_COUNT
    try:
        return reserve_network([network])
    except LookupError:
        text = f"seed {seed} needs the network 127.{network}.0.0/16, which is in use"
        raise click.ClickException(text) from None


def run_seed(seed, seconds, balancers, keep, explain, mutation, planned):
    """Run one seed and return its report."""
    network = reserve_seed_network(seed)
    folder = keep and Path(keep) / f"seed-{seed}"
    try:
        run = soak(
            seed=seed,
            seconds=seconds,
            network=network,
            balancers=balancers,
            keep=folder,
            mutation=mutation,
            planned=planned,
        )
    finally:
        release_network(network)
    report = {
        "seed": seed,
        "requests": len(run.sent_requests),
        "outcomes": run.outcomes,
        "faults": run.faults.injected_counts,
        "violations": run.violations,
    }
    if explain:
        processes = len(run.deployment.balancers)
        report["failures"] = len(run.failures)
        report["unexplained"] = unexplained_failures(run.failures, folder, processes)
    return report


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--count", default=1, show_default=True, help="Number of seeds.")
@click.option(
    "--seconds", default=20.0, show_default=True, help="Duration of the faults."
)
@click.option(
    "--balancers", default=3, show_default=True, help="Balancers per data centre."
)
@click.option("--jobs", default=2, show_default=True, help="Seeds run in parallel.")
@click.option("--keep", type=click.Path(), help="Folder to keep settings and logs in.")
@click.option(
    "--explain", is_flag=True, help="Trace each failed request; needs --keep."
)
@click.option(
    "--mutation",
    type=click.Choice(list(MUTATIONS)),
    help="Run a broken build, which should be detected.",
)
@click.option(
    "--planned",
    is_flag=True,
    help="Draw planned work that overlaps, and odd entries, instead of faults.",
)
def main(seed, count, seconds, balancers, jobs, keep, explain, mutation, planned):
    """Run balancers under faults and check what callers and targets observe."""
    if explain and not keep:
        raise click.UsageError("--explain needs --keep, for the logs")
    failed = 0
    with ProcessPoolExecutor(jobs) as pool:
        runs = [
            pool.submit(
                run_seed,
                current,
                seconds,
                balancers,
                keep,
                explain,
                mutation,
                planned,
            )
            for current in range(seed, seed + count)
        ]
        for run in runs:
            report = run.result()
            failed += bool(report["violations"])
            click.echo(json.dumps(report))
    click.echo(f"{count - failed} seeds kept every promise, {failed} didn't")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
