"""Random sequences of changes and faults."""

from random import Random
from typing import NamedTuple

from ._lost_changes_fleet import BUSY, RESETTING, SILENT

HONEST, PRESENT = "the revision of their copy", "the newest revision"
START_MS = 3_000
EVENTS_MS = 7_000
MAX_EVENTS = 14
EMPTIED, BY_TURNS = "z1", "z2"  # data centres


class Event(NamedTuple):
    """Something that happens at a time; the detail depends on the kind."""

    at_ms: int
    kind: str
    detail: tuple = ()


class Plan(NamedTuple):
    """All that determines a run.

    Attributes:
        seed: Seed of what is drawn during the run.
        count: Number of balancers.
        named: Which revision a read that may be old names: ``HONEST`` or ``PRESENT``.
        one_copy: Whether one copy answers all pages of a listing that may be old.
        configured: Whether there is a configuration before the balancers start.
        events: The ``Event`` records in order.
    """

    seed: int
    count: int
    named: str
    one_copy: bool
    configured: bool
    events: tuple


def make_plan(seed, named, *, one_copy):
    """Draw a plan."""
    random = Random(seed)
    count = random.choice((1, 2, 3, 3, 4, 5))
    names = [f"b{number}" for number in range(count)]
    events, at_ms = [], START_MS
    while at_ms < START_MS + EVENTS_MS and len(events) < MAX_EVENTS:
        kind = random.choice(tuple(_DRAWS))
        events.append(Event(at_ms, kind, _DRAWS[kind](random, names)))
        at_ms += random.choice((0, 5, 20, 60, 150, 400, 1_000, 1_500))
    configured = random.random() < 0.9
    events = sorted(events + _evacuations(Random(f"{seed} evacuations")), key=_when)
    return Plan(seed, count, named, one_copy, configured, tuple(events))


def _evacuations(random):
    """Draw requests, of which those for one data centre are never withdrawn."""
    events = [
        Event(START_MS + random.randrange(EVENTS_MS), "evacuate", (EMPTIED, True))
    ]
    for number in range(random.randrange(4)):
        at_ms = START_MS + random.randrange(EVENTS_MS)
        events.append(Event(at_ms, "evacuate", (BY_TURNS, number % 2 == 0)))
    return events


def _when(event):
    return event.at_ms


def _some(random, names):
    return tuple(random.sample(names, random.randint(1, len(names))))


def _duration(random):
    return random.choice((100, 400, 1_000, 2_000, 4_000))


_DRAWS = {
    "targets": lambda random, names: (random.randint(1, 9),),
    "one target": lambda random, names: (),
    "routes": lambda random, names: (random.choice((1, 3, 20, 30)),),
    "one route": lambda random, names: (1,),
    "other item": lambda random, names: (),
    "restart": lambda random, names: (random.choice(names),),
    "restart all": lambda random, names: (random.choice((0, 0, 100)),),
    "restart reader": lambda random, names: (),
    "kill": lambda random, names: (random.choice(names), _duration(random)),
    "pause": lambda random, names: (random.choice(names), _duration(random)),
    "cut from store": lambda random, names: (
        _some(random, names),
        random.choice((SILENT, BUSY, RESETTING)),
        _duration(random),
    ),
    "cut from peers": lambda random, names: (_some(random, names), _duration(random)),
    "lose messages": lambda random, names: (
        random.choice((0.2, 0.5, 1.0)),
        _duration(random),
    ),
    "lose answers": lambda random, names: (
        random.choice((0.2, 0.5)),
        _duration(random),
    ),
    "deaf": lambda random, names: (_some(random, names), _duration(random)),
    "forget": lambda random, names: (),
    "slow": lambda random, names: (_duration(random),),
    "restore": lambda random, names: (random.choice((0, 300, 1_500, 5_000)),),
}
