"""A model of the at-most-once protocol: real cores on an unreliable network.

Every message may be delivered at any later time, in any order, or never; a
caller's datagram may arrive several times, at any balancer and from a rebound
address. Balancers crash, leave, freeze, resume and are wrongly declared dead at
any point. Checked are the upstream's runs and the answers to callers.
"""

from typing import NamedTuple

from lagoontally_core import (
    AnswerCaller,
    CallerRequest,
    Flow,
    LeaveRequested,
    Request,
    RequestKind,
    Unknown,
)
from lagoontally_core._echo import decode_echo
from lagoontally_core._rendezvous import pick_successor

from ._once_network import WorldBuilder
from ._once_state import Budget, Command, Message, World, body_of
from ._small_fleet import SERVICE, TICK_MS, TIMING, model_constants, serving_fleet
from ._snapshots import MODE_FROZEN, MODE_GONE, Stepper, digest_of, pack, step_seeded

ADDRESSES = ("caller:1", "caller:2")
JUMPS_MS = {
    "past the request's deadline": 2_100,
    "past the life of an Echo": 6_200,
    "past what is remembered": 77_000,
}
JUMP_STEP_MS = 700
MAX_SALTS = 100


class Scope(NamedTuple):
    """The size of a model.

    Attributes:
        balancers: How many balancers there are.
        commands: How many commands the caller sends, all to one service.
        budget: How often each event may happen.
        holds_echo: True when the caller holds an Echo of the first balancer.
        successor_choices: Pairs of candidates, as a string of their names, and the
            one among them that must be the successor of the caller's session.
        prelude: Moves made before the search, each as a prefix of its name.
    """

    balancers: int
    commands: int
    budget: Budget
    holds_echo: bool = False
    successor_choices: tuple[tuple[str, str], ...] = ()
    prelude: tuple[str, ...] = ()


class AtMostOnceModel:
    """The at-most-once protocol at one scope."""

    def __init__(self, scope):
        self.scope = scope
        self.stepper = Stepper(model_constants())

    def initial(self):
        """Return a serving fleet and a caller, after the prelude."""
        fleet = serving_fleet(self.scope.balancers)
        for state in fleet.states.values():
            state.retry_tokens = 1.0
        echo = (
            first_echo(fleet, self.scope.successor_choices)
            if self.scope.holds_echo
            else b""
        )
        balancers = tuple(pack(state) for state in fleet.states.values())
        commands = tuple(Command() for _ in range(self.scope.commands))
        budget = self.scope.budget
        world = World(fleet.now_ms, balancers, {}, commands, budget, echo=echo)
        for prefix in self.scope.prelude:
            world = self._make_move(world, prefix)
        return world

    def _make_move(self, world, prefix):
        return next(
            next_world
            for move, next_world in self.successors(world)
            if move.startswith(prefix)
        )

    def digest(self, world):
        """Return a digest of everything that determines the following states."""
        balancers = [
            (item.state_digest, item.mode, item.queued_events, item.pending_actions)
            for item in world.balancers
        ]
        messages = sorted((key, item.copies) for key, item in world.messages.items())
        rest = world._replace(balancers=(), messages={})
        return digest_of((balancers, messages, rest))

    def outcomes(self, world):
        """Return the outcomes in a state, to detect searches that cover too little."""
        names = [command.status for command in world.commands]
        names += ["a command ran"] * bool(world.runs)
        names += [f"a balancer is {item.mode}" for item in world.balancers]
        return sorted(set(names))

    def find_violation(self, world):
        """Return the promise that a state violates, or None."""
        if world.fault:
            return world.fault
        ran = set(world.runs)
        if len(ran) < len(world.runs):
            return f"one datagram ran twice: {world.runs}"
        if len({command for command, _ in ran}) < len(ran):
            return f"one command ran twice: {world.runs}"
        if ran & world.denied:
            return f"told not run, but ran: {sorted(ran & world.denied)}"
        return None

    def successors(self, world):
        """Yield each move and the state to which it leads."""
        yield from self._caller_moves(world)
        yield from self._deliveries(world)
        yield from self._faults(world)
        yield from self._time_moves(world)

    def _builder(self, world):
        return WorldBuilder(world, self.stepper)

    def _caller_moves(self, world):
        for number, command in enumerate(world.commands):
            if command.status == "idle":
                yield f"send command {number}", send_command(world, number)

    def _deliveries(self, world):
        for key, message in world.messages.items():
            if message.kind == "request":
                yield from self._ingress_moves(world, key, message)
            elif message.kind == "answer":
                yield f"tell the caller {message.text}", receive_answer(world, key)
            elif message.kind == "upstream":
                yield from self._upstream_moves(world, key, message)
            else:
                yield from self._step_moves(world, key, message)

    def _ingress_moves(self, world, key, message):
        rebinds = world.budget.rebinds
        for address in ADDRESSES if rebinds else ADDRESSES[:1]:
            event = CallerRequest(Flow(SERVICE, address), message.payload)
            for balancer in world.balancers:
                addressed = message._replace(to=balancer.info.name, payload=event)
                rebound = address != ADDRESSES[0]
                yield from self._step_moves(world, key, addressed, rebound=rebound)

    def _step_moves(self, world, key, message, *, rebound=False):
        number = world.index_of(message.to)
        balancer = world.balancers[number]
        if balancer.mode == MODE_GONE:
            return
        text = f"{message.text} -> {message.to}"
        if balancer.mode == MODE_FROZEN:
            if message.kind != "peer":
                builder = self._builder(world).consume_copy(key, rebound=rebound)
                yield (
                    f"{text}, held",
                    builder.queue_event(number, message.payload).build(),
                )
            return
        builder = self._builder(world).consume_copy(key, rebound=rebound)
        yield text, builder.deliver(number, message.payload).build()
        if world.budget.freezes:
            builder = self._builder(world).consume_copy(key, rebound=rebound)
            builder.deliver(number, message.payload, freeze=True)
            if builder.balancers[number].pending_actions:
                yield f"{text}, frozen before its actions", builder.build()

    def _upstream_moves(self, world, key, message):
        builder = self._builder(world).consume_copy(key)
        yield f"the target runs {message.text}", builder.run(message).build()
        if world.budget.sheds:
            builder = self._builder(world).consume_copy(key)
            yield f"the target sheds {message.text}", builder.shed(message).build()

    def _faults(self, world):
        for number, balancer in enumerate(world.balancers):
            name, mode = balancer.info.name, balancer.mode
            if mode == MODE_GONE:
                continue
            if world.budget.crashes:
                yield f"{name} crashes", self._builder(world).crash(number).build()
            if mode == MODE_FROZEN:
                yield f"{name} wakes", self._builder(world).resume(number).build()
                continue
            if world.budget.freezes:
                yield f"{name} freezes", self._builder(world).freeze(number).build()
            if world.budget.leaves:
                builder = self._builder(world).spend_budget("leaves")
                builder.deliver(number, LeaveRequested(), unwrapped=True)
                yield f"{name} is asked to leave", builder.build()
            if world.budget.declares:
                yield from self._declarations(world, number)

    def _declarations(self, world, number):
        for other, subject in enumerate(world.balancers):
            if other != number:
                names = world.balancers[number].info.name, subject.info.name
                builder = self._builder(world).declare_dead(number, subject)
                yield f"{names[0]} declares {names[1]} dead", builder.build()

    def _time_moves(self, world):
        if world.budget.ticks:
            builder = (
                self._builder(world).spend_budget("ticks").advance(TICK_MS, TICK_MS)
            )
            yield f"{TICK_MS} ms pass", builder.build()
        if world.budget.jumps:
            for name, jump_ms in JUMPS_MS.items():
                builder = self._builder(world).spend_budget("jumps")
                builder.advance(jump_ms, JUMP_STEP_MS)
                yield f"time goes {name}", builder.build()


