"""Requests that a dispatcher has placed, and the dispatchers in use."""

from typing import NamedTuple

from ._admission import Limits


class Lease(NamedTuple):
    """A placed request.

    Attributes:
        target: ``IP:port`` of its target.
        service: Name of the service.
        caller: ``IP:port`` of its caller.
    """

    target: str
    service: str
    caller: str


class DispatchTable:
    """Soft state of dispatchers and of the balancers that use them.

    Attributes:
        leases: The ``Lease`` of each placed request, by the request's token.
        placed: Number of placed requests, by target.
        totals: Number of placed requests, by service.
        callers: Number of placed requests of each caller, by service.
        limits: The ``Limits`` of admission.
        silent_until_ms: Until when a dispatcher is bypassed, by incarnation.
        dispatchers: The dispatcher of each service, cached until a time.
    """

    def __init__(self):
        self.leases: dict[bytes, Lease] = {}
        self.placed: dict[str, int] = {}
        self.totals: dict[str, int] = {}
        self.callers: dict[str, dict[str, int]] = {}
        self.limits = Limits()
        self.silent_until_ms: dict[int, int] = {}
        self.dispatchers: dict[str, tuple] = {}

    def add(self, token, lease):
        """Add a request placed at a target."""
        self.leases[token] = lease
        _add(self.placed, lease.target, 1)
        _add(self.totals, lease.service, 1)
        _add(self.callers.setdefault(lease.service, {}), lease.caller, 1)

    def release(self, token):
        """Remove a placed request; return its target, None if unknown."""
        lease = self.leases.pop(token, None)
        if lease is None:
            return None
        _add(self.placed, lease.target, -1)
        _add(self.totals, lease.service, -1)
        _add(self.callers[lease.service], lease.caller, -1)
        return lease.target

    def target_of(self, token):
        """Return the target of a placed request, None if unknown."""
        lease = self.leases.get(token)
        return lease.target if lease else None


def _add(counts, name, change):
    value = counts.get(name, 0) + change
    if value:
        counts[name] = value
    else:
        counts.pop(name, None)
