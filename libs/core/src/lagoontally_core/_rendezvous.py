"""Rendezvous hashing: all balancers pick the same node for a key."""

from xxhash import xxh3_64_intdigest

SESSION_BYTES = 5


def rendezvous_order(key, nodes):
    """Return ``nodes`` by their weight for ``key``, highest first.

    Args:
        key: Bytes to hash with each node.
        nodes: Names of the nodes, as ``bytes``.

    Returns:
        A list of the nodes.
    """
    return sorted(
        nodes,
        key=lambda node: (xxh3_64_intdigest(node + b"|" + key), node),
        reverse=True,
    )


def rendezvous_pick(key, nodes):
    """Return the node with the highest weight for ``key``; None without nodes."""
    return max(
        nodes,
        key=lambda node: (xxh3_64_intdigest(node + b"|" + key), node),
        default=None,
    )


def incarnation_name(incarnation):
    """Return the node name of an incarnation."""
    return incarnation.to_bytes(8, "big")


def flow_key(flow):
    """Return the key of a flow."""
    return f"{flow.service}|{flow.caller}".encode()


def pick_successor(session, successors):
    """Return the successor that a session is assigned to, or None."""
    names = [incarnation_name(successor) for successor in successors]
    name = rendezvous_pick(session.to_bytes(SESSION_BYTES, "big"), names)
    if name is None:
        return None
    return int.from_bytes(name, "big")
