"""The commands of ``python -m lagoontally_bench``."""

import click

from ._bench_command import bench
from ._capacity_command import capacity


@click.group()
def main():
    """Experiments and capacity measurements."""


main.add_command(bench)
main.add_command(capacity)
