"""A balancer of a world: the core, the edges' codec, and faults of a process."""

from functools import singledispatchmethod
from random import Random
from typing import NamedTuple

from lagoontally_core import (
    PAUSE_MS,
    AnswerCaller,
    AskIdentity,
    CallerAck,
    CallerRequest,
    CallerReset,
    Count,
    Flow,
    Forwarded,
    IdentityReply,
    Instance,
    InstancesRead,
    LeaveRequested,
    NeedEcho,
    NotifyCaller,
    PeerMessage,
    ReadInstances,
    ReadTemplate,
    Received,
    SelfInfo,
    SendKind,
    SendPeer,
    SendUpstream,
    ServeEntries,
    State,
    Stop,
    TemplateRead,
    Tick,
    UpstreamReply,
    step,
)
from lagoontally_edges import (
    Acknowledged,
    Malformed,
    ResetReceived,
    decode_caller_datagram,
    decode_upstream,
    encode_answer,
    encode_notification,
    encode_upstream,
)
from lagoontally_model import parse_template

from ._links import PEER, UPSTREAM

MESSAGE_ID_MASK = 0xFFFF
WALL_CLOCK_MS = 1_700_000_000_000
CLOCK_SPREAD_MS = 10_000_000
SEEDS = 3


class ListedInstance(NamedTuple):
    """An entry of the platform's list."""

    workspace: str
    instance: Instance


class Held(NamedTuple):
    """Something that waits while the process is frozen.

    Attributes:
        event: The event.
        at_ms: When it arrived, on the balancer's clock.
        drained: True when it waited in a socket that is emptied after a pause.
    """

    event: object
    at_ms: int
    drained: bool


