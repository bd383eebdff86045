"""Which service and which target get a new flow.

Answers the loads of a release, a burst and a move of callers between data
centres. Flows go to the target with the fewest flows a slot, where one that warms
up counts as fuller. Targets of the own data centre come first, since a cut
between data centres leaves their flows alone; but a data centre whose targets
have less than their part of all slots sends some of its flows to those that have
more, or its few targets would be overrun.
"""

WARM_UP_WEIGHT = 1.6  # requests take this much longer on a cold target
LOCAL_OVERLOAD = 1.25  # load that staying local is worth, over an even spread


def select_service(shares, has_targets, draw):
    """Return the service that a new flow goes to.

    Args:
        shares: Pairs of a service and its weight.
        has_targets: Function of a service that tells whether it can take flows.
        draw: Random number from 0 up to 1.

    Returns:
        A service drawn by weight from those that can take flows, else None.
    """
    usable = [(service, weight) for service, weight in shares if has_targets(service)]
    if not usable:
        return None
    return _weighted_pick(usable, draw)


def select_target(candidates, *, load, data_centre, data_centres, draw, tie_break):
    """Return the target for a new flow.

    Args:
        candidates: ``Target`` records, none of them dead.
        load: Function of a target: number of this balancer's flows on it.
        data_centre: This balancer's data centre.
        data_centres: All data centres, each with about as many callers.
        draw: Random number from 0 up to 1.
        tie_break: Function of a target that orders equals, other on each balancer.

    Returns:
        A ``Target``, or None without candidates.
    """
    capacity = {}
    for target in candidates:
        location = target.data_centre
        capacity[location] = capacity.get(location, 0) + _capacity(target)
    if not capacity:
        return None
    location = _weighted_pick(
        _data_centre_shares(capacity, data_centre, len(data_centres)), draw
    )
    return min(
        (target for target in candidates if target.data_centre == location),
        key=lambda target: ((load(target) + 1) / _capacity(target), tie_break(target)),
    )


def _data_centre_shares(capacity, data_centre, count):
    """Return pairs of a data centre and its part of the flows from ``data_centre``.

    Args:
        capacity: Capacity by data centre.
        data_centre: Where the callers are.
        count: Number of data centres, each with as many callers.
    """
    total = sum(capacity.values())
    local = min(1.0, LOCAL_OVERLOAD * count * capacity.get(data_centre, 0) / total)
    if local >= 1.0:
        return [(data_centre, 1.0)]
    others = [
        (location, max(0.0, size / total - 1 / count))
        for location, size in capacity.items()
        if location != data_centre
    ]
    spare = sum(size for _, size in others)
    if not spare:
        others = [(location, capacity[location]) for location, _ in others]
        spare = sum(size for _, size in others)
    if not others:
        return [(data_centre, 1.0)]
    parts = [(location, (1.0 - local) * size / spare) for location, size in others]
    return [(data_centre, local), *parts] if local else parts


def _capacity(target):
    return target.slots / (WARM_UP_WEIGHT if target.warm_up_ms > 0 else 1.0)


def _weighted_pick(parts, draw):
    """Return the name that a random number falls on, among pairs with weights."""
    total = sum(weight for _, weight in parts)
    left = draw * total
    for name, weight in parts:
        left -= weight
        if left < 0:
            return name
    return parts[-1][0]
