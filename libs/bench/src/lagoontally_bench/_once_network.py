"""Moves of the at-most-once model: what a step of a balancer leads to."""

from lagoontally_core import (
    PAUSE_MS,
    AnswerCaller,
    Forwarded,
    NeedEcho,
    PeerMessage,
    PingAck,
    Received,
    Refused,
    ReplyStatus,
    SendPeer,
    SendUpstream,
    Stop,
    TemplateDigest,
    Tick,
    UpstreamReply,
)

from ._once_state import Message, datagram_of, without_copy
from ._snapshots import MODE_FROZEN, MODE_GONE, MODE_UP, pack, unpack

DEAD = 3
RUN = b"done "
DROPPED = (PingAck, TemplateDigest)
PERFORMED = (AnswerCaller, SendPeer, SendUpstream, Stop)


class Draft:
    """The following state while it is made."""

    def __init__(self, world, stepper):
        self.before = world
        self.stepper = stepper
        self.now_ms = world.now_ms
        self.balancers = list(world.balancers)
        self.messages = world.messages
        self.budget = world.budget
        self.runs = world.runs
        self.denied = world.denied
        self.fault = world.fault

    def world(self):
        """Return the state."""
        return self.before._replace(
            now_ms=self.now_ms,
            balancers=tuple(self.balancers),
            messages=self.messages,
            budget=self.budget,
            runs=self.runs,
            denied=self.denied,
            fault=self.fault,
        )

    def use(self, name):
        """Spend one of a budget."""
        left = getattr(self.budget, name) - 1
        self.budget = self.budget._replace(**{name: left})
        return self

    def spend(self, key, *, rebound=False):
        """Take one copy of a message from the network."""
        self.messages = without_copy(self.messages, key)
        return self.use("rebinds") if rebound else self

    def deliver(self, number, event, *, freeze=False, bare=False):
        """Step a balancer; ``freeze`` stops it before it acts."""
        if not bare:
            event = Received(self.now_ms, event)
        balancer = self.balancers[number]
        balancer, actions = self.stepper.step(balancer, ((self.now_ms, event),))
        if freeze:
            self.use("freezes")
            waiting = [
                (self.now_ms, action)
                for action in actions
                if isinstance(action, PERFORMED)
            ]
            balancer = balancer._replace(mode=MODE_FROZEN, unperformed=tuple(waiting))
            actions = ()
        self.balancers[number] = balancer
        for action in actions:
            self._perform(number, action)
        return self

    def hold(self, number, event):
        """Let an event wait in a frozen process."""
        balancer = self.balancers[number]
        held = (*balancer.held, (self.now_ms, event))
        self.balancers[number] = balancer._replace(held=held)
        return self

    def freeze(self, number):
        """Stop a process between two steps."""
        self.use("freezes")
        self.balancers[number] = self.balancers[number]._replace(mode=MODE_FROZEN)
        return self

    def wake(self, number):
        """Let a process go on where it stopped, with its old buffers."""
        balancer = self.balancers[number]
        self.balancers[number] = balancer._replace(
            mode=MODE_UP, held=(), unperformed=()
        )
        for decided_ms, action in balancer.unperformed:
            stale = self.now_ms - decided_ms >= PAUSE_MS
            if not (stale and isinstance(action, SendUpstream)):
                self._perform(number, action)
        for received_ms, event in balancer.held:
            if self.balancers[number].mode == MODE_UP:
                self.deliver(number, Received(received_ms, event), bare=True)
        if self.balancers[number].mode == MODE_UP:
            self.deliver(number, Tick(), bare=True)
        return self

    def crash(self, number):
        """End a process without a word."""
        self.use("crashes")
        self._end(number)
        return self

    def _end(self, number):
        balancer = self.balancers[number]
        self.balancers[number] = balancer._replace(
            mode=MODE_GONE, packed=b"", mark=b"", held=(), unperformed=()
        )
        name = balancer.info.name
        self.messages = {
            key: item for key, item in self.messages.items() if item.to != name
        }

    def declare_dead(self, number, subject):
        """Let one balancer hold another for dead, rightly or not."""
        self.use("declares")
        state = unpack(self.balancers[number], self.stepper.model_constants)
        incarnation = subject.info.incarnation
        if incarnation in state.membership.records:
            state.membership.mark(incarnation, DEAD, self.now_ms)
        self.balancers[number] = pack(state)
        return self

    def advance(self, duration_ms, step_ms):
        """Let time pass on every balancer that runs, with ticks on the way."""
        until_ms = self.now_ms + duration_ms
        times = (*range(self.now_ms + step_ms, until_ms, step_ms), until_ms)
        self.now_ms = until_ms
        ticks = tuple((at_ms, Tick()) for at_ms in times)
        for number, balancer in enumerate(self.balancers):
            if balancer.mode != MODE_UP:
                continue
            self.balancers[number], actions = self.stepper.step(balancer, ticks)
            for action in actions:
                self._perform(number, action)
        return self

    def run(self, message):
        """Let the target run a request and answer it."""
        action = message.payload[1]
        self.runs = (*self.runs, datagram_of(action.body))
        return self._reply(message, ReplyStatus.ANSWERED, RUN + action.body)

    def shed(self, message):
        """Let the target refuse a request as it is busy."""
        return self.use("sheds")._reply(message, ReplyStatus.SHED, b"shed")

    def _reply(self, message, status, body):
        name, action = message.payload
        reply = UpstreamReply(
            action.target, action.path, action.token, status, False, 0, body
        )
        text = f"{status.value} {message.text}"
        return self._add(Message("reply", name, reply, text))

    def _add(self, message):
        names = [item.info.name for item in self.balancers if item.mode != MODE_GONE]
        if not message.to or message.to in names:
            self.messages = {**self.messages, message.key(): message}
        return self

    def _perform(self, number, action):
        name = self.balancers[number].info.name
        if isinstance(action, AnswerCaller):
            self._answer(action)
        elif isinstance(action, SendUpstream):
            text = "datagram {}.{}".format(*datagram_of(action.body))
            self._add(Message("upstream", "", (name, action), text))
        elif isinstance(action, SendPeer):
            self._send(number, action)
        elif isinstance(action, Stop):
            self._end(number)

    def _send(self, number, action):
        if isinstance(action.message, DROPPED):
            return
        info = self.balancers[number].info
        to = action.peer_address.partition(":")[0]
        event = PeerMessage(info.incarnation, action.message)
        text = f"{type(action.message).__name__} of {info.name}"
        self._add(Message("peer", to, event, text))

    def _answer(self, action):
        datagram = tuple(action.reply_to.token)
        answer = action.answer
        kind = type(answer).__name__
        if isinstance(answer, NeedEcho | Refused):
            self.denied = self.denied | {datagram}
        elif isinstance(answer, Forwarded):
            own = answer.body.startswith(RUN + bytes(datagram))
            if not own:
                self.fault = f"datagram {datagram} was answered {answer.body!r}"
        command = self.before.commands[datagram[0]]
        if command.status != "waiting" or command.attempt != datagram[1]:
            # The caller takes no notice of it.
            return
        text = f"{kind} to datagram {datagram[0]}.{datagram[1]}"
        self._add(Message("answer", "", (datagram, answer, action.echo), text))
