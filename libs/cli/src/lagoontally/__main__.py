"""Runs the command line with ``python -m lagoontally``."""

from ._main import main

if __name__ == "__main__":
    main(prog_name="lagoontally")
