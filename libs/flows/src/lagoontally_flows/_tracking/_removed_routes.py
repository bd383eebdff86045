"""Whether the route of an open flow was removed, or isn't known here yet.

Covers routes that other balancers already serve: this balancer may get packets of their
flows before the configuration that adds them.
"""

CONFIRMATION_SLACK_MS = 1_500  # the longest call to the store, and a beacon's way


def is_route_removed(flow, confirmed_ms):
    """Return whether the route of a flow, which isn't in force here, was removed.

    A flow opens only once a configuration with its route was published. So the route
    was removed since if the configuration without it is known to have been the newest
    at a time after the flow's first packet.

    Args:
        flow: The ``Flow``, None if this packet is the first of it here.
        confirmed_ms: When the configuration in force was last known to be the newest,
            or None.
    """
    if flow is None or confirmed_ms is None:
        return False
    return confirmed_ms - flow.first_packet_ms >= CONFIRMATION_SLACK_MS
