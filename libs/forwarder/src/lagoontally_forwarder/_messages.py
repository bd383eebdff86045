"""Messages between balancers, encoded as JSON arrays in UDP datagrams.

Anyone may send a datagram, so one that can't be decoded yields None, not an error.
"""

from lagoontally_flows import (
    BY_PEER,
    BY_READER,
    BY_REPLY,
    Beacon,
    ConfigurationDelta,
    DealtAnew,
    Delta,
    DemandDigest,
    Evacuated,
    Evacuation,
    Hello,
    InForce,
    Joined,
    LoadAdvice,
    LoadReport,
    Members,
    Position,
    RelayAck,
    Relayed,
    Route,
    Verdict,
)
from lagoontally_lean import dumps, loads
from lagoontally_platform import parse_host

from ._holder_codec import decode_holder_query, decode_holders
from ._target_codec import (
    MAX_COOKIE,
    MAX_VERSION,
    bounded,
    decode_change,
    decode_position,
    encode_change,
)

MAX_MESSAGE_BYTES = 1_200  # below the usual MTU
# What decoding an untrusted document may raise, such as for numbers that are
# infinite or too large.
DECODE_ERRORS = (ValueError, TypeError, LookupError, AttributeError, OverflowError)
MAX_VERDICT_AGE_MS = 60_000  # longest flow lifetime that the platform guarantees
MAX_ROUTES_PER_DELTA = 7  # a route takes about 85 bytes, with two services 115
MAX_EVACUATED_BYTES = 1_000  # of the evacuations in a message
MAX_RELAYED_HOSTS = 16
MAX_PARTS = 256  # of a list of members
MAX_WAIT_MS = 60_000  # longest flow lifetime that the platform guarantees
MAX_ARRIVALS = 1_000_000  # of a report, also of its flows, and slots of a service


def split_configuration_delta(delta):
    """Split a ``ConfigurationDelta`` into parts that fit into datagrams."""
    return _split(delta, "routes", MAX_ROUTES_PER_DELTA)


def split_evacuated(message):
    """Split an ``Evacuated`` into parts that fit into datagrams.

    Names that fit into none are left out: no data centre bears them.
    """
    groups, room = [[]], MAX_EVACUATED_BYTES
    for entry in message.entries:
        size = len(dumps(list(entry))) + 1
        if size > MAX_EVACUATED_BYTES:
            continue
        if size > room:
            groups.append([])
            room = MAX_EVACUATED_BYTES
        groups[-1].append(entry)
        room -= size
    return [
        message._replace(part=part, parts=len(groups), entries=entries)
        for part, entries in enumerate(groups[:MAX_PARTS])
    ]


def _split(delta, field, size):
    items = getattr(delta, field)
    starts = range(0, max(len(items), 1), size)
    return [
        delta._replace(
            part=part, parts=len(starts), **{field: items[start : start + size]}
        )
        for part, start in enumerate(starts)
    ]


def encode_route(route):
    """Return a route as a JSON array, or None for None."""
    return route and list(route)


def decode_route(document):
    """Return the route in a document that ``encode_route`` made.

    Raises:
        ValueError, TypeError, OverflowError: It isn't a valid route.
    """
    if document is None:
        return None
    name, shares, repeatable, objective_ms, deadline_ms, priority, regions = document
    decoded = tuple((str(service), int(weight)) for service, weight in shares)
    if not decoded:
        raise ValueError("a route has no service")
    numbers = (int(objective_ms), int(deadline_ms), int(priority))
    if min(numbers) < 0:
        raise ValueError("a route's objective, deadline or priority is negative")
    return Route(str(name), decoded, bool(repeatable), *numbers, decode_names(regions))


def decode_names(document):
    """Return the names in a JSON array.

    Raises:
        ValueError: It isn't an array of strings.
    """
    if not isinstance(document, list) or not all(
        type(name) is str for name in document
    ):
        raise ValueError("names are not an array of strings")
    return tuple(document)


