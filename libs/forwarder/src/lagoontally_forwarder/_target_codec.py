"""Targets, their changes and positions of the store as JSON arrays."""

from lagoontally_flows import (
    MAX_WARM_UP_MS,
    Position,
    Target,
    TargetUpdate,
    out_of_range,
    target_cookie,
)
from lagoontally_lean import dumps
from lagoontally_platform import NAME_BYTES, parse_address

MAX_DELTA_BYTES = 800  # of the entries in a message, which may be in a Relayed
MAX_COOKIE = (1 << 32) - 1
MAX_VERSION = (1 << 63) - 1  # also of revisions; longer ones might not fit


def encode_target(target):
    """Return a target as a JSON array, or None for None."""
    return target and [target.name.hex(), *target[1:]]


def decode_target(document):
    """Return the target in a document that ``encode_target`` made.

    Raises:
        ValueError, TypeError, OverflowError: It isn't a valid target.
    """
    if document is None:
        return None
    name, born, cookie, address, data_centre, service, slots, leaving, warm_up_ms = (
        document
    )
    name = bytes.fromhex(name)
    if len(name) != NAME_BYTES or cookie != target_cookie(name, born):
        raise ValueError("a target's name is malformed or doesn't match its cookie")
    host, port = address
    address = parse_address(f"{host}:{port}")
    if address is None:
        raise ValueError("a target's address is not host:port")
    if not isinstance(data_centre, str) or not isinstance(service, str):
        raise ValueError("a target's data centre or service is not a string")
    if type(slots) is not int or type(warm_up_ms) is not int:
        raise ValueError("a target's slots or warm-up is not an integer")
    target = Target(
        name,
        born,
        cookie,
        address,
        data_centre,
        service,
        slots,
        bool(leaving),
        warm_up_ms,
    )
    field = out_of_range(target)
    if field is not None:
        raise ValueError(f"a target's {field} is out of range")
    return target


def decode_position(document):
    """Return the ``Position`` in a JSON array.

    Raises:
        ValueError, TypeError, OverflowError: It isn't a valid position.
    """
    position = Position(*map(int, document))
    if not 0 <= min(position) <= max(position) <= MAX_VERSION:
        raise ValueError("a position is out of range")
    return position


def split_delta(delta):
    """Split a ``Delta`` into parts that fit into datagrams."""
    groups, room = [[]], MAX_DELTA_BYTES
    for key, target in delta.entries:
        size = len(dumps(encode_change(key, target))) + 1
        if size > room and groups[-1]:
            groups.append([])
            room = MAX_DELTA_BYTES
        groups[-1].append((key, target))
        room -= size
    return [
        delta._replace(part=part, parts=len(groups), entries=entries)
        for part, entries in enumerate(groups)
    ]


def encode_change(key, target):
    """Return a changed entry as a JSON array.

    That of a ``TargetUpdate`` has three numbers, which programs without it refuse.
    """
    if isinstance(target, TargetUpdate):
        return [target.cookie, int(target.leaving), target.warm_up_ms]
    return [key, encode_target(target)]


def decode_change(document):
    """Return the changed entry in a document that ``encode_change`` made.

    Raises:
        ValueError, TypeError, OverflowError: It isn't valid.
    """
    if len(document) == 2:
        key, target = document
        return str(key), decode_target(target)
    cookie, leaving, warm_up_ms = document
    if type(warm_up_ms) is not int:
        raise ValueError("a target's warm-up is not an integer")
    state = TargetUpdate(
        bounded(cookie, MAX_COOKIE),
        bool(bounded(leaving, 1)),
        bounded(warm_up_ms, MAX_WARM_UP_MS),
    )
    return None, state


def bounded(value, most):
    """Return a number if it is from 0 to a bound.

    Raises:
        ValueError: It isn't.
    """
    if isinstance(value, bool) or not 0 <= value <= most:
        raise ValueError("a number is out of range")
    return value
