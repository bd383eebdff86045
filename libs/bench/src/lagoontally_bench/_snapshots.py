"""Snapshots of balancers: core states that are packed, compared and stepped.

The random numbers of a step are seeded by the event, so that the same event leads
to the same state on every path.
"""

import pickle
from enum import Enum
from hashlib import blake2b
from random import Random
from typing import NamedTuple

from lagoontally_core import Count, LogChange, RecordLatency, SelfInfo, State, step
from lagoontally_model import Template

DIGEST_BYTES = 16
PLAIN_TYPES = frozenset((int, str, bytes, bool, float, type(None)))
IGNORED_ATTRIBUTES = frozenset(("decision_log", "info", "timing", "sections", "order"))
MAX_CACHED_STEPS = 30_000
UNOBSERVED_ACTIONS = (Count, LogChange, RecordLatency)
MODE_UP = "up"
MODE_FROZEN = "frozen"
MODE_GONE = "gone"


class Balancer(NamedTuple):
    """One balancer of a model.

    Attributes:
        info: Its identity.
        packed: Its core's pickled state without the ``ModelConstants``.
        version: The template version in force; 0 for none.
        state_digest: Digest of its core's state.
        mode: Whether its process runs.
        queued_events: ``(time, event)`` received while it is frozen.
        pending_actions: ``(time, action)`` decided but not executed before the freeze.
    """

    info: SelfInfo
    packed: bytes
    version: int
    state_digest: bytes
    mode: str = MODE_UP
    queued_events: tuple = ()
    pending_actions: tuple = ()


class ModelConstants(NamedTuple):
    """Data shared by all states of a model.

    Attributes:
        timing: The balancers' time limits.
        templates: The templates by version.
    """

    timing: object
    templates: dict[int, Template]


def digest_of(value):
    """Return a digest of plain data."""
    return blake2b(repr(value).encode(), digest_size=DIGEST_BYTES).digest()


def to_plain(value):
    """Return ``value`` as plain data in a canonical order."""
    kind = type(value)
    if kind in PLAIN_TYPES:
        return value
    if isinstance(value, Enum):
        return value.name
    if kind is Template:
        return value.version
    if isinstance(value, tuple):
        return (kind.__name__, *map(to_plain, value))
    if isinstance(value, dict):
        pairs = ((to_plain(key), to_plain(item)) for key, item in value.items())
        return sorted(pairs, key=repr)
    if isinstance(value, set | frozenset):
        return sorted(map(to_plain, value), key=repr)
    if hasattr(value, "__iter__"):
        return list(map(to_plain, value))
    return _plain_object(value)


def _plain_object(value):
    names = getattr(value, "__slots__", None) or sorted(vars(value))
    fields = [
        (name, to_plain(getattr(value, name)))
        for name in names
        if name not in IGNORED_ATTRIBUTES
    ]
    return (type(value).__name__, fields)


def pack(state, **changes):
    """Return a ``Balancer`` for a core's state; the state becomes unusable."""
    state_digest = digest_of((state.info.incarnation, to_plain(state)))
    info = state.info
    version = state.template_version
    state.template = state.info = state.timing = None
    state.membership.info = state.membership.timing = None
    state.decision_log.entries.clear()
    packed = pickle.dumps(state, pickle.HIGHEST_PROTOCOL)
    return Balancer(info, packed, version, state_digest)._replace(**changes)


def unpack(balancer, model_constants) -> State:
    """Return a mutable copy of a balancer's core state."""
    state = pickle.loads(balancer.packed)
    state.info = state.membership.info = balancer.info
    state.timing = state.membership.timing = model_constants.timing
    state.template = model_constants.templates.get(balancer.version)
    return state


def step_seeded(state, event, now_ms):
    """Step a core with random numbers seeded by its name, the time and the event."""
    random = Random(f"{state.info.name} {now_ms} {event!r}")
    return step(state, event, now_ms, random)


class Stepper:
    """Steps balancers and caches the results.

    Attributes:
        model_constants: Data shared by the states.
        cache: The results of steps, by balancer and timed events.
    """

    def __init__(self, model_constants):
        self.model_constants = model_constants
        self.cache = {}

    def step(self, balancer, events):
        """Step a balancer.

        Args:
            balancer: The balancer.
            events: ``(time, event)`` in order.

        Returns:
            The balancer after the events, running and with empty queues, and
            the actions that it decided.
        """
        key = (balancer.state_digest, digest_of(events))
        found = self.cache.get(key)
        if found is None:
            if len(self.cache) >= MAX_CACHED_STEPS:
                self.cache.clear()
            found = self.cache[key] = self._step(balancer, events)
        return found

    def _step(self, balancer, events):
        state = unpack(balancer, self.model_constants)
        actions = []
        for now_ms, event in events:
            actions += step_seeded(state, event, now_ms)
        observed = [
            item for item in actions if not isinstance(item, UNOBSERVED_ACTIONS)
        ]
        return pack(state), tuple(observed)