def encode_message(message):
    """Return a message as a datagram, None if it is too long for one."""
    data = dumps(_encode(message)).encode()
    return data if len(data) <= MAX_MESSAGE_BYTES else None


def _encode(message):
    name = type(message).__name__
    if isinstance(message, Delta):
        entries = [encode_change(key, target) for key, target in message.entries]
        message = message._replace(entries=entries)
    elif isinstance(message, ConfigurationDelta):
        routes = [[*key, encode_route(route)] for key, route in message.routes]
        message = message._replace(routes=routes)
    elif isinstance(message, Relayed):
        message = message._replace(message=_encode(message.message))
    return [name, *message]


def decode_message(data):
    """Return the message in a datagram, None if it holds no valid one."""
    try:
        name, *fields = loads(data)
        return _DECODERS[name](fields)
    except DECODE_ERRORS:
        return None  # the caller counts it


def _decode_hello(fields):
    data_centre, epoch, generation = fields
    if not isinstance(data_centre, str):
        raise ValueError("a data centre is not a string")
    return Hello(data_centre, int(epoch), int(generation))


def _decode_members(fields):
    epoch, generation, complete, part, parts, interval_ms, hosts, removed = fields
    if not 0 <= part < parts <= MAX_PARTS or interval_ms <= 0:
        raise ValueError("a part or an interval is out of range")
    return Members(
        int(epoch),
        int(generation),
        bool(complete),
        int(part),
        int(parts),
        int(interval_ms),
        _decode_hosts(hosts),
        _decode_hosts(removed),
    )


def _decode_hosts(hosts):
    return [host for host in hosts if parse_host(host) is not None]


def _decode_joined(fields):
    (data_centre,) = fields
    return Joined(data_centre) if isinstance(data_centre, str) else None


def _decode_in_force(fields):
    (version,) = fields
    valid = type(version) is int and 0 < version <= MAX_VERSION
    return InForce(version) if valid else None


def _decode_beacon(fields):
    beacon = Beacon(*fields)
    beacon = beacon._replace(
        view=decode_position(beacon.view),
        known=decode_position(beacon.known),
        evacuations=decode_position(beacon.evacuations),
    )
    numbers = [value for value in beacon if not isinstance(value, Position)]
    valid = all(isinstance(value, int) and value <= MAX_VERSION for value in numbers)
    return beacon if valid else None


def _decode_evacuated(fields):
    source, position, part, parts, entries = fields
    if source not in (BY_READER, BY_PEER, BY_REPLY) or not 0 <= part < parts:
        raise ValueError("a source or a part is not valid")
    if parts > MAX_PARTS:
        raise ValueError("a list has too many parts")
    return Evacuated(
        source,
        decode_position(position),
        int(part),
        int(parts),
        [_decode_evacuation(entry) for entry in entries],
    )


def _decode_evacuation(document):
    data_centre, era, revision, keep_ms = document
    if not isinstance(data_centre, str) or not data_centre:
        raise ValueError("an evacuation has no data centre")
    numbers = (int(era), int(revision), int(keep_ms))
    if min(numbers) < 0:
        raise ValueError("an evacuation's era, revision or time is negative")
    return Evacuation(data_centre, *numbers)


def _decode_delta(fields):
    reader, previous, position, known, version, part, parts, *content = fields
    entries, digest, settling = content
    if not 0 <= part < parts or not 0 <= version <= MAX_VERSION:
        raise ValueError("a part or a version is out of range")
    return Delta(
        int(reader),
        decode_position(previous),
        decode_position(position),
        decode_position(known),
        int(version),
        int(part),
        int(parts),
        [decode_change(entry) for entry in entries],
        int(digest),
        bool(settling),
    )


