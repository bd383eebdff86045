"""The balancer process: ``python -m lagoontally_daemon SETTINGS``."""

import sys
from pathlib import Path

import click

from lagoontally_model import Findings, parse_settings

from ._composition import compose

EXIT_FINDINGS = 1


@click.command()
@click.argument("settings_file", type=click.Path(exists=True, dir_okay=False))
def main(settings_file):
    """Run one balancer with the settings in SETTINGS_FILE.

    The process prints one line of JSON once it is ready. On SIGTERM or SIGINT
    it hands over its flows and exits.
    """
    settings = parse_settings(Path(settings_file).read_bytes())
    if isinstance(settings, Findings):
        for finding in settings.findings:
            click.echo(f"{finding.place}: {finding.reason}", err=True)
        sys.exit(EXIT_FINDINGS)
    balancer = compose(settings)
    balancer.install_signal_handlers()
    balancer.run()


if __name__ == "__main__":
    main()
