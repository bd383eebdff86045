"""The commands of ``python -m lagoontally_bench``."""

import click

from ._bench_command import bench


@click.group()
def main():
    """Experiments and capacity measurements."""


main.add_command(bench)
