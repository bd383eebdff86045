"""JSON documents of targets and configuration, for peers that missed updates."""

from lagoontally_flows import MAX_WARM_UP_MS, Configuration, Service
from lagoontally_lean import Record, dumps, loads

from ._messages import DECODE_ERRORS, decode_route, encode_route
from ._target_codec import (
    MAX_VERSION,
    bounded,
    decode_position,
    decode_target,
    encode_target,
)


class TargetsCopy(
    Record, fields="position entries warm_ups buckets digest", defaults=(None, 0)
):
    """The targets that a peer knows.

    Attributes:
        position: ``Position`` of the store at which they last changed.
        entries: ``Target`` by key.
        warm_ups: What is left of warm-ups in milliseconds, by cookie.
        buckets: The buckets that ``entries`` are the content of, None for all.
        digest: Digest of all targets of the peer if ``buckets`` are stated.
    """

    __slots__ = ()


def encode_targets(position, entries, warm_ups, **options):
    """Return the document of targets as bytes.

    Args:
        position: ``Position`` of the store at which they last changed.
        entries: ``Target`` by key.
        warm_ups: What is left of warm-ups in milliseconds, by cookie. The entries
            state what was left when they were written.
        **options: ``buckets`` and ``digest``, as in ``TargetsCopy``.
    """
    targets = {key: encode_target(target) for key, target in entries.items()}
    warm_ups = list(warm_ups.items())
    document = {"position": position, "targets": targets, "warm_ups": warm_ups}
    return _encode(document | options)


def decode_targets(body):
    """Return the ``TargetsCopy`` in a document, None if it is invalid."""
    try:
        document = loads(body)
        entries = {
            key: decode_target(target) for key, target in document["targets"].items()
        }
        if None in entries.values():
            return None
        warm_ups = {
            int(cookie): bounded(max(0, int(left_ms)), MAX_WARM_UP_MS)
            for cookie, left_ms in document.get("warm_ups", ())
        }
        position = decode_position(document["position"])
        if "buckets" not in document:
            return TargetsCopy(position, entries, warm_ups)
        buckets = {int(bucket) for bucket in document["buckets"]}
        return TargetsCopy(
            position, entries, warm_ups, buckets, int(document["digest"])
        )
    except DECODE_ERRORS:
        return None  # the caller counts it


def encode_configuration(configuration):
    """Return the document of a configuration as bytes."""
    routes = [
        [*destination, *encode_route(route)]
        for destination, route in configuration.routes.items()
    ]
    return _encode(
        {
            "version": configuration.version,
            "idle_timeout_ms": configuration.idle_timeout_ms,
            "routes": routes,
            "services": [list(service) for service in configuration.services.values()],
        }
    )


def decode_configuration(body):
    """Return the ``Configuration`` in a document, None if it is invalid."""
    try:
        document = loads(body)
        routes = {
            (address, port): decode_route(route)
            for address, port, *route in document["routes"]
        }
        version, idle_ms = int(document["version"]), int(document["idle_timeout_ms"])
        if not 0 < version <= MAX_VERSION or idle_ms <= 0:
            return None
        services = {}
        for name, warm_up_ms, warm_up_per_s, max_connections in document["services"]:
            services[str(name)] = Service(
                str(name), int(warm_up_ms), float(warm_up_per_s), int(max_connections)
            )
        return Configuration(version, routes, idle_ms, services)
    except DECODE_ERRORS:
        return None  # the caller counts it


def _encode(document):
    return dumps(document).encode()
