"""The ``capacity`` command: measures slopes and writes them as JSON."""

from pathlib import Path

import click
import msgspec

from ._capacity import measure, slope

SLOPES = (
    ("flows", "flows", "echo_us"),
    ("flows", "flows", "open_us"),
    ("flows", "flows", "command_us"),
    ("flows", "flows", "read_us"),
    ("flows", "flows", "notify_us"),
    ("flows", "flows", "tick_us"),
    ("flows", "flows", "upkeep_us"),
    ("flows", "flows", "refresh_us"),
    ("members", "members", "second_us"),
    ("members", "members", "quiet_bytes"),
    ("members", "members", "welcome_bytes"),
    ("templates", "targets", "document_bytes"),
    ("templates", "targets", "adopt_us"),
)


@click.command("capacity")
@click.option("--quick", is_flag=True, help="Small sizes, for a first look.")
@click.option("--out", default=".out/capacity.json", help="File of the result.")
def capacity(quick, out):
    """Measure what a balancer costs at three sizes of each kind."""
    result = measure(quick=quick)
    result["slopes"] = {
        f"{measure_name} by {size}": slope(result[group], size, measure_name)
        for group, size, measure_name in SLOPES
    }
    path = Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
    _print(result)


def _print(result):
    for group in ("flows", "members", "templates"):
        for row in result[group]:
            click.echo("  ".join(f"{name} {value}" for name, value in row.items()))
    for name, (gradient, intercept) in result["slopes"].items():
        click.echo(f"{name}: {intercept:.4g} + {gradient:.4g} each")
