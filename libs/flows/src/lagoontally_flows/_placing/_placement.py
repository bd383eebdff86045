"""Selection of the service and the target of a new flow.

Covers releases, bursts and moves of callers between data centres. A flow goes to the
target with the fewest flows per slot, where a target that warms up counts as having
fewer slots. Targets of the local data centre are preferred, since their flows survive
a cut between data centres. A data centre with less than its share of all slots sends
some of its flows to those that have more, or its few targets would be overloaded. If
demand was measured and the local targets can't bear it, measured parts apply instead.
"""

WARM_UP_WEIGHT = 1.6  # requests take this much longer on a cold target
LOCAL_OVERLOAD = 1.25  # accepted load of local targets, relative to an even spread


def select_service(shares, has_targets, draw):
    """Return the service that a new flow goes to.

    Args:
        shares: Pairs of a service and its weight.
        has_targets: Function of a service that returns whether it has targets.
        draw: Random number in the interval [0, 1).

    Returns:
        A service picked by weight among those that have targets, else None.
    """
    usable = [(service, weight) for service, weight in shares if has_targets(service)]
    if not usable:
        return None
    return _weighted_pick(usable, draw)


def select_target(
    candidates, *, load, data_centre, data_centres, draw, tie_break, spill=()
):
    """Return the target for a new flow.

    Args:
        candidates: ``Target`` records, none of them dead.
        load: Function of a target: number of this balancer's flows on it.
        data_centre: This balancer's data centre.
        data_centres: All data centres, each with about as many callers.
        draw: Random number in the interval [0, 1).
        tie_break: Function of a target that orders equally loaded ones, differently
            on each balancer.
        spill: Pairs of another data centre and the percentage of flows that goes there
            by measured demand; empty if nothing was measured that matters.

    Returns:
        A ``Target``, or None without candidates.
    """
    capacity = {}
    for target in candidates:
        location = target.data_centre
        capacity[location] = capacity.get(location, 0) + _capacity(target)
    if not capacity:
        return None
    shares = _data_centre_shares(capacity, data_centre, len(data_centres))
    if spill:
        shares = _spill_shares(capacity, data_centre, spill, shares)
    location = _weighted_pick(shares, draw)
    return min(
        (target for target in candidates if target.data_centre == location),
        key=lambda target: ((load(target) + 1) / _capacity(target), tie_break(target)),
    )


def select_by_limit(candidates, *, limit, in_hand, draw):
    """Return the target for a new flow to a service whose targets are limited.

    All of them are crowded, so the flow goes where there is room, near or far.

    Args:
        candidates: ``Target`` records, none of them dead.
        limit: The ``ServiceLimit``.
        in_hand: This balancer's requests in hand by cookie.
        draw: Random number in the interval [0, 1).

    Returns:
        A ``Target``, or None without candidates.
    """
    if not candidates:
        return None
    parts = [
        (target, max(0.0, limit.at(target.cookie) - in_hand.get(target.cookie, 0)))
        for target in candidates
    ]
    if not any(room for _, room in parts):
        parts = [(target, limit.at(target.cookie)) for target in candidates]
    return _weighted_pick(parts, draw)


def _spill_shares(capacity, data_centre, spill, unmeasured):
    """Return pairs of a data centre and its share by measured demand.

    Args:
        capacity: Capacity by data centre.
        data_centre: Data centre of the callers.
        spill: Pairs of another data centre and its percentage.
        unmeasured: Pairs of a data centre and its share without a measurement, which
            are returned if they keep fewer flows local.
    """
    parts = [(name, percent / 100) for name, percent in spill if name in capacity]
    local = 1.0 - sum(part for _, part in parts)
    if not parts or local >= dict(unmeasured).get(data_centre, 0.0):
        return unmeasured
    return [*parts, (data_centre, local)]


def _data_centre_shares(capacity, data_centre, count):
    """Return pairs of a data centre and its share of the flows of ``data_centre``.

    Args:
        capacity: Capacity by data centre.
        data_centre: Data centre of the callers.
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
    """Return the name that a random number selects among (name, weight) pairs."""
    total = sum(weight for _, weight in parts)
    left = draw * total
    for name, weight in parts:
        left -= weight
        if left < 0:
            return name
    return parts[-1][0]
