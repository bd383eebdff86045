"""A model of one balancer's reads of the platform: a real core and platform edge.

The platform answers a read, also one that was sent long ago, from a copy of any age.
Its answers wait in a socket, and the edge's events in the core's queue, for any time
and over pauses of the process. A document may be faulty, be repaired under its version,
or come back with other content under an accepted version after an outage. Checked is
that once the platform answers from its newest copy, and publishes nothing more, the
newest document is in force, or a log names the version that isn't.
"""

from typing import NamedTuple

from lagoontally_core import PAUSE_MS, Received, Tick
from lagoontally_edges import Document, PlatformEdge, Unavailable, Unchanged
from lagoontally_model import document_digest

from ._edge_network import (
    AnsweredWatch,
    PublishedDocument,
    conflicting_document,
    faulty_document,
    restore_edge,
    save_edge,
    valid_document,
    watched_version,
)
from ._small_fleet import model_constants, serving_fleet
from ._snapshots import Balancer, digest_of, pack, step_seeded, unpack

SETTLE_ROUNDS = 6
REJECTED = "template rejected"
CONFLICT = "another document carries the version in force"


class EdgeBudget(NamedTuple):
    """How often each event may still happen.

    Attributes:
        publishes: Documents that are published, from the second on.
        restores: Documents among them that come with an outage and carry the
            version of an accepted one.
        answers: Answers to the watch.
        failures: Watches that fail.
        reads: Requested reads, which don't wait for the watch.
        pauses: Pauses of the process.
    """

    publishes: int = 3
    restores: int = 1
    answers: int = 3
    failures: int = 1
    reads: int = 1
    pauses: int = 1


class EdgeWorld(NamedTuple):
    """One state of the model.

    Attributes:
        now_ms: The time.
        core: The balancer's core.
        edge: The attributes of its platform edge.
        watched: The version that the watch in flight names, None for none.
        answer: The watch's answer in the socket, or None.
        queue: ``(time, event)`` of the edge that the core hasn't handled.
        logged: Texts and versions of errors that the core has logged.
        copies: The documents that the platform may answer with; a platform that was
            restored has lost those that it had since.
        outage: True when the platform was restored since the last watch.
        budget: What may still happen.
        fault: A promise broken by the last move, or empty.
    """

    now_ms: int
    core: Balancer
    edge: tuple
    watched: str | None
    answer: AnsweredWatch | None
    queue: tuple
    logged: frozenset
    copies: tuple[PublishedDocument, ...]
    outage: bool
    budget: EdgeBudget
    fault: str = ""

    def spend(self, name):
        """Decrement an entry of the budget."""
        left = getattr(self.budget, name) - 1
        return self._replace(budget=self.budget._replace(**{name: left}))


