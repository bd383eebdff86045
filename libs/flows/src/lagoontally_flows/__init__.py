"""Decisions of a packet balancer, free of I/O, clocks and wire formats."""

from ._balancer import Balancer
from ._cookie import NO_COOKIE, target_cookie
from ._effects import FlowReset, Note
from ._health import Trial, Verdict
from ._lifecycle import Lifecycle
from ._reading import Beacon, FetchView, List, ReadConfiguration, Reading, Watch
from ._records import (
    ACK,
    FIN,
    RST,
    SYN,
    Configuration,
    Drop,
    Forward,
    Packet,
    Reset,
    Route,
    Target,
)

__all__ = [
    "ACK",
    "FIN",
    "NO_COOKIE",
    "RST",
    "SYN",
    "Balancer",
    "Beacon",
    "Configuration",
    "Drop",
    "FetchView",
    "FlowReset",
    "Forward",
    "Lifecycle",
    "List",
    "Note",
    "Packet",
    "ReadConfiguration",
    "Reading",
    "Reset",
    "Route",
    "Target",
    "Trial",
    "Verdict",
    "Watch",
    "target_cookie",
]
