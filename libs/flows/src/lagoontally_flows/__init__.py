"""Decisions of a packet balancer, free of I/O, clocks and wire formats."""

from ._balancer import STALE_SYN_MS, Balancer
from ._cookie import NO_COOKIE, target_cookie
from ._effects import DealtAnew, FlowReset, Note
from ._health import (
    ACCEPTED,
    REFUSED,
    SILENT,
    UNCLEAR,
    Trial,
    Verdict,
)
from ._lifecycle import Lifecycle
from ._reading import WEAK_LINK_MBPS, Reading
from ._reading_records import (
    Beacon,
    Delta,
    FetchConfiguration,
    FetchTargets,
    List,
    ReadConfiguration,
    Watch,
)
from ._records import (
    ACK,
    FIN,
    RST,
    SYN,
    Configuration,
    Drop,
    Forward,
    Hold,
    Packet,
    Reset,
    Route,
    Target,
)
from ._stuck import ANSWERED, OWN, STUCK, UNANSWERED

__all__ = [
    "ACCEPTED",
    "ACK",
    "ANSWERED",
    "FIN",
    "NO_COOKIE",
    "REFUSED",
    "RST",
    "OWN",
    "SILENT",
    "STALE_SYN_MS",
    "STUCK",
    "SYN",
    "UNANSWERED",
    "UNCLEAR",
    "WEAK_LINK_MBPS",
    "Balancer",
    "Beacon",
    "Configuration",
    "DealtAnew",
    "Delta",
    "Drop",
    "FetchConfiguration",
    "FetchTargets",
    "FlowReset",
    "Forward",
    "Hold",
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
