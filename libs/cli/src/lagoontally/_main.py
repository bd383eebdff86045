"""The group of all commands."""

import click
from click.shell_completion import get_completion_class

from ._check import check
from ._command import Command, Group
from ._drain import drain
from ._explain import explain
from ._render import render
from ._run import run
from ._status import status
from ._trace import trace

PROGRAM = "lagoontally"
COMPLETION_VARIABLE = "_LAGOONTALLY_COMPLETE"
SHELLS = ("bash", "zsh", "fish")


@click.group(
    cls=Group,
    context_settings={"help_option_names": ["-h", "--help"]},
    examples=(
        "lagoontally check filled.json --against http://127.20.0.2:8500",
        "lagoontally status 127.20.10.1:7947 --watch 2",
    ),
)
def main():
    """Run a balancer, check and render templates, and query balancers.

    The exit status is 0 when all is fine, 1 with findings or where the balancer
    can't meet the request, 2 on wrong usage, and 3 where the balancer or the
    platform can't be reached.
    """


@main.command(
    cls=Command,
    examples=("source <(lagoontally completion bash)",),
)
@click.argument("shell", type=click.Choice(SHELLS))
def completion(shell):
    """Print the completion script of a shell."""
    kind = get_completion_class(shell)
    click.echo(kind(main, {}, PROGRAM, COMPLETION_VARIABLE).source())


for command in (run, check, render, status, explain, trace, drain):
    main.add_command(command)
