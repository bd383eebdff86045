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


def hold_for_stranger(incarnation, flow, request, turn):
    """Let a request wait for its home to become known.

    Returns:
        False when it can't wait: the members have been asked for this home, or
        too many requests wait already.
    """
    strangers = turn.state.strangers
    held = strangers.get(incarnation)
    if held is None:
        if len(strangers) >= STRANGERS_LIMIT:
            return False
        held = strangers[incarnation] = []
        _ask_members(turn)
        _arm(StrangerTimer(incarnation), STRANGER_WAIT_MS, turn)
        _arm(StrangerForgotten(incarnation), STRANGER_MEMORY_MS, turn)
    if held is _GIVEN_UP or len(held) >= HELD_LIMIT:
        return False
    held.append((flow, request))
    turn.count("request.held_for_stranger")
    return True


_GIVEN_UP = ()


def _arm(timer, delay_ms, turn):
    turn.state.timers.add(turn.now_ms + delay_ms, timer)


def _ask_members(turn):
    state = turn.state
    alive = state.membership.alive()
    record = state.membership.own_record(state.pause_count, state.template_version)
    for member in turn.random.sample(alive, min(INDIRECT_PROBES, len(alive))):
        turn.act(SendPeer(member.peer_address, Join(record)))


def release_strangers(incarnation, turn):
    """Let the requests that wait for a balancer go on."""
    if turn.state.strangers.get(incarnation):
        _arm(StrangerKnown(incarnation), 0, turn)


def take_held(incarnation, turn):
    """Return the requests that wait for a balancer; later ones won't wait."""
    held = turn.state.strangers.get(incarnation, _GIVEN_UP)
    if incarnation in turn.state.strangers:
        turn.state.strangers[incarnation] = _GIVEN_UP
    return held


def forget_stranger(timer: StrangerForgotten, turn):
    """Let an unknown balancer be asked for again."""
    turn.state.strangers.pop(timer.incarnation, None)
