"""Selection of the target of a new flow."""

from ._demand import Demand, is_cut_off
from ._flow_placer import PLACED, FlowPlacer
from ._placement import select_target
from ._target_order import target_order
from ._target_selector import TargetSelector
from ._warm_up_budgets import WarmUpBudgets

__all__ = [
    "Demand",
    "FlowPlacer",
    "PLACED",
    "TargetSelector",
    "WarmUpBudgets",
    "is_cut_off",
    "select_target",
    "target_order",
]
