"""Flows that this balancer has seen lately."""

from ._flow_table import FlowTable
from ._half_open_flows import HalfOpenFlows

__all__ = [
    "FlowTable",
    "HalfOpenFlows",
]
