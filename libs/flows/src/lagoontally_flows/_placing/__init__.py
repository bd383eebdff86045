"""Selection of the target of a new flow."""

from ._demand import Demand, is_cut_off
from ._target_selector import TargetSelector

__all__ = [
    "Demand",
    "TargetSelector",
    "is_cut_off",
]
