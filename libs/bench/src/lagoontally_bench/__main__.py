"""Runs the commands of the bench."""

from ._commands import main

if __name__ == "__main__":
    main()
