"""Simulated upstreams and callers."""

from random import Random
from typing import NamedTuple

from lagoontally_caller import protocol
from lagoontally_caller.protocol import (
    ChangeSocket,
    Deliver,
    EchoStore,
    Exchange,
    Identifiers,
    LineState,
    SendDatagram,
)
from lagoontally_standins import Upstream, UpstreamMode, UpstreamSettings

from ._links import UPSTREAM

MS_PER_S = 1_000


class UpstreamNode:
    """An upstream in a simulated world.

    Attributes:
        name: Name of the target.
        address: Its address, as templates name it.
        logic: The stand-in's logic.
        alive: False once it has been killed.
        mute_requests: True while it accepts requests and answers none.
    """

    def __init__(self, world, *, name, address, data_centre, service, workspace):
        self.world = world
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.service = service
        self.workspace = workspace
        self.alive = True
        self.mute_requests = False
        settings = UpstreamSettings(
            target=name,
            workspace=workspace,
            service=service,
            address=address,
            control="",
            ledger_dir="",
        )
        self.logic = Upstream(settings, ledger=world.record_run, now_ms=world.now_ms)
        world.upstreams[address] = self

    @property
    def places(self):
        """The names by which a cut can refer to it."""
        return (self.name, self.data_centre)

    def answers(self):
        """Return whether it answers anything at all."""
        return self.alive and self.logic.mode is not UpstreamMode.SILENT

    def set_mode(self, mode):
        """Change how it treats new work."""
        self.logic.control({"mode": mode})

    def set_work_ms(self, work_ms):
        """Change how long a request takes."""
        self.logic.control({"work_ms": work_ms})

    def receive_datagram(self, path, datagram):
        """Handle a datagram from one of a balancer's sockets."""
        if not self.alive:
            return
        self._send(self.logic.receive(datagram, path, now_ms=self.world.now_ms))
        self._schedule_timer()

    def _schedule_timer(self):
        due_ms = self.logic.next_due_ms()
        if due_ms is not None:
            self.world.after(max(0, due_ms - self.world.now_ms) + 1, self._advance)

    def _advance(self):
        due_ms = self.logic.next_due_ms()
        if not self.alive or due_ms is None or due_ms > self.world.now_ms:
            return
        self._send(self.logic.advance(now_ms=self.world.now_ms))
        self._schedule_timer()

    def _send(self, outgoing):
        if self.mute_requests:
            return
        for item in outgoing:
            name, path = item.endpoint
            node = self.world.balancers[name]
            delays = self.world.links.delays(UPSTREAM, self.places, node.places)
            for delay_ms in delays:
                self.world.after(
                    delay_ms,
                    node.receive_upstream_datagram,
                    self.address,
                    path,
                    item.data,
                )


class RequestOutcome(NamedTuple):
    """The outcome of a request, as its caller saw it.

    Attributes:
        request_id: The id in its payload; empty for a request without one.
        workspace: The caller's workspace.
        path: The resource.
        outcome: The caller library's result.
        started_ms: When the caller started it.
        ended_ms: When it was answered or failed.
    """

    request_id: str
    workspace: str
    path: str
    outcome: object
    started_ms: int
    ended_ms: int


class CallerNode:
    """A caller in a simulated world: the caller library on one address.

    Attributes:
        address: Its current address.
        exchanges: Its unfinished requests by token.
        line: Its open line, or None.
        notifications: ``(time, notification)`` of each one that its line delivered.
    """

    def __init__(self, world, *, name, workspace, service):
        self.world = world
        self.name = name
        self.workspace = workspace
        self.service = service
        self.random = Random(world.random.random())
        self.identifiers = Identifiers(random=self.random)
        self.echo_store = EchoStore()
        self.exchanges = {}
        self.line = None
        self.notifications = []
        self.sockets = 0
        self.address = ""
        self.change_address()

    def change_address(self):
        """Continue from another address, as after a NAT rebinding."""
        self.sockets += 1
        self.address = f"{self.name}:{self.sockets}"
        self.world.callers[self.address] = self

    @property
    def now_s(self):
        """The caller's clock."""
        return self.world.now_ms / MS_PER_S

    def ask(self, request, *, request_id="", timeout_s=20.0):
        """Send a request; its result is added to the world's ``outcomes``."""
        exchange = Exchange(
            request,
            deadline_s=self.now_s + timeout_s,
            identifiers=self.identifiers,
            echo_store=self.echo_store,
        )
        entry = (exchange, request_id, self.world.now_ms)
        self._advance(entry, exchange.start(self.now_s))

    def command(self, path, request_id):
        """Send a command, which must run at most once."""
        payload = f'{{"id": "{request_id}", "command": "stop"}}'.encode()
        request = protocol.Request(protocol.POST, path, payload)
        self.ask(request, request_id=request_id)

    def read(self, path):
        """Read a resource."""
        self.ask(protocol.Request(protocol.GET, path))

    def _advance(self, entry, datagrams):
        exchange, request_id, started_ms = entry
        for token in exchange.tokens:
            self.exchanges[token] = entry
        for datagram in datagrams:
            self._send(datagram)
        if exchange.outcome is None:
            delay_ms = (exchange.due_s - self.now_s) * MS_PER_S
            self.world.after(max(0, delay_ms) + 1, self._on_timer, entry)
            return
        if any(self.exchanges.pop(token, None) for token in exchange.tokens):
            outcome = RequestOutcome(
                request_id,
                self.workspace,
                exchange.request.path,
                exchange.outcome,
                started_ms,
                self.world.now_ms,
            )
            self.world.outcomes.append(outcome)

    def _on_timer(self, entry):
        exchange = entry[0]
        if exchange.outcome is None and exchange.due_s <= self.now_s:
            self._advance(entry, exchange.on_timer(self.now_s))

    def _send(self, datagram):
        self.world.send_to_any_balancer(
            self.address, self.workspace, self.service, datagram
        )

    def open_line(self, path, **options):
        """Open a line."""
        self.line = LineState(path, identifiers=self.identifiers, **options)
        self._execute(self.line.open(self.echo_store, self.now_s))

    def _execute(self, actions):
        for action in actions:
            if isinstance(action, SendDatagram):
                self._send(action.datagram)
            elif isinstance(action, ChangeSocket):
                self.change_address()
                self.echo_store = EchoStore()
                self._execute(self.line.register(self.echo_store, self.now_s))
            elif isinstance(action, Deliver):
                self.notifications.append((self.world.now_ms, action.notification))
        delay_ms = (self.line.due_s - self.now_s) * MS_PER_S
        self.world.after(max(0, delay_ms) + 1, self._on_line_timer)

    def _on_line_timer(self):
        if self.line.due_s <= self.now_s:
            self._execute(self.line.on_timer(self.echo_store, self.now_s))

    def receive_datagram(self, address, datagram):
        """Handle a datagram from the entry address."""
        reply = protocol.decode_reply(datagram)
        if isinstance(reply, protocol.Malformed) or not reply.code:
            return
        entry = self.exchanges.get(reply.token)
        on_line = self.line is not None and reply.token == self.line.token
        if reply.type == protocol.CON:
            known = protocol.ACK if entry or on_line else protocol.RST
            datagram = protocol.encode_empty(known, reply.message_id)
            self.world.send_to_any_balancer(
                address, self.workspace, self.service, datagram
            )
        if entry is not None:
            self._advance(entry, entry[0].on_reply(reply, self.now_s))
        elif on_line and address == self.address:
            self._execute(self.line.on_reply(reply, self.echo_store, self.now_s))
