"""Moves of the at-most-once model: applies balancers' steps to a state."""

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
RUN_PREFIX = b"done "
DROPPED_MESSAGES = (PingAck, TemplateDigest)
EXECUTED_ACTIONS = (AnswerCaller, SendPeer, SendUpstream, Stop)


class WorldBuilder:
    """Builds the next state from a state."""

    def __init__(self, world, stepper):
        self.base = world
        self.stepper = stepper
        self.now_ms = world.now_ms
        self.balancers = list(world.balancers)
        self.messages = world.messages
        self.budget = world.budget
        self.runs = world.runs
        self.denied = world.denied
        self.fault = world.fault

    def build(self):
        """Return the next state."""
        return self.base._replace(
            now_ms=self.now_ms,
            balancers=tuple(self.balancers),
            messages=self.messages,
            budget=self.budget,
            runs=self.runs,
            denied=self.denied,
            fault=self.fault,
        )

    def spend_budget(self, name):
        """Decrement an entry of the budget."""
        left = getattr(self.budget, name) - 1
        self.budget = self.budget._replace(**{name: left})
        return self

    def consume_copy(self, key, *, rebound=False):
        """Remove one copy of a message from the network."""
        self.messages = without_copy(self.messages, key)
        return self.spend_budget("rebinds") if rebound else self

    def deliver(self, number, event, *, freeze=False, unwrapped=False):
        """Step a balancer; ``freeze`` pauses it before it executes its actions."""
        if not unwrapped:
            event = Received(self.now_ms, event)
        balancer = self.balancers[number]
        balancer, actions = self.stepper.step(balancer, ((self.now_ms, event),))
        if freeze:
            self.spend_budget("freezes")
            pending = [
                (self.now_ms, action)
                for action in actions
                if isinstance(action, EXECUTED_ACTIONS)
            ]
            balancer = balancer._replace(
                mode=MODE_FROZEN, pending_actions=tuple(pending)
            )
            actions = ()
        self.balancers[number] = balancer
        for action in actions:
            self._execute(number, action)
        return self

    def queue_event(self, number, event):
        """Queue an event in a frozen process."""
        balancer = self.balancers[number]
        queued_events = (*balancer.queued_events, (self.now_ms, event))
        self.balancers[number] = balancer._replace(queued_events=queued_events)
        return self

    def freeze(self, number):
        """Freeze a process between two steps."""
        self.spend_budget("freezes")
        self.balancers[number] = self.balancers[number]._replace(mode=MODE_FROZEN)
        return self

    def resume(self, number):
        """Resume a frozen process with its pending actions and queued events."""
        balancer = self.balancers[number]
        self.balancers[number] = balancer._replace(
            mode=MODE_UP, queued_events=(), pending_actions=()
        )
        for decided_ms, action in balancer.pending_actions:
            stale = self.now_ms - decided_ms >= PAUSE_MS
            if not (stale and isinstance(action, SendUpstream)):
                self._execute(number, action)
        for received_ms, event in balancer.queued_events:
            if self.balancers[number].mode == MODE_UP:
                self.deliver(number, Received(received_ms, event), unwrapped=True)
        if self.balancers[number].mode == MODE_UP:
            self.deliver(number, Tick(), unwrapped=True)
        return self

    def crash(self, number):
        """Crash a process."""
        self.spend_budget("crashes")
        self._end(number)
        return self

    def _end(self, number):
        balancer = self.balancers[number]
        self.balancers[number] = balancer._replace(
            mode=MODE_GONE,
            packed=b"",
            state_digest=b"",
            queued_events=(),
            pending_actions=(),
        )
        name = balancer.info.name
        self.messages = {
            key: item for key, item in self.messages.items() if item.to != name
        }

    def declare_dead(self, number, subject):
        """Make one balancer declare another dead, rightly or wrongly."""
        self.spend_budget("declares")
        state = unpack(self.balancers[number], self.stepper.model_constants)
        incarnation = subject.info.incarnation
        if incarnation in state.membership.records:
            state.membership.mark(incarnation, DEAD, self.now_ms)
        self.balancers[number] = pack(state)
        return self

    def advance(self, duration_ms, step_ms):
        """Advance the time and send ticks to every running balancer."""
        until_ms = self.now_ms + duration_ms
        times = (*range(self.now_ms + step_ms, until_ms, step_ms), until_ms)
        self.now_ms = until_ms
        ticks = tuple((at_ms, Tick()) for at_ms in times)
        for number, balancer in enumerate(self.balancers):
            if balancer.mode != MODE_UP:
                continue
            self.balancers[number], actions = self.stepper.step(balancer, ticks)
            for action in actions:
                self._execute(number, action)
        return self

    def run(self, message):
        """Run a request on the target and answer it."""
        action = message.payload[1]
        self.runs = (*self.runs, datagram_of(action.body))
        return self._reply(message, ReplyStatus.ANSWERED, RUN_PREFIX + action.body)

    def shed(self, message):
        """Refuse a request as the target is overloaded."""
        return self.spend_budget("sheds")._reply(message, ReplyStatus.SHED, b"shed")

    def _reply(self, message, status, body):
        name, action = message.payload
        reply = UpstreamReply(
            action.target, action.path, action.token, status, False, 0, body
        )
        text = f"{status.value} {message.text}"
        return self._add_message(Message("reply", name, reply, text))

    def _add_message(self, message):
        names = [item.info.name for item in self.balancers if item.mode != MODE_GONE]
        if not message.to or message.to in names:
            self.messages = {**self.messages, message.key(): message}
        return self

    def _execute(self, number, action):
        name = self.balancers[number].info.name
        if isinstance(action, AnswerCaller):
            self._answer_caller(action)
        elif isinstance(action, SendUpstream):
            text = "datagram {}.{}".format(*datagram_of(action.body))
            self._add_message(Message("upstream", "", (name, action), text))
        elif isinstance(action, SendPeer):
            self._send_to_peer(number, action)
        elif isinstance(action, Stop):
            self._end(number)

    def _send_to_peer(self, number, action):
        if isinstance(action.message, DROPPED_MESSAGES):
            return
        info = self.balancers[number].info
        to = action.peer_address.partition(":")[0]
        event = PeerMessage(info.incarnation, action.message)
        text = f"{type(action.message).__name__} of {info.name}"
        self._add_message(Message("peer", to, event, text))

    def _answer_caller(self, action):
        datagram = tuple(action.reply_to.token)
        answer = action.answer
        kind = type(answer).__name__
        if isinstance(answer, NeedEcho | Refused):
            self.denied = self.denied | {datagram}
        elif isinstance(answer, Forwarded):
            own = answer.body.startswith(RUN_PREFIX + bytes(datagram))
            if not own:
                self.fault = f"datagram {datagram} was answered {answer.body!r}"
        command = self.base.commands[datagram[0]]
        if command.status != "waiting" or command.attempt != datagram[1]:
            # The caller ignores answers to earlier datagrams.
            return
        text = f"{kind} to datagram {datagram[0]}.{datagram[1]}"
        self._add_message(Message("answer", "", (datagram, answer, action.echo), text))
