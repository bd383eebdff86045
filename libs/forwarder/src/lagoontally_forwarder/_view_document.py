"""The whole view of a balancer as a document, for a peer that has none."""

from collections import namedtuple

from ujson import dumps, loads

from lagoontally_flows import Configuration, Route

from ._messages import decode_target, encode_target


class ViewCopy(namedtuple("ViewCopy", "revision configuration entries")):
    """A peer's view.

    Attributes:
        revision: The store's revision that it shows.
        configuration: The ``Configuration`` in force there.
        entries: ``Target`` by key.
    """

    __slots__ = ()


def encode_view(revision, configuration, entries):
    """Return a view as bytes."""
    routes = [[*place, *route] for place, route in configuration.routes.items()]
    document = {
        "revision": revision,
        "version": configuration.version,
        "idle_timeout_ms": configuration.idle_timeout_ms,
        "routes": routes,
        "targets": {key: encode_target(target) for key, target in entries.items()},
    }
    return dumps(document, escape_forward_slashes=False).encode()


def decode_view(body):
    """Return the ``ViewCopy`` in bytes, None where they hold none."""
    try:
        document = loads(body)
        routes = {
            (address, port): Route(name, _decode_shares(shares), bool(repeatable))
            for address, port, name, shares, repeatable in document["routes"]
        }
        entries = {
            key: decode_target(target) for key, target in document["targets"].items()
        }
        version, idle_ms = int(document["version"]), int(document["idle_timeout_ms"])
        configuration = Configuration(version, routes, idle_ms)
        return ViewCopy(int(document["revision"]), configuration, entries)
    except (ValueError, TypeError, KeyError, AttributeError):
        return None  # counted by its caller


def _decode_shares(shares):
    return tuple((str(service), int(weight)) for service, weight in shares)