class BalancerNode:
    """One balancer of a world.

    Attributes:
        name: Its name.
        data_centre: Its data centre.
        workspace: The workspace that it serves.
        alive: False once it has been killed or has left.
        serving: True once it takes callers' packets.
        frozen: True while the process is stopped.
        held: What arrived while it was frozen.
        state: The core's state.
        logs: The changes of state that it logged.
    """

    def __init__(self, world, name, data_centre, workspace):
        self.world = world
        self.name = name
        self.data_centre = data_centre
        self.workspace = workspace
        self.peer_address = f"{name}:7946"
        self.random = Random(world.random.random())
        self.clock_offset_ms = self.random.randrange(1, CLOCK_SPREAD_MS)
        self.alive = True
        self.serving = False
        self.leaving = False
        self.frozen = False
        self.held = []
        self.unperformed = []
        self.started_ms = world.now_ms
        self.ended_ms = 0
        self.message_id = 0
        self.logs = []
        self.state = State(self._info(), world.timing)
        self.incarnation = self.state.info.incarnation

    def _info(self):
        return SelfInfo(
            incarnation=self.random.getrandbits(64),
            name=self.name,
            workspace=self.workspace,
            data_centre=self.data_centre,
            peer_address=self.peer_address,
            echo_key=self.random.randbytes(32),
            wall_offset_ms=WALL_CLOCK_MS - self.clock_offset_ms,
            seeds=self._seeds(),
        )

    def _seeds(self):
        """Return the peers that its settings name: the oldest of its workspace."""
        return tuple(
            node.peer_address
            for node in self.world.balancers.values()
            if node.workspace == self.workspace
        )[:SEEDS]

    @property
    def places(self):
        """The names by which a cut may reach it."""
        return (self.name, self.data_centre)

    @property
    def clock_ms(self):
        """Its own monotonic clock."""
        return self.world.now_ms + self.clock_offset_ms

    def instance(self):
        """Return its entry of the platform's list."""
        instance = Instance(
            self.name, self.data_centre, self.peer_address, self.leaving
        )
        return ListedInstance(self.workspace, instance)

    def kill(self):
        """End the process without a word."""
        self.alive = False
        self.serving = False
        self.ended_ms = self.world.now_ms

    def leave(self):
        """Ask the process to leave."""
        self.leaving = True
        self.take(LeaveRequested(), bare=True)

    def freeze(self, duration_ms):
        """Stop the process for a while."""
        if self.alive and not self.frozen:
            self.frozen = True
            self.world.after(duration_ms, self._wake)

    def _wake(self):
        """Go on where the process stopped, with old buffers and an old view."""
        if not self.alive:
            return
        self.frozen = False
        unperformed, self.unperformed = self.unperformed, []
        for action, decided_ms in unperformed:
            self._perform_guarded(action, decided_ms)
        held, self.held = self.held, []
        for item in held:
            if not item.drained:
                self._step(item.event)
        self.tick()

    def tick(self):
        """Tell the core the time."""
        if self.alive and not self.frozen:
            self._step(Tick())

    def take(self, event, *, bare=False, drained=False):
        """Take an event from an edge."""
        if not self.alive:
            return
        if not bare:
            event = Received(self.clock_ms, event)
        if self.frozen:
            self.held.append(Held(event, self.clock_ms, drained))
            return
        self._step(event)

    def take_peer(self, sender, message):
        """Take a peer message; its stream isn't emptied after a pause.

        It is read, and so dated, only when the process runs.
        """
        event = PeerMessage(sender, message)
        if self.frozen:
            self.held.append(Held(event, self.clock_ms, False))
            return
        self.take(event)

    def take_template(self, document):
        """Take a document that the platform answered with."""
        self.take(TemplateRead(parse_template(document), document))

    def take_list(self, listed):
        """Take the platform's list."""
        self.take(InstancesRead(tuple(item.instance for item in listed)))

    def take_datagram(self, caller, service, datagram):
        """Take a caller's datagram."""
        decoded = decode_caller_datagram(datagram)
        flow = Flow(service, caller)
        if isinstance(decoded, Malformed):
            self.world.counts["malformed"] += 1
        elif isinstance(decoded, Acknowledged):
            self.take(CallerAck(flow, decoded.message_id), drained=True)
        elif isinstance(decoded, ResetReceived):
            self.take(CallerReset(flow, decoded.message_id), drained=True)
        else:
            self.world.moment("request at ingress", self.name, decoded)
            self.take(CallerRequest(flow, decoded), drained=True)

    def take_upstream(self, target, path, datagram):
        """Take an upstream's datagram."""
        decoded = decode_upstream(datagram)
        if isinstance(decoded, Malformed):
            return
        self.world.moment("answer on its way", self.name, decoded, target=target)
        reply = UpstreamReply(
            target,
            path,
            decoded.token,
            decoded.status,
            decoded.observed,
            decoded.retry_after_s,
            datagram,
        )
        self.take(reply, drained=True)

    def _step(self, event):
        before = self.state.template_version
        decided_ms = self.clock_ms
        actions = step(self.state, event, decided_ms, self.random)
        if self.state.template_version != before:
            version = self.state.template_version
            self.world.versions.append((self.world.now_ms, self.name, version))
            self.world.moment("template in force", self.name, version)
        for action in actions:
            self._perform_guarded(action, decided_ms)

    def _perform_guarded(self, action, decided_ms):
        """Perform an action unless a fault strikes at this very point."""
        if not self.alive:
            return
        name = self._name_of(action)
        if name is not None and not self.frozen:
            target = getattr(action, "target", "")
            self.world.moment(name, self.name, action, target=target)
        if not self.alive:
            return
        if self.frozen:
            self.unperformed.append((action, decided_ms))
            return
        stale = self.clock_ms - decided_ms >= PAUSE_MS
        if stale and isinstance(action, SendUpstream):
            return
        self._perform(action)

    def _name_of(self, action):
        """Return the name of the moment just before an action, or None."""
        if isinstance(action, AnswerCaller):
            if isinstance(action.answer, NeedEcho):
                return "echo asked"
            forwarded = isinstance(action.answer, Forwarded)
            return "answer sent" if forwarded else "refusal sent"
        if isinstance(action, SendUpstream):
            return _SEND_MOMENTS[action.kind]
        if isinstance(action, SendPeer):
            return f"{type(action.message).__name__} sent"
        if isinstance(action, NotifyCaller):
            return "notification on its way"
        return None

    @singledispatchmethod
    def _perform(self, action):
        """Perform an action; what only concerns logs and metrics does nothing."""

    @_perform.register
    def _(self, action: AnswerCaller):
        self.message_id = (self.message_id + 1) & MESSAGE_ID_MASK
        datagram = encode_answer(action, self.message_id)
        self.world.to_caller(self, action.reply_to.flow.caller, datagram)

    @_perform.register
    def _(self, action: NotifyCaller):
        datagram = encode_notification(action)
        self.world.to_caller(self, action.flow.caller, datagram)

    @_perform.register
    def _(self, action: ReadTemplate):
        self.world.read_template(self)

    @_perform.register
    def _(self, action: ReadInstances):
        self.world.read_list(self)

    @_perform.register
    def _(self, action: Count):
        self.world.counts[action.name] += action.value

    @_perform.register
    def _(self, action: ServeEntries):
        self.serving = True

    @_perform.register
    def _(self, action: Stop):
        self.kill()

    @_perform.register
    def _(self, action: SendUpstream):
        upstream = self.world.upstreams.get(action.target)
        if upstream is None:
            return
        self.world.note_sent(self.name, action)
        self.message_id = (self.message_id + 1) & MESSAGE_ID_MASK
        datagram = encode_upstream(action, self.message_id)
        path = (self.name, action.path)
        for delay_ms in self.world.links.delays(UPSTREAM, self.places, upstream.places):
            self.world.after(delay_ms, upstream.take, path, datagram)

    @_perform.register
    def _(self, action: SendPeer):
        world = self.world
        peers = [
            node
            for node in world.balancers.values()
            if node.alive and node.peer_address == action.peer_address
        ]
        for peer in peers:
            for delay_ms in world.links.delays(PEER, self.places, peer.places):
                world.after(delay_ms, peer.take_peer, self.incarnation, action.message)

    @_perform.register
    def _(self, action: AskIdentity):
        upstream = self.world.upstreams.get(action.target)
        if upstream is None or not upstream.answers():
            return
        reply = IdentityReply(action.target, upstream.workspace, upstream.service)
        delays = self.world.links.delays(UPSTREAM, self.places, upstream.places)
        for delay_ms in delays:
            self.world.after(2 * delay_ms, self.take, reply)


_SEND_MOMENTS = {
    SendKind.REQUEST: "request sent upstream",
    SendKind.LINE_OPEN: "line registered",
    SendKind.LINE_CLOSE: None,
}
