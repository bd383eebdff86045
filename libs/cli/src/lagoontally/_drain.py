"""The command that lets a balancer leave."""

import json
import time

import click

from ._command import Command
from ._exit import ExitStatus
from ._operator import Declined, Unreachable, ask
from ._options import address_argument, json_option, seconds_option, timeout_option
from ._replies import Reply, show_failures
from ._text import describe

POLL_S = 0.2
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
@seconds_option("--wait", "wait_s", help="Wait so long until it no longer answers.")
@timeout_option
@click.pass_context
def drain(ctx, address, as_json, wait_s, timeout_s):
    """Let the balancer at ADDRESS hand over its flows and leave.

    With --wait the exit status is 1 where it still answers when the time is up.
    """
    answer = ask(address, "drain", timeout_s=timeout_s)
    result = show_failures([Reply(address, answer)])
    if isinstance(answer, Declined | Unreachable):
        ctx.exit(result)
    left = wait_s is None or wait_until_gone(address, wait_s)
    if wait_s is not None:
        answer = answer | {"left": left}
    click.echo(json.dumps(answer) if as_json else "\n".join(describe(answer)))
    ctx.exit(ExitStatus.FINE if left else ExitStatus.FINDINGS)


def wait_until_gone(address: str, wait_s: float) -> bool:
    """Wait until a balancer no longer answers.

    Returns:
        Whether it has gone by then.
    """
    until_s = time.monotonic() + wait_s
    while time.monotonic() < until_s:
        answer = ask(address, "status", timeout_s=POLL_TIMEOUT_S)
        if isinstance(answer, Unreachable):
            return True
        time.sleep(POLL_S)
    return False
