"""Exit statuses of the command; click itself ends with 2 on wrong usage."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What the command's exit status says."""

    FINE = 0
    FINDINGS = 1
    USAGE = 2
    UNREACHABLE = 3
