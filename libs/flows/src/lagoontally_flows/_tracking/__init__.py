"""Flows that this balancer has seen lately."""

from ._flow_table import SEQUENCE_MASK, FlowTable
from ._half_open_flows import HalfOpenFlows

__all__ = [
    "SEQUENCE_MASK",
    "FlowTable",
    "HalfOpenFlows",
]
