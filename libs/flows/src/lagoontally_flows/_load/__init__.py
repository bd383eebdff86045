"""Where work goes when demand and targets are uneven."""

from ._answer_log import AnswerLog
from ._concurrency_limits import shortest_objectives
from ._data_centre_demand import DataCentreDemand
from ._load_advice import AdviceInForce
from ._load_messages import DemandDigest, LoadAdvice, LoadReport
from ._load_sharing import LoadSharing
from ._spill import spill_parts
from ._target_speeds import TargetSpeeds, slow_share

__all__ = [
    "AdviceInForce",
    "AnswerLog",
    "DataCentreDemand",
    "DemandDigest",
    "LoadAdvice",
    "LoadReport",
    "LoadSharing",
    "TargetSpeeds",
    "shortest_objectives",
    "slow_share",
    "spill_parts",
]
