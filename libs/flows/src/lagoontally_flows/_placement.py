"""Which target gets a new flow.

Answers the loads of a release, a burst and a move of callers between data
centres: flows go to the target with the fewest flows a slot, one that still
warms up counts as fuller, and targets of the own data centre come first, since
a cut between data centres leaves their flows alone.
"""

WARM_UP_WEIGHT = 1.6  # requests take this much longer on a cold target


def choose_service(shares, has_targets, draw):
    """Return the service that a new flow goes to.

    Args:
        shares: Pairs of a service and its weight.
        has_targets: Function of a service that tells whether it can take flows.
        draw: Random number from 0 up to 1.

    Returns:
        A service drawn by weight from those that can take flows, else None.
    """
    usable = [(service, weight) for service, weight in shares if has_targets(service)]
    total = sum(weight for _, weight in usable)
    if not usable:
        return None
    if total <= 0:
        return usable[0][0]
    left = draw * total
    for service, weight in usable:
        left -= weight
        if left < 0:
            return service
    return usable[-1][0]


def choose_target(candidates, *, load, data_centre, tie):
    """Return the target for a new flow.

    Args:
        candidates: ``Target`` records, none of them dead.
        load: Function of a target: number of this balancer's flows on it.
        data_centre: This balancer's data centre; its targets come first.
        tie: Function of a target that orders equals, other on each balancer.

    Returns:
        A ``Target``, or None without candidates.
    """
    local = [target for target in candidates if target.data_centre == data_centre]
    return min(
        local or candidates,
        key=lambda target: (_fullness(target, load(target)), tie(target)),
        default=None,
    )


def _fullness(target, flows):
    weight = WARM_UP_WEIGHT if target.warm_up_ms > 0 else 1.0
    return (flows + 1) * weight / target.slots
