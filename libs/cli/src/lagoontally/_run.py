"""The ``run`` command: runs a balancer."""

import click
import pynng

from lagoontally_model import Findings, parse_settings

from ._command import Command
from ._exit import ExitStatus
from ._text import findings_text


@click.command(
    cls=Command,
    examples=("lagoontally run examples/tifton-1.settings.json",),
)
@click.argument("settings", type=click.File("rb"))
@click.pass_context
def run(ctx, settings):
    """Run one balancer with the settings in the file SETTINGS.

    It prints one line of JSON once it serves. On SIGTERM, SIGINT or drain it
    hands over its flows and exits. The exit status is 1 if the settings have
    faults or one of their addresses can't be listened at.
    """
    parsed = parse_settings(settings.read())
    if isinstance(parsed, Findings):
        click.echo("\n".join(findings_text(parsed.findings)), err=True)
        ctx.exit(ExitStatus.FINDINGS)
    # Imported here because the other commands don't need the daemon's libraries.
    from lagoontally_daemon import compose

    try:
        balancer = compose(parsed)
    except (OSError, pynng.NNGException) as error:
        click.echo(f"Error: an address can't be listened at: {error}", err=True)
        ctx.exit(ExitStatus.FINDINGS)
    balancer.install_signal_handlers()
    balancer.run()
