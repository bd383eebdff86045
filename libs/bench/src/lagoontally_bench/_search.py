"""Exhaustive search of the reachable states of a nondeterministic model.

A model provides an initial state, the moves from each state and the check of a
state. States are compared by a digest of everything that determines the following
states, so that a state which is reached in several ways is expanded once.
"""

from collections import deque
from random import Random
from typing import NamedTuple


class Violation(NamedTuple):
    """A state in which a promise is broken.

    Attributes:
        detail: How the promise is broken.
        trace: The moves that lead to the state, in order.
    """

    detail: str
    trace: tuple[str, ...]


class SearchReport(NamedTuple):
    """The result of a search.

    Attributes:
        states: Number of distinct states.
        moves: Number of moves, including those to states visited before.
        depth: Length of the longest path followed.
        complete: True when every reachable state was visited.
        outcomes: How many states showed each outcome, by its name.
        violation: The first ``Violation``, None when there is none.
    """

    states: int
    moves: int
    depth: int
    complete: bool
    outcomes: dict[str, int]
    violation: Violation | None


class Path(NamedTuple):
    """The moves that led to a state, shared between states."""

    parent: "Path | None"
    move: str
    length: int

    def moves(self):
        """Return the moves in order."""
        found = []
        path = self
        while path is not None:
            found.append(path.move)
            path = path.parent
        return tuple(reversed(found))


def search(model, *, states_limit, breadth_first=False, seed=0):
    """Search the reachable states of a model.

    Args:
        model: Has ``initial()``, ``successors(state)`` with pairs of a move's
            name and a state, ``digest(state)``, ``find_violation(state)`` with a text
            or None, and ``outcomes(state)`` with names.
        states_limit: Maximum number of states to visit.
        breadth_first: Find shortest traces, at the cost of memory.
        seed: Seed of the order of the moves, which selects the states that are
            visited before the limit; 0 for the model's own order.

    Returns:
        A ``SearchReport``; the search stops at the first violation.
    """
    initial_state = model.initial()
    frontier = deque([(initial_state, None)])
    visited = {model.digest(initial_state)}
    random = Random(seed)
    pop_next = frontier.popleft if breadth_first else frontier.pop
    outcomes: dict[str, int] = {}
    moves = depth = 0
    violation = None
    while frontier and len(visited) <= states_limit and violation is None:
        state, path = pop_next()
        length = path.length if path else 0
        depth = max(depth, length)
        for name in model.outcomes(state):
            outcomes[name] = outcomes.get(name, 0) + 1
        detail = model.find_violation(state)
        if detail:
            violation = Violation(detail, path.moves() if path else ())
            break
        options = list(model.successors(state))
        if seed:
            random.shuffle(options)
        for move, next_state in options:
            moves += 1
            digest = model.digest(next_state)
            if digest not in visited:
                visited.add(digest)
                frontier.append((next_state, Path(path, move, length + 1)))
    complete = not frontier and violation is None
    return SearchReport(len(visited), moves, depth, complete, outcomes, violation)
