"""The command that searches for changes that balancers lose."""

import sys

import click

from ._lost_changes_plan import HONEST, PRESENT, make_plan
from ._lost_changes_search import play, shrink

KINDS = ((HONEST, False), (HONEST, True), (PRESENT, False))


@click.command("lost-changes")
@click.option("--first", default=0, help="First seed.")
@click.option("--seeds", default=100, help="Number of seeds.")
@click.option("--short", is_flag=True, help="Look for fewer events that fail, too.")
def lost_changes(first, seeds, short):
    """Play random changes and faults and print the seeds that lose a change."""
    failed = 0
    for seed in range(first, first + seeds):
        for named, one_copy in KINDS:
            plan = make_plan(seed, named, one_copy=one_copy)
            wrong = play(plan).wrong
            if wrong:
                failed += 1
                _print(plan, wrong, short=short)
    click.echo(f"{seeds * len(KINDS) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


def _print(plan, wrong, *, short):
    copies = "one copy" if plan.one_copy else "several copies"
    click.echo(f"seed {plan.seed}, old reads of {copies} name {plan.named}: {wrong}")
    for event in shrink(plan).events if short else ():
        click.echo(f"  {event.at_ms} ms {event.kind} {event.detail}")
