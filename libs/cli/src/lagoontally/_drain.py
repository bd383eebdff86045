"""The ``drain`` command: makes a balancer leave."""

import json
import time

import click

from ._command import Command
from ._exit import ExitStatus
from ._operator import Declined, Unreachable, send_query
from ._options import address_argument, json_option, seconds_option, timeout_option
from ._replies import Reply, show_failures
from ._text import format_value

POLL_INTERVAL_S = 0.2
POLL_TIMEOUT_S = 1.0


@click.command(
    cls=Command,
    examples=(
        "lagoontally drain 127.20.10.1:7947",
        "lagoontally drain 127.20.10.1:7947 --wait 30",
    ),
)
@address_argument
@json_option
@seconds_option(
    "--wait", "wait_s", help="Wait up to this long until it no longer answers."
)
@timeout_option
@click.pass_context
def drain(ctx, address, as_json, wait_s, timeout_s):
    """Make the balancer at ADDRESS hand over its flows and leave.

    With --wait, the exit status is 1 if it still answers when the time is up.
    """
    answer = send_query(address, "drain", timeout_s=timeout_s)
    result = show_failures([Reply(address, answer)])
    if isinstance(answer, Declined | Unreachable):
        ctx.exit(result)
    left = wait_s is None or wait_until_gone(address, wait_s)
    if wait_s is not None:
        answer = answer | {"left": left}
    click.echo(json.dumps(answer) if as_json else "\n".join(format_value(answer)))
    ctx.exit(ExitStatus.SUCCESS if left else ExitStatus.FINDINGS)


def wait_until_gone(address: str, wait_s: float) -> bool:
    """Wait until a balancer can no longer be reached.

    Returns:
        Whether it became unreachable in time.
    """
    deadline_s = time.monotonic() + wait_s
    while time.monotonic() < deadline_s:
        answer = send_query(address, "status", timeout_s=POLL_TIMEOUT_S)
        if isinstance(answer, Unreachable):
            return True
        time.sleep(POLL_INTERVAL_S)
    return False