class EdgeModel:
    """One balancer, its platform edge and the platform."""

    def __init__(self, budget):
        self.budget = budget
        versions = range(1, 2 + budget.publishes)
        self.model_constants = model_constants(versions)
        self._steps = {}
        self._edge_steps = {}
        self._watched_versions = {}

    def initial(self):
        """Return a balancer that serves version 1 and has read it."""
        fleet = serving_fleet(1)
        (state,) = fleet.states.values()
        copies = (valid_document(1),)
        edge = PlatformEdge(url="", workspace="", post=list, random=None)
        edge.post_template(copies[0].body)
        return EdgeWorld(
            fleet.now_ms,
            pack(state),
            save_edge(edge),
            watched_version(edge),
            None,
            (),
            frozenset(),
            copies,
            False,
            self.budget,
        )

    def digest(self, world):
        """Return a digest of everything that determines the following states."""
        rest = world._replace(core=None, logged=sorted(world.logged))
        return digest_of((world.core.state_digest, rest))

    def outcomes(self, world):
        """Return the outcomes in a state, to detect searches that cover too little."""
        names = [f"version {world.core.version} is in force"]
        names += sorted({text for text, _ in world.logged})
        names += ["an answer is late"] * (world.answer is not None)
        before_pause = any(at_ms < world.now_ms for at_ms, _ in world.queue)
        names += ["events are older than a pause"] * before_pause
        return names

    def find_violation(self, world):
        """Return the promise that a state violates, or None."""
        return world.fault or self._settle(world)

    def _settle(self, world):
        """Return what stays wrong with a steady platform, or None."""
        newest = world.copies[-1]
        for _ in range(SETTLE_ROUNDS):
            if world.answer is None:
                world = self._answer_steadily(world)
            world = self._handle_answer(world)
            while world.queue:
                world = self._handle_event(world)
        if world.fault:
            return world.fault
        if newest.faulty:
            logged = (REJECTED, newest.version) in world.logged
            return None if logged else f"faulty {newest.version} isn't logged"
        state = unpack(world.core, self.model_constants)
        in_force = state.digest == document_digest(newest.body)
        if in_force or (CONFLICT, newest.version) in world.logged:
            return None
        held = world.core.version
        return f"{held} stays in force, the platform serves {newest.version}"

    def _answer_steadily(self, world):
        newest = world.copies[-1]
        if world.outage:
            return self._receive_answer(world, Unavailable("outage"))
        if world.watched == str(newest.version):
            return self._receive_answer(world, Unchanged())
        return self._receive_answer(world, Document(newest.body))

    def successors(self, world):
        """Yield each move and the state to which it leads."""
        yield from self._publications(world)
        yield from self._answers(world)
        if world.answer is not None:
            yield "the edge handles the answer", self._handle_answer(world)
        if world.queue:
            yield "the core handles an event", self._handle_event(world)
        if world.budget.pauses:
            yield "the process is paused", self._pause(world.spend("pauses"))

    def _publications(self, world):
        if not world.budget.publishes:
            return
        newest = world.copies[-1]
        accepted = max(item.version for item in world.copies if not item.faulty)
        options = [valid_document(newest.version + 1)]
        options.append(faulty_document(newest.version + 1))
        if newest.faulty:
            options.append(valid_document(newest.version))
        for document in options:
            copies = (*world.copies, document)
            text = f"{document.describe()} is published"
            yield text, world.spend("publishes")._replace(copies=copies)
        # An outage is longer than it takes to handle an answer.
        if world.budget.restores and world.answer is None:
            document = conflicting_document(accepted)
            older = [item for item in world.copies if item.version < accepted]
            copies = (*older, document)
            after = world.spend("publishes").spend("restores")
            text = f"{document.describe()} is published after an outage"
            yield text, after._replace(copies=copies, outage=True)

    def _answers(self, world):
        budget = world.budget
        for number, document in enumerate(world.copies):
            source = f"copy {number} with {document.describe()}"
            if budget.reads:
                read = self._step_edge(
                    world.spend("reads"), "post_template", document.body
                )
                yield f"a requested read returns {source}", read
            differs = world.watched != str(document.version)
            if differs and budget.answers and world.answer is None and not world.outage:
                after = world.spend("answers")
                answer = self._receive_answer(after, Document(document.body))
                yield f"the watch is answered from {source}", answer
        if world.answer is not None:
            return
        if budget.answers and world.watched is not None and not world.outage:
            ended = self._receive_answer(world.spend("answers"), Unchanged())
            yield "the watch ends unchanged", ended
        if world.outage or budget.failures:
            after = world if world.outage else world.spend("failures")
            failed = self._receive_answer(after, Unavailable("no connection"))
            yield "the watch fails", failed

    def _receive_answer(self, world, outcome):
        outage = world.outage and not isinstance(outcome, Unavailable)
        return world._replace(answer=AnsweredWatch(outcome), outage=outage)

    def _handle_answer(self, world):
        """Let the edge handle the watch's answer and send the next watch."""
        after = self._step_edge(
            world._replace(answer=None),
            "handle_template_outcome",
            world.answer.outcome,
        )
        return after._replace(watched=self._watched_versions[after.edge])

    def _step_edge(self, world, method, argument):
        """Call a method of the edge; its events are queued for the core."""
        # Named tuples of different types may be equal.
        key = (world.edge, method, type(argument), argument)
        if key not in self._edge_steps:
            edge, events = restore_edge(world.edge)
            getattr(edge, method)(argument)
            attributes = save_edge(edge)
            self._edge_steps[key] = attributes, tuple(events)
            self._watched_versions[attributes] = watched_version(edge)
        attributes, events = self._edge_steps[key]
        queued = tuple((world.now_ms, event) for event in events)
        return world._replace(edge=attributes, queue=world.queue + queued)

    def _handle_event(self, world):
        (received_ms, event), *rest = world.queue
        event = Received(received_ms, event)
        return self._step(world._replace(queue=tuple(rest)), event)

    def _pause(self, world):
        return self._step(world._replace(now_ms=world.now_ms + PAUSE_MS), Tick())

    def _step(self, world, event):
        key = (world.core.state_digest, world.now_ms, digest_of(event))
        if key not in self._steps:
            state = unpack(world.core, self.model_constants)
            actions = step_seeded(state, event, world.now_ms)
            errors = {
                (item.text, item.fields["version"])
                for item in actions
                if getattr(item, "level", "") == "ERROR"
            }
            self._steps[key] = pack(state), frozenset(errors)
        core, errors = self._steps[key]
        before = world.core.version
        fault = ""
        if core.version < before:
            fault = f"went from {before} back to {core.version}"
        return world._replace(core=core, logged=world.logged | errors, fault=fault)
