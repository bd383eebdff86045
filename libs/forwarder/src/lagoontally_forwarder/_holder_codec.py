"""Holders of flows and queries for them, decoded from JSON arrays."""

from lagoontally_flows import CONFIRMED, RETURNED, FlowHolder, HolderQuery, Holders

MAX_FLOWS = 64  # of a message
MAX_32_BITS = (1 << 32) - 1
MAX_AGE_MS = 60_000  # longest flow lifetime that the platform guarantees
MAX_PORT = (1 << 16) - 1


def decode_holders(fields):
    """Return the ``Holders`` message with some fields.

    Raises:
        ValueError, TypeError: They aren't valid.
    """
    (holders,) = fields
    return Holders([_decode_holder(one) for one in _checked_list(holders)])


def decode_holder_query(fields):
    """Return the ``HolderQuery`` message with some fields.

    Raises:
        ValueError, TypeError: They aren't valid.
    """
    (holders,) = fields
    return HolderQuery([_decode_holder(one) for one in _checked_list(holders)])


def _decode_holder(document):
    flow, acknowledgement, cookie, evidence, age_ms, rival = document
    if type(evidence) is not int or not RETURNED <= evidence <= CONFIRMED:
        raise ValueError("the evidence of a holder isn't known")
    return FlowHolder(
        _decode_flow(flow),
        _integer(acknowledgement, MAX_32_BITS),
        _integer(cookie, MAX_32_BITS),
        evidence,
        _integer(age_ms, MAX_AGE_MS),
        _integer(rival, MAX_32_BITS),
    )


def _decode_flow(document):
    address, port, to, to_port = document
    return (
        _integer(address, MAX_32_BITS),
        _integer(port, MAX_PORT),
        _integer(to, MAX_32_BITS),
        _integer(to_port, MAX_PORT),
    )


def _integer(value, most):
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError("a number isn't an integer in range")
    return value


def _checked_list(items):
    if not isinstance(items, list) or len(items) > MAX_FLOWS:
        raise ValueError("a list of flows is missing or too long")
    return items
