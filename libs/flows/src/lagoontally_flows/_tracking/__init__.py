"""Flows that this balancer has seen lately."""

from ._evidence import (
    CONFIRMED,
    RETURNED,
    FlowHolder,
    Holder,
    HolderQuery,
    Holders,
)
from ._flow_holders import FlowHolders
from ._flow_table import STALL_AFTER_MS, FlowTable
from ._half_open_flows import HalfOpenFlows
from ._packet_recorder import PacketRecorder
from ._removed_routes import is_route_removed

__all__ = [
    "CONFIRMED",
    "FlowHolder",
    "FlowHolders",
    "FlowTable",
    "HalfOpenFlows",
    "Holder",
    "HolderQuery",
    "Holders",
    "PacketRecorder",
    "RETURNED",
    "STALL_AFTER_MS",
    "is_route_removed",
]
