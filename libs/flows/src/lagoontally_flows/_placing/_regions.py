"""Keeps flows in the regions that the operator allows for their route."""


def in_allowed_regions(targets, allowed, regions):
    """Return the targets that may serve a route.

    Args:
        targets: ``Target`` records.
        allowed: Names of the route's regions; without any, all targets may serve it.
        regions: Region by data centre. A target whose region isn't known is left out.
    """
    if not allowed:
        return targets
    return [one for one in targets if regions.get(one.data_centre) in allowed]
