"""The command that explores the models of the protocols."""

import sys

import click

from ._explore import EXPLORATIONS, explore
from ._walk import walk

STATES_LIMIT = 300_000


@click.command("explore")
@click.option(
    "--states",
    default=STATES_LIMIT,
    help="Maximum number of states of each exploration.",
)
@click.option("--quick", is_flag=True, help="Run only the small explorations.")
@click.option(
    "--only", default="", help="Run only explorations whose name contains this."
)
@click.option("--walks", default=0, help="Random walks of each incomplete exploration.")
@click.option(
    "--seed", default=0, help="Seed of the order of moves; 0 for no shuffling."
)
@click.option("--length", default=60, help="Maximum number of moves of a walk.")
def explore_command(states, quick, only, walks, seed, length):
    """Explore small models of the protocols and print a summary of each."""
    chosen = [
        item for item in EXPLORATIONS if only in item.name and (item.quick or not quick)
    ]
    failed = 0
    for exploration in chosen:
        result = explore(exploration, states_limit=states, seed=seed)
        print_result(result)
        broken = result.report.violation is not None
        if walks and not result.report.complete and not broken:
            broken = print_walks(exploration, walks, length)
        failed += broken
    click.echo(f"{len(chosen) - failed} passed, {failed} failed")
    sys.exit(1 if failed or not chosen else 0)


def print_result(result):
    """Print the result of one exploration."""
    report = result.report
    extent = "all" if report.complete else "cut short"
    click.echo(
        f"{result.name}: {report.states} states ({extent}), {report.moves} moves,"
        f" depth {report.depth}, {result.seconds:.1f} s"
    )
    shown = ", ".join(f"{name} {count}" for name, count in report.outcomes.items())
    click.echo(f"  {shown}")
    if report.violation is not None:
        click.echo(f"  BROKEN: {report.violation.detail}")
        for move in report.violation.trace:
            click.echo(f"    {move}")


def print_walks(exploration, walks, length):
    """Follow random walks and return whether one breaks a promise."""
    report = walk(exploration.model(), walks=walks, length=length)
    click.echo(f"  {walks} walks, {report.steps} moves")
    if report.violation:
        click.echo(f"  BROKEN: {report.violation}")
    return bool(report.violation)


if __name__ == "__main__":
    explore_command()
