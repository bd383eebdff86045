"""Successions: which balancers answer for one that has left."""

from typing import NamedTuple

from ._rendezvous import pick_successor

MAX_CHAIN_LENGTH = 32


class KnownSuccession(NamedTuple):
    """A succession that was announced.

    Attributes:
        successors: Incarnations among which its sessions are spread.
        announced_ms: When it was announced, on this balancer's clock.
    """

    successors: tuple[int, ...]
    announced_ms: int


class OriginState(NamedTuple):
    """An incarnation whose requests this balancer has inherited.

    Attributes:
        echo_key: The key of its Echoes.
        echo_clock_ms: Its clock at ``received_ms``, or shortly before.
        received_ms: This balancer's clock when the handover arrived.
        successors: The incarnations among which its sessions were spread.
        accepted: Those of them that accepted their share before they handed over
            what this balancer holds; also this balancer once it has accepted.
    """

    echo_key: bytes
    echo_clock_ms: int
    received_ms: int
    successors: tuple[int, ...]
    accepted: frozenset[int]

    def clock_at(self, now_ms):
        """Return the origin's clock at ``now_ms`` of this balancer's clock."""
        return self.echo_clock_ms + now_ms - self.received_ms


def resolve_home(state, incarnation, session):
    """Return the incarnation that answers for a session of ``incarnation`` now.

    Returns:
        An incarnation, or None when no reachable balancer does.
    """
    for _ in range(MAX_CHAIN_LENGTH):
        succession = state.successions.get(incarnation)
        if succession is None:
            break
        incarnation = pick_successor(session, succession.successors)
    if incarnation == state.info.incarnation:
        return incarnation
    if state.membership.reachable(incarnation):
        return incarnation
    return None


def has_accepted(state, predecessor):
    """Return whether this balancer has accepted its own share of a handover.

    Knowing the origin isn't enough: it may come from another successor that
    handed its own share on.
    """
    origin = state.origins.get(predecessor)
    return origin is not None and state.info.incarnation in origin.accepted


def is_successor_in_chain(state, incarnation, session):
    """Return whether this balancer inherited a session of ``incarnation``.

    Follows the successors that were handed over with each origin, so the result
    doesn't depend on which announcements have arrived. Each successor on the way
    must have accepted its share before it handed over: one that left at the same
    time has lost the requests that it should have remembered.
    """
    for _ in range(MAX_CHAIN_LENGTH):
        origin = state.origins.get(incarnation)
        if origin is None:
            return False
        successor = pick_successor(session, origin.successors)
        if successor not in origin.accepted:
            return False
        if successor == state.info.incarnation:
            return True
        incarnation = successor
    return False


class ForgetSuccession(NamedTuple):
    """Timer: a predecessor's succession and origin are no longer needed."""

    predecessor: int


def forget_succession(timer: ForgetSuccession, context):
    """Drop the succession and origin of a balancer that left long ago."""
    context.state.successions.pop(timer.predecessor, None)
    context.state.origins.pop(timer.predecessor, None)
