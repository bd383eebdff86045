"""Records and JSON that cost little when a process starts.

A balancer that starts again after a fault serves nobody while it imports. On the
smallest instances (0.116 of a core) each millisecond of processor time is nine of
waiting. docs/PLATFORM.md has the figures for what these modules stand in for.
"""

from ._json_codec import dumps, loads
from ._record import Record

__all__ = ["Record", "dumps", "loads"]