def _decode_configuration_delta(fields):
    reader, previous, version, idle_timeout_ms, part, parts, routes, digest = fields
    if not 0 <= part < parts <= MAX_PARTS or idle_timeout_ms <= 0:
        raise ValueError("a part or a time-out is out of range")
    if not 0 < version <= MAX_VERSION:
        raise ValueError("a version is out of range")
    decoded = [
        ((int(address), int(port)), decode_route(route))
        for address, port, route in routes
    ]
    return ConfigurationDelta(
        int(reader),
        int(previous),
        int(version),
        int(idle_timeout_ms),
        part,
        parts,
        decoded,
        int(digest),
    )


def _decode_relayed(fields):
    number, hosts, (name, *content) = fields
    if name != Delta.__name__ or len(hosts) > MAX_RELAYED_HOSTS:
        raise ValueError("a message isn't one that is passed on, or to too many")
    return Relayed(
        _bounded_integer(number), _decode_hosts(hosts), _decode_delta(content)
    )


def _decode_relay_ack(fields):
    (number,) = fields
    return RelayAck(_bounded_integer(number))


def _bounded_integer(value):
    if type(value) is not int or not 0 <= value <= MAX_VERSION:
        raise ValueError("a number is not an integer in range")
    return value


def _decode_verdict(fields):
    cookie, dead, evidence, age_ms = fields
    if not 0 <= age_ms <= MAX_VERDICT_AGE_MS:
        raise ValueError("a verdict's age is out of range")
    return Verdict(int(cookie), bool(dead), str(evidence), int(age_ms))


def _decode_load_report(fields):
    arrivals, answers, flows = fields
    return LoadReport(
        [
            (_name(service), bounded(let_in, MAX_ARRIVALS), bounded(shed, MAX_ARRIVALS))
            for service, let_in, shed in arrivals
        ],
        _by_cookie(answers, MAX_WAIT_MS),
        _by_cookie(flows, MAX_ARRIVALS),
    )


def _decode_load_advice(fields):
    shares, spills, full, limits = fields
    return LoadAdvice(
        _by_cookie(shares, 100),
        [(_name(service), _decode_parts(parts)) for service, parts in spills],
        [bounded(cookie, MAX_COOKIE) for cookie in full],
        [
            (
                _name(service),
                bounded(usual, MAX_ARRIVALS),
                _by_cookie(pairs, MAX_ARRIVALS),
            )
            for service, usual, pairs in limits
        ],
    )


def _decode_parts(parts):
    decoded = [(_name(place), bounded(percent, 100)) for place, percent in parts]
    if sum(percent for _, percent in decoded) > 100:
        raise ValueError("the parts are more than the whole")
    return decoded


def _decode_demand_digest(fields):
    data_centre, demands, passed_on = fields
    return DemandDigest(
        _name(data_centre),
        [
            (_name(service), bounded(busy, MAX_ARRIVALS), bounded(slots, MAX_ARRIVALS))
            for service, busy, slots in demands
        ],
        bool(passed_on),
    )


def _by_cookie(pairs, most):
    return [
        (bounded(cookie, MAX_COOKIE), bounded(number, most)) for cookie, number in pairs
    ]


def _name(value):
    if not isinstance(value, str):
        raise ValueError("a name is not a string")
    return value


_DECODERS = {
    "Hello": _decode_hello,
    "HolderQuery": decode_holder_query,
    "Holders": decode_holders,
    "InForce": _decode_in_force,
    "Joined": _decode_joined,
    "Members": _decode_members,
    "Beacon": _decode_beacon,
    "ConfigurationDelta": _decode_configuration_delta,
    "Delta": _decode_delta,
    "DemandDigest": _decode_demand_digest,
    "LoadAdvice": _decode_load_advice,
    "LoadReport": _decode_load_report,
    "Evacuated": _decode_evacuated,
    "Verdict": _decode_verdict,
    "RelayAck": _decode_relay_ack,
    "Relayed": _decode_relayed,
    "DealtAnew": lambda _fields: DealtAnew(),
}
