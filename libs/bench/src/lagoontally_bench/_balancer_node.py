"""A simulated balancer: the core, the edges' codec and process faults."""

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
START_WALL_CLOCK_MS = 1_700_000_000_000
MAX_CLOCK_OFFSET_MS = 10_000_000
MAX_SEEDS = 3


class ListedInstance(NamedTuple):
    """An entry of the platform's list."""

    workspace: str
    instance: Instance


class HeldEvent(NamedTuple):
    """An event that waits while the process is frozen.

    Attributes:
        event: The event.
        at_ms: When it arrived, on the balancer's clock.
        discard_on_resume: True when it waits in a socket whose backlog is discarded
            after a pause.
    """

    event: object
    at_ms: int
    discard_on_resume: bool


class BalancerNode:
    """A balancer in a simulated world.

    Attributes:
        name: Its name.
        data_centre: Its data centre.
        workspace: The workspace that it serves.
        alive: False once it has been killed or has left.
        serving: True once it accepts callers' packets.
        frozen: True while the process is stopped.
        held_events: Events that arrived while it was frozen.
        held_actions: ``(action, time)`` decided but not executed before it froze.
        state: The core's state.
        logs: The state changes that it logged.
    """

    def __init__(self, world, name, data_centre, workspace):
        self.world = world
        self.name = name
        self.data_centre = data_centre
        self.workspace = workspace
        self.peer_address = f"{name}:7946"
        self.random = Random(world.random.random())
        self.clock_offset_ms = self.random.randrange(1, MAX_CLOCK_OFFSET_MS)
        self.alive = True
        self.serving = False
        self.leaving = False
        self.frozen = False
        self.held_events = []
        self.held_actions = []
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
            wall_offset_ms=START_WALL_CLOCK_MS - self.clock_offset_ms,
            seeds=self._seeds(),
        )

    def _seeds(self):
        """Return the peers that its settings name: the oldest of its workspace."""
        return tuple(
            node.peer_address
            for node in self.world.balancers.values()
            if node.workspace == self.workspace
        )[:MAX_SEEDS]

    @property
    def places(self):
        """The names by which a cut can refer to it."""
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
        """End the process without notifying anyone."""
        self.alive = False
        self.serving = False
        self.ended_ms = self.world.now_ms

    def leave(self):
        """Request a graceful shutdown."""
        self.leaving = True
        self.handle_event(LeaveRequested(), without_receive_time=True)

    def freeze(self, duration_ms):
        """Pause the process for a while."""
        if self.alive and not self.frozen:
            self.frozen = True
            self.world.after(duration_ms, self._resume)

    def _resume(self):
        """Resume where the process stopped, with its old buffers and view."""
        if not self.alive:
            return
        self.frozen = False
        held_actions, self.held_actions = self.held_actions, []
        for action, decided_ms in held_actions:
            self._execute_unless_faulted(action, decided_ms)
        held_events, self.held_events = self.held_events, []
        for item in held_events:
            if not item.discard_on_resume:
                self._step(item.event)
        self.tick()

    def tick(self):
        """Pass a ``Tick`` to the core."""
        if self.alive and not self.frozen:
            self._step(Tick())

    def handle_event(
        self, event, *, without_receive_time=False, discard_on_resume=False
    ):
        """Handle an event from an edge."""
        if not self.alive:
            return
        if not without_receive_time:
            event = Received(self.clock_ms, event)
        if self.frozen:
            self.held_events.append(HeldEvent(event, self.clock_ms, discard_on_resume))
            return
        self._step(event)

    def receive_peer_message(self, sender, message):
        """Handle a peer message; its stream isn't discarded after a pause.

        It is read, and so timestamped, only when the process runs.
        """
        event = PeerMessage(sender, message)
        if self.frozen:
            self.held_events.append(HeldEvent(event, self.clock_ms, False))
            return
        self.handle_event(event)

    def receive_template(self, document):
        """Handle a document that the platform answered with."""
        self.handle_event(TemplateRead(parse_template(document), document))

    def receive_instances(self, listed):
        """Handle the platform's list of instances."""
        self.handle_event(InstancesRead(tuple(item.instance for item in listed)))

    def receive_caller_datagram(self, caller, service, datagram):
        """Handle a caller's datagram."""
        decoded = decode_caller_datagram(datagram)
        flow = Flow(service, caller)
        if isinstance(decoded, Malformed):
            self.world.counts["malformed"] += 1
        elif isinstance(decoded, Acknowledged):
            self.handle_event(
                CallerAck(flow, decoded.message_id), discard_on_resume=True
            )
        elif isinstance(decoded, ResetReceived):
            self.handle_event(
                CallerReset(flow, decoded.message_id), discard_on_resume=True
            )
        else:
            self.world.notify_listeners("request at ingress", self.name, decoded)
            self.handle_event(CallerRequest(flow, decoded), discard_on_resume=True)

    def receive_upstream_datagram(self, target, path, datagram):
        """Handle an upstream's datagram."""
        decoded = decode_upstream(datagram)
        if isinstance(decoded, Malformed):
            return
        self.world.notify_listeners(
            "answer on its way", self.name, decoded, target=target
        )
        reply = UpstreamReply(
            target,
            path,
            decoded.token,
            decoded.status,
            decoded.observed,
            decoded.retry_after_s,
            datagram,
        )
        self.handle_event(reply, discard_on_resume=True)

    def _step(self, event):
        before = self.state.template_version
        decided_ms = self.clock_ms
        actions = step(self.state, event, decided_ms, self.random)
        if self.state.template_version != before:
            version = self.state.template_version
            self.world.versions.append((self.world.now_ms, self.name, version))
            self.world.notify_listeners("template in force", self.name, version)
        for action in actions:
            self._execute_unless_faulted(action, decided_ms)

    def _execute_unless_faulted(self, action, decided_ms):
        """Execute an action unless a fault is injected just before it.

        If the fault froze the process, the action waits until it resumes.
        """
        if not self.alive:
            return
        name = self._moment_name(action)
        if name is not None and not self.frozen:
            target = getattr(action, "target", "")
            self.world.notify_listeners(name, self.name, action, target=target)
        if not self.alive:
            return
        if self.frozen:
            self.held_actions.append((action, decided_ms))
            return
        stale = self.clock_ms - decided_ms >= PAUSE_MS
        if stale and isinstance(action, SendUpstream):
            return
        self._execute(action)

    def _moment_name(self, action):
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
    def _execute(self, action):
        """Execute an action; actions that only concern logs and metrics do nothing."""

    @_execute.register
    def _(self, action: AnswerCaller):
        self.message_id = (self.message_id + 1) & MESSAGE_ID_MASK
        datagram = encode_answer(action, self.message_id)
        self.world.send_to_caller(self, action.reply_to.flow.caller, datagram)

    @_execute.register
    def _(self, action: NotifyCaller):
        datagram = encode_notification(action)
        self.world.send_to_caller(self, action.flow.caller, datagram)

    @_execute.register
    def _(self, action: ReadTemplate):
        self.world.read_template(self)

    @_execute.register
    def _(self, action: ReadInstances):
        self.world.read_list(self)

    @_execute.register
    def _(self, action: Count):
        self.world.counts[action.name] += action.value

    @_execute.register
    def _(self, action: ServeEntries):
        self.serving = True

    @_execute.register
    def _(self, action: Stop):
        self.kill()

    @_execute.register
    def _(self, action: SendUpstream):
        upstream = self.world.upstreams.get(action.target)
        if upstream is None:
            return
        self.world.record_sent(self.name, action)
        self.message_id = (self.message_id + 1) & MESSAGE_ID_MASK
        datagram = encode_upstream(action, self.message_id)
        path = (self.name, action.path)
        for delay_ms in self.world.links.delays(UPSTREAM, self.places, upstream.places):
            self.world.after(delay_ms, upstream.receive_datagram, path, datagram)

    @_execute.register
    def _(self, action: SendPeer):
        world = self.world
        peers = [
            node
            for node in world.balancers.values()
            if node.alive and node.peer_address == action.peer_address
        ]
        for peer in peers:
            for delay_ms in world.links.delays(PEER, self.places, peer.places):
                world.after(
                    delay_ms,
                    peer.receive_peer_message,
                    self.incarnation,
                    action.message,
                )

    @_execute.register
    def _(self, action: AskIdentity):
        upstream = self.world.upstreams.get(action.target)
        if upstream is None or not upstream.answers():
            return
        reply = IdentityReply(action.target, upstream.workspace, upstream.service)
        delays = self.world.links.delays(UPSTREAM, self.places, upstream.places)
        for delay_ms in delays:
            self.world.after(2 * delay_ms, self.handle_event, reply)


_SEND_MOMENTS = {
    SendKind.REQUEST: "request sent upstream",
    SendKind.LINE_OPEN: "line registered",
    SendKind.LINE_CLOSE: None,
}
