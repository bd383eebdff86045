"""Decisions of a packet balancer, free of I/O, clocks and wire formats."""

from ._balancer import STALE_SYN_MS, Balancer
from ._call_timing import SLOW_LINK_MBPS
from ._configuration_delta import (
    ConfigurationDelta,
    ConfigurationDeltas,
    configuration_delta,
)
from ._cookie import NO_COOKIE, target_cookie
from ._digest import digest
from ._effects import DealtAnew, FlowReset, LogEvent
from ._health import (
    ACCEPTED,
    REFUSED,
    SILENT,
    UNCLEAR,
    Probe,
    Verdict,
)
from ._lifecycle import Lifecycle
from ._membership import Hello, Joined, Members, Membership
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
from ._store_history import (
    ALL_CHANGES,
    BEGAN,
    CURRENT,
    ENDED,
    ListingRules,
    Position,
)
from ._store_sync import StoreSync
from ._store_sync_records import (
    Beacon,
    Delta,
    FetchConfiguration,
    FetchTargets,
    ListTargets,
    ReadConfiguration,
    Watch,
)
from ._stuck_targets import ANSWERED, STUCK, THIS_BALANCER, UNANSWERED

__all__ = [
    "ACCEPTED",
    "ACK",
    "ALL_CHANGES",
    "ANSWERED",
    "BEGAN",
    "CURRENT",
    "ENDED",
    "FIN",
    "NO_COOKIE",
    "REFUSED",
    "RST",
    "SILENT",
    "SLOW_LINK_MBPS",
    "STALE_SYN_MS",
    "STUCK",
    "SYN",
    "THIS_BALANCER",
    "UNANSWERED",
    "UNCLEAR",
    "Balancer",
    "Beacon",
    "Configuration",
    "ConfigurationDelta",
    "ConfigurationDeltas",
    "DealtAnew",
    "Delta",
    "Drop",
    "FetchConfiguration",
    "FetchTargets",
    "FlowReset",
    "Forward",
    "Hello",
    "Hold",
    "Joined",
    "Lifecycle",
    "ListTargets",
    "ListingRules",
    "LogEvent",
    "Members",
    "Membership",
    "Packet",
    "Position",
    "Probe",
    "ReadConfiguration",
    "Reset",
    "Route",
    "StoreSync",
    "Target",
    "Verdict",
    "Watch",
    "configuration_delta",
    "digest",
    "target_cookie",
]
