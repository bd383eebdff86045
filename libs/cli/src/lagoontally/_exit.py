"""Exit statuses of the commands; click itself exits with 2 on wrong usage."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a command."""

    SUCCESS = 0
    FINDINGS = 1
    USAGE = 2
    UNREACHABLE = 3
