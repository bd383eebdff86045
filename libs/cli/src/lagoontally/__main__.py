"""Lets ``python -m lagoontally`` run the operators' command."""

from ._main import main

if __name__ == "__main__":
    main(prog_name="lagoontally")