def first_echo(fleet, successor_choices):
    """Return an Echo of the first balancer whose session has the given successors.

    Args:
        fleet: The fleet.
        successor_choices: As in ``Scope``.
    """
    state = next(iter(fleet.states.values()))
    for salt in range(MAX_SALTS):
        request = Request(
            RequestKind.COMMAND, b"\xff", 0, True, b"", 1_000, bytes([salt])
        )
        event = CallerRequest(Flow(SERVICE, ADDRESSES[0]), request)
        actions = step_seeded(state, event, fleet.now_ms)
        echo = next(item.echo for item in actions if isinstance(item, AnswerCaller))
        if all(
            _pick_successor_name(echo, names, fleet) == successor
            for names, successor in successor_choices
        ):
            return echo
    raise ValueError(f"no session has the successors {successor_choices}")


def _pick_successor_name(echo, names, fleet):
    incarnations = {fleet.states[name].info.incarnation: name for name in names}
    return incarnations[pick_successor(decode_echo(echo).session, list(incarnations))]


def send_command(world, number):
    """Send a command from the caller, with its newest Echo."""
    command = world.commands[number]
    attempt = command.attempt + 1
    body = body_of(number, attempt, world.echo)
    request = Request(
        kind=RequestKind.COMMAND,
        token=bytes([number, attempt]),
        message_id=100 * number + attempt,
        confirmable=True,
        echo=world.echo,
        remaining_ms=TIMING.request_timeout_ms,
        body=body,
    )
    text = f"datagram {number}.{attempt}"
    message = Message("request", "", request, text, world.budget.copies)
    waiting = command._replace(status="waiting", attempt=attempt)
    return world.with_command(number, waiting).with_message(message)


def receive_answer(world, key):
    """Deliver an answer to the caller; answers to earlier datagrams are dropped."""
    message = world.messages[key]
    world = world.without(key)
    (number, attempt), answer, echo = message.payload
    command = world.commands[number]
    if echo:
        world = world._replace(echo=echo)
    kind = type(answer).__name__
    if kind == "NeedEcho" and attempt < world.budget.attempts:
        return send_command(without_answers(world, number), number)
    status = _STATUS_BY_ANSWER.get(kind, "told not run")
    world = without_answers(world, number)
    return world.with_command(number, command._replace(status=status))


def without_answers(world, number):
    """Return the state without the answers to a command, which are now ignored."""
    remaining = {
        key: item
        for key, item in world.messages.items()
        if item.kind != "answer" or item.payload[0][0] != number
    }
    return world._replace(messages=remaining)


_STATUS_BY_ANSWER = {"Forwarded": "answered", Unknown.__name__: "told unknown"}
