"""The command that runs the fault matrix."""

import sys
from collections import defaultdict
from pathlib import Path

import click

from ._matrix import FAULTS, STEPS, Cell, Injection, pair_cells, run_cells, single_cells
from ._mutations import MUTATIONS

DEFAULT_WORKERS = 4
MUTATION_INJECTIONS = (
    Injection("balancer killed", "at the upstream"),
    Injection("balancer killed", "at the home"),
    Injection("upstream silent", "at the upstream"),
    Injection("balancer leaves", "notification on its way"),
    Injection("template stale", "template taking effect"),
    Injection("doubling", "relayed"),
    Injection("callers rebound", "at the upstream"),
)


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the scenario.")
@click.option("--twice", is_flag=True, help="Inject each fault twice.")
@click.option("--pairs", default=0, help="Also run this many random pairs of faults.")
@click.option("--workers", default=DEFAULT_WORKERS, show_default=True)
@click.option("--table", type=click.Path(), help="Write the table to this file.")
def matrix(seed, twice, pairs, workers, table):
    """Inject every fault at every step and check every promise."""
    cells = single_cells(seed, times=2 if twice else 1) + pair_cells(seed, pairs)
    results = list(run_cells(cells, workers=workers))
    failed = [result for result in results if result.breaches or not result.injected]
    for result in failed:
        print_failure(result)
    text = table_text(results[: len(FAULTS) * len(STEPS)])
    if table:
        Path(table).write_text(text)
    else:
        click.echo(text)
    click.echo(f"{len(results) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the scenario.")
@click.option("--workers", default=DEFAULT_WORKERS, show_default=True)
def mutations(seed, workers):
    """Inject some faults with each mutation of the core, which must be detected."""
    detected = run_mutations(seed, workers=workers)
    for name, promises in detected.items():
        detected_text = ", ".join(sorted(promises)) or "NOT DETECTED"
        click.echo(f"{name}: {detected_text}")
    undetected = sum(not promises for promises in detected.values())
    click.echo(f"{len(detected) - undetected} passed, {undetected} failed")
    sys.exit(1 if undetected else 0)


def run_mutations(seed, *, workers):
    """Return the promises whose breach was detected, by mutation."""
    cells = [
        Cell(seed, (injection,), mutation)
        for mutation in MUTATIONS
        for injection in MUTATION_INJECTIONS
    ]
    detected = {mutation: set() for mutation in MUTATIONS}
    for result in run_cells(cells, workers=workers):
        promises = {breach.promise for breach in result.breaches}
        detected[result.cell.mutation] |= promises
    return detected


def print_failure(result):
    """Print the seed, the name and the breaches of a failed cell."""
    click.echo(f"seed {result.cell.seed}: {result.cell.name}")
    if not result.injected:
        click.echo("    the step was never reached")
    for breach in result.breaches:
        click.echo(f"    {breach.promise}: {breach.detail}")


def table_text(results):
    """Return the table of faults by steps as Markdown."""
    rows = defaultdict(dict)
    for result in results:
        injection = result.cell.injections[0]
        promises = sorted({breach.promise for breach in result.breaches})
        share = f"{result.answered}/{result.completed}"
        rows[injection.fault][injection.step] = "; ".join(promises) or share
    steps = [step.name for step in STEPS]
    lines = [_row("fault", steps), _row("---", ["---"] * len(steps))]
    for fault, cells in rows.items():
        lines.append(_row(fault, [cells.get(step, "") for step in steps]))
    return "\n".join(lines) + "\n"


def _row(first, others):
    return "| " + " | ".join([first, *others]) + " |"
