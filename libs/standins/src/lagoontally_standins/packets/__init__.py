"""Stand-ins for the platform on which targets are reached by UDP packets."""

from ._caller import Callers, Outcome
from ._deployment import GRACE_S, PEER_PORT, SERVICES, Deployment
from ._documents import bearing, target_entry
from ._loop import Loop
from ._network import release_network, reserve_network
from ._odd_entries import odd_entries, odd_keys
from ._process import BALANCER_PROGRAM
from ._proxy import DELAYED, ONE_WAY, PASS, RESET, SILENT, Proxy
from ._store import ANSWERING, BUSY, RESETTING, Store
from ._store import SILENT as STORE_SILENT
from ._target import Run, Target
from ._virtual_store import LONG_AGO_MS, VirtualStore, parse_request
from ._wire import encode as encode_packet

__all__ = [
    "ANSWERING",
    "BALANCER_PROGRAM",
    "BUSY",
    "DELAYED",
    "GRACE_S",
    "LONG_AGO_MS",
    "ONE_WAY",
    "PASS",
    "PEER_PORT",
    "RESET",
    "RESETTING",
    "SERVICES",
    "SILENT",
    "STORE_SILENT",
    "Callers",
    "Deployment",
    "Loop",
    "Outcome",
    "Proxy",
    "Run",
    "Store",
    "Target",
    "VirtualStore",
    "bearing",
    "encode_packet",
    "odd_entries",
    "odd_keys",
    "parse_request",
    "release_network",
    "reserve_network",
    "target_entry",
]
