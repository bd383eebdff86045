"""Random walks through models that are too large for an exhaustive search."""

from typing import NamedTuple

from hypothesis import HealthCheck, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

CHOICE_RANGE = 1 << 16


class WalkReport(NamedTuple):
    """The result of random walks.

    Attributes:
        steps: Total number of moves.
        violation: The first broken promise and the shortest walk that breaks
            it, or empty.
    """

    steps: int
    violation: str


def walk(model, *, walks, length):
    """Follow random walks, which are the same in each run.

    Args:
        model: A model as for ``search``.
        walks: Maximum number of walks.
        length: Maximum number of moves of each.

    Returns:
        A ``WalkReport``.
    """
    initial_state = model.initial()
    moves_made = []

    class Machine(RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.state = initial_state
            self.moves = []

        @rule(choice=strategies.integers(0, CHOICE_RANGE - 1))
        def move(self, choice):
            options = list(model.successors(self.state))
            if not options:
                return
            name, self.state = options[choice % len(options)]
            self.moves.append(name)
            moves_made.append(None)
            detail = model.find_violation(self.state)
            if detail:
                raise BrokenPromiseError(detail, self.moves)

    options = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=walks,
        stateful_step_count=length,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(Machine, settings=options)
    except BrokenPromiseError as error:
        return WalkReport(len(moves_made), str(error))
    return WalkReport(len(moves_made), "")


class BrokenPromiseError(Exception):
    """A walk reached a state in which a promise is broken."""

    def __init__(self, detail, moves):
        super().__init__("; ".join((detail, *moves)))
