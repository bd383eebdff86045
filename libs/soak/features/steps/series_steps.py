"""Steps for faults in series."""

import tempfile
from pathlib import Path
from random import Random

from behave import then, when
from soak_steps import NETWORKS

from lagoontally_soak._faults import Faults
from lagoontally_soak._series import Series
from lagoontally_standins.packets import Deployment, reserve_network

CENTRES = ("tifton", "camilla")
DRAWS = 12


def count_changes(previous, current):
    """Return the number of routes that were added, moved or dropped."""
    routes = previous.keys() | current.keys()
    return sum(previous.get(route) != current.get(route) for route in routes)


def draw(seed, *, with_series):
    """Return the faults that a seed draws and the sizes of changes of the series.

    Without a running loop no process is started and no fault ends.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(
            Path(folder),
            reserve_network(NETWORKS),
            data_centres=CENTRES,
            balancers=3,
            targets=2,
        )
        faults = Faults(deployment, Random(seed), Random(f"restores {seed}"))
        series = Series(deployment, faults, Random(f"series {seed}"))
        kinds, sizes = [], []
        for _ in range(DRAWS):
            before = dict(faults.injected_counts)
            faults.inject_one()
            kinds.append(
                sorted(
                    kind
                    for kind, count in faults.injected_counts.items()
                    if count != before.get(kind)
                )
            )
            if with_series:
                series.inject_one()
                previous = dict(deployment.routes)
                series.change_routes(series.random)
                sizes.append(count_changes(previous, deployment.routes))
        deployment.store.listener.close()
    return kinds, sizes


@when("the faults of {count:d} seeds are drawn with and without series")
def step_draw(context, count):
    """Recorded seeds must stay what they were."""
    context.alone = [draw(seed, with_series=False)[0] for seed in range(count)]
    drawn = [draw(seed, with_series=True) for seed in range(count)]
    context.beside = [kinds for kinds, _ in drawn]
    context.sizes = [size for _, sizes in drawn for size in sizes]


@then("both draw the same faults")
def step_same(context):
    """One fault after the other."""
    assert context.alone == context.beside


@then("the series change up to 8, more than 8 and more than 64 routes at once")
def step_sizes(context):
    """They travel in one datagram, in several, or are fetched."""
    assert 0 < min(context.sizes) <= 8, context.sizes
    assert any(8 < size <= 64 for size in context.sizes), context.sizes
    assert max(context.sizes) > 64, context.sizes
