"""CPU time and memory of another process, from /proc."""

import os
from pathlib import Path
from typing import NamedTuple

TICKS_S = os.sysconf("SC_CLK_TCK")
KIB = 1024
# Fields of /proc/PID/stat, counted after the name, which may hold spaces.
USER_FIELD, SYSTEM_FIELD = 11, 12


class ProcessUse(NamedTuple):
    """What a process has used so far.

    Attributes:
        cpu_s: CPU time of all of its threads.
        rss_bytes: Memory that it holds at present.
        peak_rss_bytes: The most that it has held.
    """

    cpu_s: float
    rss_bytes: int
    peak_rss_bytes: int


def process_use(pid: int) -> ProcessUse:
    """Return what a process has used so far.

    Args:
        pid: Its process id.

    Returns:
        Its CPU time and memory.

    Raises:
        OSError: There is no such process.
    """
    folder = Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    status = (folder / "status").read_text().splitlines()
    sizes = dict(line.split(":", 1) for line in status)
    return ProcessUse(ticks / TICKS_S, _size(sizes, "VmRSS"), _size(sizes, "VmHWM"))


def _size(sizes, name):
    """Return a size that /proc gives in KiB."""
    return int(sizes.get(name, "0 kB").split()[0]) * KIB
