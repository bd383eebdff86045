"""The nodes at the ends of a world: upstreams and callers."""

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
    """One upstream of a world.

    Attributes:
        name: Name of the target.
        address: Its address, as templates name it.
        logic: The stand-in's logic.
        alive: False once it has been killed.
        mute_requests: True while it takes requests and answers none.
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
        """The names by which a cut may reach it."""
        return (self.name, self.data_centre)

    def answers(self):
        """Tell whether it answers anything at all."""
        return self.alive and self.logic.mode is not UpstreamMode.SILENT

    def set_mode(self, mode):
        """Change how it treats new work."""
        self.logic.control({"mode": mode})

    def set_work_ms(self, work_ms):
        """Change how long a request takes."""
        self.logic.control({"work_ms": work_ms})

    def take(self, path, datagram):
        """Take a balancer's datagram from one of its sockets."""
        if not self.alive:
            return
        self._send(self.logic.receive(datagram, path, now_ms=self.world.now_ms))
        self._arm()

    def _arm(self):
        due_ms = self.logic.next_due_ms()
        if due_ms is not None:
            self.world.after(max(0, due_ms - self.world.now_ms) + 1, self._advance)

    def _advance(self):
        due_ms = self.logic.next_due_ms()
        if not self.alive or due_ms is None or due_ms > self.world.now_ms:
            return
        self._send(self.logic.advance(now_ms=self.world.now_ms))
        self._arm()

    def _send(self, outgoing):
        if self.mute_requests:
            return
        for item in outgoing:
            name, path = item.endpoint
            node = self.world.balancers[name]
            delays = self.world.links.delays(UPSTREAM, self.places, node.places)
            for delay_ms in delays:
                self.world.after(
                    delay_ms, node.take_upstream, self.address, path, item.data
                )


class Told(NamedTuple):
    """What a caller was told of one request.

    Attributes:
        request_id: The id in its payload; empty for a request without one.
        workspace: The caller's workspace.
        path: The resource.
        outcome: The caller library's result.
        asked_ms: When it was asked for.
        told_ms: When it was answered.
    """

    request_id: str
    workspace: str
    path: str
    outcome: object
    asked_ms: int
    told_ms: int


class CallerNode:
    """One caller of a world: the caller library's decisions on one address.

    Attributes:
        address: Its present address.
        exchanges: Its unfinished requests by address and token.
        line: Its open line, or None.
        heard: When its line delivered each notification.
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
        self.heard = []
        self.sockets = 0
        self.address = ""
        self.change_address()

    def change_address(self):
        """Go on from another address, as after a device on the way rebound it."""
        self.sockets += 1
        self.address = f"{self.name}:{self.sockets}"
        self.world.callers[self.address] = self

    @property
    def now_s(self):
        """The caller's clock."""
        return self.world.now_ms / MS_PER_S

    def ask(self, request, *, request_id="", timeout_s=20.0):
        """Send a request and keep what comes of it in the world's ``told``."""
        exchange = Exchange(
            request,
            deadline_s=self.now_s + timeout_s,
            identifiers=self.identifiers,
            echo_store=self.echo_store,
        )
        entry = (exchange, request_id, self.world.now_ms)
        self._advance(entry, exchange.start(self.now_s))

    def command(self, path, request_id):
        """Send a command that may run only once."""
        payload = f'{{"id": "{request_id}", "command": "stop"}}'.encode()
        request = protocol.Request(protocol.POST, path, payload)
        self.ask(request, request_id=request_id)

    def read(self, path):
        """Read a resource."""
        self.ask(protocol.Request(protocol.GET, path))

    def _advance(self, entry, datagrams):
        exchange, request_id, asked_ms = entry
        for token in exchange.tokens:
            self.exchanges[token] = entry
        for datagram in datagrams:
            self._send(datagram)
        if exchange.outcome is None:
            delay_ms = (exchange.due_s - self.now_s) * MS_PER_S
            self.world.after(max(0, delay_ms) + 1, self._on_timer, entry)
            return
        if any(self.exchanges.pop(token, None) for token in exchange.tokens):
            told = Told(
                request_id,
                self.workspace,
                exchange.request.path,
                exchange.outcome,
                asked_ms,
                self.world.now_ms,
            )
            self.world.told.append(told)

    def _on_timer(self, entry):
        exchange = entry[0]
        if exchange.outcome is None and exchange.due_s <= self.now_s:
            self._advance(entry, exchange.on_timer(self.now_s))

    def _send(self, datagram):
        self.world.spray(self.address, self.workspace, self.service, datagram)

    def open_line(self, path, **options):
        """Open a line."""
        self.line = LineState(path, identifiers=self.identifiers, **options)
        self._do(self.line.open(self.echo_store, self.now_s))

    def _do(self, actions):
        for action in actions:
            if isinstance(action, SendDatagram):
                self._send(action.datagram)
            elif isinstance(action, ChangeSocket):
                self.change_address()
                self.echo_store = EchoStore()
                self._do(self.line.register(self.echo_store, self.now_s))
            elif isinstance(action, Deliver):
                self.heard.append((self.world.now_ms, action.notification))
        delay_ms = (self.line.due_s - self.now_s) * MS_PER_S
        self.world.after(max(0, delay_ms) + 1, self._on_line_timer)

    def _on_line_timer(self):
        if self.line.due_s <= self.now_s:
            self._do(self.line.on_timer(self.echo_store, self.now_s))

    def take(self, address, datagram):
        """Take a datagram from the entry address."""
        reply = protocol.decode_reply(datagram)
        if isinstance(reply, protocol.Malformed) or not reply.code:
            return
        entry = self.exchanges.get(reply.token)
        on_line = self.line is not None and reply.token == self.line.token
        if reply.type == protocol.CON:
            known = protocol.ACK if entry or on_line else protocol.RST
            datagram = protocol.encode_empty(known, reply.message_id)
            self.world.spray(address, self.workspace, self.service, datagram)
        if entry is not None:
            self._advance(entry, entry[0].on_reply(reply, self.now_s))
        elif on_line and address == self.address:
            self._do(self.line.on_reply(reply, self.echo_store, self.now_s))
