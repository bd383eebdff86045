"""Stand-ins of the users' platform, and a soak of real balancers under faults."""

from ._caller import Callers, Outcome
from ._deployment import GRACE_S, PEER_PORT, Deployment
from ._loop import Loop
from ._proxy import DELAYED, ONE_WAY, PASS, RESET, SILENT, Proxy
from ._store import ANSWERING, BUSY, Store
from ._target import Run, Target

__all__ = [
    "ANSWERING",
    "BUSY",
    "DELAYED",
    "GRACE_S",
    "ONE_WAY",
    "PASS",
    "PEER_PORT",
    "RESET",
    "SILENT",
    "Callers",
    "Deployment",
    "Loop",
    "Outcome",
    "Proxy",
    "Run",
    "Store",
    "Target",
]
