"""Division of a data centre's new flows when its own targets can't bear them.

Covers a data centre whose callers multiply, or that loses targets, while others have
slots free. All data centres divide by the same rule: the one that has more demand
than its part gives, the one that has less takes, and none does both, so that two never
swap their load.
"""

FULL_LOAD = 0.7  # of the slots; above it requests begin to wait for each other
UNKNOWN_LOAD = 0.4  # of the slots of a data centre that wasn't heard of
START_LOAD = 0.75


def spill_parts(own, capacities, demands):
    """Return which part of its new flows a data centre sends to each other one.

    Args:
        own: The data centre.
        capacities: Slots of usable targets by data centre; slow ones count in part.
        demands: Slots that callers keep busy by data centre. One that isn't in it
            counts as an average one: unknown, not idle.

    Returns:
        Parts of the new flows by data centre, without the own one; empty if all stay.
    """
    demand = demands.get(own, 0.0)
    if demand <= 0:
        return {}
    known = _known_demands(capacities, demands)
    if sum(capacities.values()) <= 0:
        return {}
    load = max(FULL_LOAD, total_load(capacities, demands))
    free = {
        name: load * size - known[name]
        for name, size in capacities.items()
        if name != own and load * size > known[name]
    }
    excess = demand - load * capacities.get(own, 0)
    if excess <= 0 or not free:
        return {}
    spilled = min(excess, sum(free.values())) / demand
    return {name: spilled * size / sum(free.values()) for name, size in free.items()}


def total_load(capacities, demands):
    """Return the load of all data centres together, as a part of their slots.

    Args:
        capacities: Slots of usable targets by data centre.
        demands: Slots that callers keep busy by data centre; see ``spill_parts``.
    """
    total = sum(capacities.values())
    if total <= 0:
        return 0.0
    return sum(_known_demands(capacities, demands).values()) / total


def _known_demands(capacities, demands):
    """Return the demands, with average ones where nothing was heard."""
    unknown = {name: UNKNOWN_LOAD * size for name, size in capacities.items()}
    return unknown | demands
