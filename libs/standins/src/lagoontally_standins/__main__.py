"""Command line of the stand-ins; ``up`` and ``run`` start the processes."""

import json
import signal
import sys
import threading
from pathlib import Path

import click
import requests

from ._deployment import HTTP_WAIT_S, OUTPUT_DIR, Deployment
from ._examples import EXAMPLE_BLOCK
from ._fabric import Fabric, load_fabric_settings, serve_fabric_control
from ._platform import Platform, serve_platform
from ._starts import Options
from ._upstream_process import (
    UpstreamProcess,
    load_upstream_settings,
    serve_upstream_control,
)

# What a shell reports of a process that SIGTERM has ended.
EXIT_ENDED = 143
SIGNAL_POLL_S = 0.5
SETTINGS_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
def main():
    """Stand-ins for the platform, the fabric and the upstreams."""


@main.command()
@click.option("--address", default="127.20.0.2:8500", show_default=True)
def platform(address):
    """Serve the platform until ended."""
    ended = EndSignal()
    server = serve_platform(address, Platform())
    print_ready()
    ended.wait()
    server.stop()


@main.command()
@click.argument("settings", type=SETTINGS_FILE)
def fabric(settings):
    """Run the fabric of a settings file until ended."""
    ended = EndSignal()
    loop = Fabric(load_fabric_settings(settings.read_text()))
    run_loop(loop, serve_fabric_control(loop), ended)


@main.command()
@click.argument("settings", type=SETTINGS_FILE)
def upstream(settings):
    """Run the upstream of a settings file until ended."""
    ended = EndSignal()
    loop = UpstreamProcess(load_upstream_settings(settings.read_text()))
    run_loop(loop, serve_upstream_control(loop), ended)


@main.command()
@click.option("--seed", default=1, show_default=True, help="Seed of all choices.")
@click.option("--no-balancers", is_flag=True, help="Start the stand-ins alone.")
@click.option("--work-ms", default=20.0, show_default=True)
@click.option("--notify-ms", default=1000.0, show_default=True)
def up(seed, no_balancers, work_ms, notify_ms):
    """Keep a whole deployment up until interrupted.

    It has the addresses of the examples and of docs/, unless another one does.
    """
    ended = EndSignal()
    options = Options(
        seed=seed,
        balancers=not no_balancers,
        work_ms=work_ms,
        notify_ms=notify_ms,
        block=EXAMPLE_BLOCK,
    )
    with Deployment(options) as deployment:
        link_latest(deployment.directory)
        click.echo(json.dumps(deployment.report()))
        ended.wait()


@main.command()
@click.argument("url")
@click.argument("file", type=click.File("rb"))
def put(url, file):
    """Send FILE to the publishing path or the control of a stand-in at URL.

    FILE may be - for standard input.
    """
    answer = requests.put(url, data=file.read(), timeout=HTTP_WAIT_S)
    if not answer.ok:
        raise click.ClickException(f"{url} answered {answer.status_code}")


@main.command()
@click.option("--seed", default=1, show_default=True, help="Seed of all choices.")
def run(seed):
    """Run callers against a whole deployment and audit the ledgers."""
    # Imported here because the other commands need no callers.
    from ._run import run as run_load

    end_by_exception()
    sys.exit(run_load(seed))


@main.command()
@click.option("--seed", default=1, show_default=True, help="Seed of all choices.")
@click.option(
    "--seconds",
    type=click.FloatRange(30.0, 300.0),
    default=280.0,
    show_default=True,
    help="How long it takes in all.",
)
@click.option("--kind", "kinds", multiple=True, help="Make only faults of this kind.")
def chaos(seed, seconds, kinds):
    """Make seeded faults in turn under load and audit the ledgers."""
    # Imported here because the other commands need no callers.
    from ._chaos import chaos as run_chaos
    from ._faults import FAULT_KINDS

    end_by_exception()
    unknown = sorted(set(kinds) - set(FAULT_KINDS))
    if unknown:
        raise click.BadParameter(f"{unknown} not in {FAULT_KINDS}")
    sys.exit(run_chaos(seed, seconds, kinds))


@main.command()
@click.option("--entry", required=True, help="IP:port of an entry address.")
@click.option("--requests", "requests_s", default=100.0, show_default=True)
@click.option("--commands", "commands_s", default=0.0, show_default=True)
@click.option("--lines", default=0, show_default=True)
@click.option("--flows", default=20, show_default=True)
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--resource", default="/pivot", show_default=True)
@click.option("--pid", type=int, help="Balancer whose CPU and memory are read.")
def load(**offer):
    """Offer requests and commands a second to an entry address, and lines."""
    # Imported here because the other commands need no callers.
    from ._direct_load import DirectLoad, Offer

    click.echo(json.dumps(DirectLoad(Offer(**offer)).run()))


def end_by_exception():
    """Let SIGTERM raise, so that a deployment ends its processes first."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_ENDED))


def link_latest(directory: Path) -> None:
    """Let ``.out/latest`` name a deployment's folder."""
    link = OUTPUT_DIR / "latest"
    link.unlink(missing_ok=True)
    link.symlink_to(directory.resolve())


def run_loop(loop, control, ended):
    """Run a loop in a thread until the process is told to end."""
    thread = threading.Thread(target=loop.run)
    thread.start()
    print_ready()
    ended.wait()
    control.stop()
    loop.inbox.submit(None)
    thread.join()


def print_ready():
    """Tell the parent process that this one serves."""
    click.echo(json.dumps({"ready": True}))
    sys.stdout.flush()


class EndSignal:
    """Set by an interrupt or a request to end."""

    def __init__(self):
        self.event = threading.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda *_: self.event.set())

    def wait(self):
        """Wait for the signal."""
        # A signal that another thread takes runs its handler only once the
        # main thread wakes, so the wait is cut into short ones.
        while not self.event.wait(SIGNAL_POLL_S):
            pass


if __name__ == "__main__":
    main()
