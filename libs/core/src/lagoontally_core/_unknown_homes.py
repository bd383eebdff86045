"""Requests whose home isn't known yet.

News of a balancer that has just started may come later than a caller with its
Echo. Such a request waits a short time while the members are asked, since
answering that its home is gone would leave its caller in doubt for nothing.
"""

from typing import NamedTuple

from ._actions import SendPeer
from ._members import INDIRECT_PROBES
from ._peer_messages import Join

STRANGER_WAIT_MS = 1_000
STRANGER_MEMORY_MS = 10_000
STRANGERS_LIMIT = 64
HELD_LIMIT = 64


class StrangerTimer(NamedTuple):
    """Timer: the members had time to name a balancer."""

    incarnation: int


class StrangerKnown(NamedTuple):
    """Timer, due at once: a balancer that requests wait for is known."""

    incarnation: int


class StrangerForgotten(NamedTuple):
    """Timer: an unknown balancer may be asked for again."""

    incarnation: int


def hold_for_stranger(incarnation, flow, request, context):
    """Let a request wait for its home to become known.

    Returns:
        False when it can't wait: the members have been asked for this home, or
        too many requests wait already.
    """
    unknown_homes = context.state.unknown_homes
    held = unknown_homes.get(incarnation)
    if held is None:
        if len(unknown_homes) >= STRANGERS_LIMIT:
            return False
        held = unknown_homes[incarnation] = []
        _ask_members(context)
        _arm(StrangerTimer(incarnation), STRANGER_WAIT_MS, context)
        _arm(StrangerForgotten(incarnation), STRANGER_MEMORY_MS, context)
    if held is _GIVEN_UP or len(held) >= HELD_LIMIT:
        return False
    held.append((flow, request))
    context.count("request.held_for_stranger")
    return True


_GIVEN_UP = ()


def _arm(timer, delay_ms, context):
    context.state.timers.add(context.now_ms + delay_ms, timer)


def _ask_members(context):
    state = context.state
    alive = state.membership.alive()
    record = state.membership.own_record(state.pause_count, state.template_version)
    for member in context.random.sample(alive, min(INDIRECT_PROBES, len(alive))):
        context.act(SendPeer(member.peer_address, Join(record)))


def release_held_requests(incarnation, context):
    """Let the requests that wait for a balancer go on."""
    if context.state.unknown_homes.get(incarnation):
        _arm(StrangerKnown(incarnation), 0, context)


def take_held(incarnation, context):
    """Return the requests that wait for a balancer; later ones won't wait."""
    held = context.state.unknown_homes.get(incarnation, _GIVEN_UP)
    if incarnation in context.state.unknown_homes:
        context.state.unknown_homes[incarnation] = _GIVEN_UP
    return held


def forget_stranger(timer: StrangerForgotten, context):
    """Let an unknown balancer be asked for again."""
    context.state.unknown_homes.pop(timer.incarnation, None)
