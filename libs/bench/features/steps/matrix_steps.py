"""Steps for the fault matrix."""

from behave import then, when

from lagoontally_bench._commands_matrix import run_mutations
from lagoontally_bench._matrix import (
    FAULTS,
    STEPS,
    Cell,
    Injection,
    pair_cells,
    run_cells,
)

SEED = 1
PAIR_SEED = 5_000
WORKERS = 3


@when('"{fault}" is injected at every step')
def step_strike(context, fault):
    """The fault is injected once per run, at a different step in each."""
    assert fault in {item.name for item in FAULTS}
    cells = [Cell(SEED, (Injection(fault, step.name),)) for step in STEPS]
    context.results = list(run_cells(cells, workers=WORKERS))


@when("{count:d} seeded pairs of faults are injected")
def step_pairs(context, count):
    """Two faults are injected in each run."""
    cells = pair_cells(PAIR_SEED, count)
    context.results = list(run_cells(cells, workers=WORKERS))


@then("every promise holds")
def step_holds(context):
    """No promise is broken, and each run reached a step of its faults."""
    failed = [item for item in context.results if item.breaches or not item.injected]
    assert not failed, "\n".join(
        f"{item.cell.name}: {item.breaches[:3]}" for item in failed
    )


@when("each mutation is applied to the core")
def step_break(context):
    """Each mutation breaks one promise."""
    context.detected = run_mutations(SEED, workers=WORKERS)


@then("the checks detect each mutation")
def step_noticed(context):
    """At least one breach is reported for each mutation."""
    undetected = [name for name, promises in context.detected.items() if not promises]
    assert not undetected, undetected
