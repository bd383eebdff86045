"""Successions: which heirs answer for a balancer that has left."""

from typing import NamedTuple

from ._rendezvous import pick_successor

MAX_CHAIN_LENGTH = 32


class KnownSuccession(NamedTuple):
    """A succession that was announced.

    Attributes:
        heirs: Incarnations among which the leaver's sessions are spread.
        learned_ms: When it was announced, on this balancer's clock.
    """

    successors: tuple[int, ...]
    announced_ms: int


class OriginState(NamedTuple):
    """An incarnation whose requests this balancer has inherited.

    Attributes:
        echo_key: The key of its Echoes.
        echo_clock_ms: Its clock at ``received_ms``, or shortly before.
        received_ms: This balancer's clock when the handover arrived.
        heirs: The incarnations among which its sessions were spread.
        takers: Those of them that took up their share before they handed over
            what this balancer holds; itself too once it has taken up its own.
    """

    echo_key: bytes
    echo_clock_ms: int
    received_ms: int
    successors: tuple[int, ...]
    accepted: frozenset[int]

    def clock_at(self, now_ms):
        """Return the origin's clock now."""
        return self.echo_clock_ms + now_ms - self.received_ms


def resolve_home(state, incarnation, session):
    """Return the incarnation that answers for a session of ``incarnation`` now.

    Returns:
        An incarnation, or None when nobody alive does.
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
    """Tell whether this balancer has taken up its own share of a handover.

    To know an origin isn't enough: another heir may have handed its share on.
    """
    origin = state.origins.get(predecessor)
    return origin is not None and state.info.incarnation in origin.accepted


def is_successor_in_chain(state, incarnation, session):
    """Tell whether this balancer inherited a session of ``incarnation``.

    Follows the heirs that were handed over with each origin, so it doesn't
    depend on which announcements have arrived. Each heir on the way must have
    taken up its share before it handed over: one that left at the same time
    has lost what it was to remember.
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
    """Timer: nothing of a leaver's matters any more."""

    predecessor: int


def forget_succession(timer: ForgetSuccession, turn):
    """Drop what is held of a balancer that left long ago."""
    turn.state.successions.pop(timer.predecessor, None)
    turn.state.origins.pop(timer.predecessor, None)
