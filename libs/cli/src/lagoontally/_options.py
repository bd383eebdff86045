"""Arguments and options shared by several commands."""

import click

from ._operator import ANSWER_TIMEOUT_S, OperatorAddress

address_argument = click.argument("address", type=OperatorAddress())
addresses_argument = click.argument(
    "addresses",
    metavar="ADDRESS...",
    type=OperatorAddress(),
    nargs=-1,
    required=True,
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
timeout_option = click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(min=0, min_open=True),
    default=ANSWER_TIMEOUT_S,
    show_default=True,
    metavar="SECONDS",
    help="How long to wait for an answer.",
)


def seconds_option(*names, **attributes):
    """Return an option that takes a positive number of seconds."""
    kind = click.FloatRange(min=0, min_open=True)
    return click.option(*names, type=kind, metavar="SECONDS", **attributes)


def fleet_options(command):
    """Add the options that query all known members too."""
    fleet = click.option(
        "--fleet",
        "whole_fleet",
        is_flag=True,
        help="Ask every member that the balancers know, too.",
    )
    settings = click.option(
        "--settings-dir",
        type=click.Path(exists=True, file_okay=False),
        help="With --fleet: folder of the balancers' settings files, which name"
        " their operator addresses.",
    )
    return fleet(settings(command))
