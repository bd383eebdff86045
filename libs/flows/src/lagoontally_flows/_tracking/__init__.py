"""Flows that this balancer has seen lately."""

from ._flow_table import FlowTable
from ._half_open_flows import HalfOpenFlows
from ._packet_recorder import STALL_AFTER_MS, PacketRecorder
from ._removed_routes import is_route_removed

__all__ = [
    "STALL_AFTER_MS",
    "FlowTable",
    "HalfOpenFlows",
    "PacketRecorder",
    "is_route_removed",
]
