"""Records and JSON with a low startup cost.

A balancer that restarts after a failure serves no packets while it imports modules.
On the smallest instances (0.116 of a core) each millisecond of CPU time takes nine
milliseconds. docs/PLATFORM.md has the figures of the modules that these replace.
"""

from ._json_codec import dumps, loads
from ._record import Record

__all__ = ["Record", "dumps", "loads"]
