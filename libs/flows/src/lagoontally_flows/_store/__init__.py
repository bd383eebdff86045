"""What the platform's store says, and which balancer reads it."""

from ._call_timing import SLOW_LINK_MBPS
from ._configuration_delta import (
    ConfigurationDelta,
    ConfigurationDeltas,
    configuration_delta,
)
from ._evacuations import (
    BY_PEER,
    BY_READER,
    BY_REPLY,
    Evacuated,
    Evacuation,
    EvacuationChange,
    Evacuations,
)
from ._history import (
    ALL_CHANGES,
    BEGAN,
    CURRENT,
    ENDED,
    ListingRules,
    Position,
    StoreHistory,
)
from ._parts import PartCollector
from ._relays import RelayAck, Relayed, Relays
from ._sync import StoreSync
from ._sync_records import (
    Beacon,
    Delta,
    FetchConfiguration,
    FetchTargets,
    ListTargets,
    ReadConfiguration,
    Watch,
)
from ._target_buckets import (
    BUCKETS,
    BucketDigests,
    differing,
    in_buckets,
    replace_buckets,
)
from ._target_updates import TargetUpdate, expand, shorten
from ._version_check import Heard, InForce, VersionCheck

__all__ = [
    "ALL_CHANGES",
    "BEGAN",
    "BUCKETS",
    "BucketDigests",
    "BY_PEER",
    "BY_READER",
    "BY_REPLY",
    "Beacon",
    "CURRENT",
    "ConfigurationDelta",
    "ConfigurationDeltas",
    "Delta",
    "ENDED",
    "Evacuated",
    "Evacuation",
    "EvacuationChange",
    "Evacuations",
    "FetchConfiguration",
    "FetchTargets",
    "Heard",
    "InForce",
    "ListTargets",
    "ListingRules",
    "PartCollector",
    "Position",
    "ReadConfiguration",
    "RelayAck",
    "Relayed",
    "Relays",
    "SLOW_LINK_MBPS",
    "StoreHistory",
    "StoreSync",
    "TargetUpdate",
    "VersionCheck",
    "Watch",
    "configuration_delta",
    "differing",
    "expand",
    "in_buckets",
    "replace_buckets",
    "shorten",
]
