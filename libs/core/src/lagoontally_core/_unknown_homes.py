"""Requests that wait for a home that isn't in the membership yet.

The member update of a balancer that has just started may arrive later than a
request with its Echo. Such a request waits a short time while the members are
queried, since to answer that its home is gone would needlessly leave its caller
uncertain whether it was run.
"""

from typing import NamedTuple

from ._actions import SendPeer
from ._members import INDIRECT_PROBES
from ._peer_messages import Join

UNKNOWN_HOME_WAIT_MS = 1_000
UNKNOWN_HOME_TTL_MS = 10_000
MAX_UNKNOWN_HOMES = 64
MAX_HELD_REQUESTS = 64


class UnknownHomeTimer(NamedTuple):
    """Timer: no member has named the unknown home in time."""

    incarnation: int


class HomeKnown(NamedTuple):
    """Timer, due at once: the home that requests wait for is now known."""

    incarnation: int


class UnknownHomeExpired(NamedTuple):
    """Timer: the members may be queried again for an unknown home."""

    incarnation: int


def hold_for_unknown_home(incarnation, flow, request, context):
    """Hold a request until its home is known.

    Returns:
        False when it isn't held: the members didn't know this home, or too many
        requests wait already.
    """
    unknown_homes = context.state.unknown_homes
    held = unknown_homes.get(incarnation)
    if held is None:
        if len(unknown_homes) >= MAX_UNKNOWN_HOMES:
            return False
        held = unknown_homes[incarnation] = []
        _ask_members(context)
        _add_timer(UnknownHomeTimer(incarnation), UNKNOWN_HOME_WAIT_MS, context)
        _add_timer(UnknownHomeExpired(incarnation), UNKNOWN_HOME_TTL_MS, context)
    if held is _NO_LONGER_HELD or len(held) >= MAX_HELD_REQUESTS:
        return False
    held.append((flow, request))
    context.count("request.held_for_stranger")
    return True


_NO_LONGER_HELD = ()


def _add_timer(timer, delay_ms, context):
    context.state.timers.add(context.now_ms + delay_ms, timer)


def _ask_members(context):
    state = context.state
    alive = state.membership.alive()
    record = state.membership.own_record(state.pause_count, state.template_version)
    for member in context.random.sample(alive, min(INDIRECT_PROBES, len(alive))):
        context.act(SendPeer(member.peer_address, Join(record)))


def release_held_requests(incarnation, context):
    """Release the requests that wait for a balancer."""
    if context.state.unknown_homes.get(incarnation):
        _add_timer(HomeKnown(incarnation), 0, context)


def take_held_requests(incarnation, context):
    """Return the requests that wait for a balancer; later ones aren't held."""
    held = context.state.unknown_homes.get(incarnation, _NO_LONGER_HELD)
    if incarnation in context.state.unknown_homes:
        context.state.unknown_homes[incarnation] = _NO_LONGER_HELD
    return held


def forget_unknown_home(timer: UnknownHomeExpired, context):
    """Delete an unknown home, so that the members may be queried again."""
    context.state.unknown_homes.pop(timer.incarnation, None)
