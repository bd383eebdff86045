"""One balancer with its real store reader on a virtual clock."""

from json import loads
from random import Random
from types import SimpleNamespace

from lagoontally_flows import (
    BY_READER,
    Balancer,
    Beacon,
    ConfigurationDelta,
    Delta,
    Evacuated,
    RelayAck,
    Relayed,
    Relays,
    StoreSync,
    VersionCheck,
)
from lagoontally_forwarder import _store_reader
from lagoontally_forwarder._http_client import HttpResponse
from lagoontally_forwarder._messages import (
    decode_message,
    encode_message,
    split_evacuated,
)
from lagoontally_forwarder._rereads import Rereads
from lagoontally_forwarder._targets_exchange import TargetsServer
from lagoontally_forwarder._view_document import encode_configuration

TICK_MS = 50
STORE_ADDRESS = ("store", 1)
PEER_PORT = 2


class Process:
    """One balancer process; its loop, its peers, its log and its metrics.

    Attributes:
        alive: Whether it runs.
        held: What has reached it while it stands still, None while it runs on.
        joined_ms: From when on its messages reach the others.
    """

    def __init__(self, fleet, name, priority, seed):
        self.fleet = fleet
        self.name = name
        self.priority = priority
        self.alive = True
        self.held = None
        self.joined_ms = fleet.now_ms + fleet.random.choice((20, 300))
        random = Random(seed)
        self.store_sync = StoreSync(priority=priority, random=random)
        self.balancer = Balancer(
            data_centre="z0", random=random, evacuations=self.store_sync.evacuations
        )
        self.store_reader = _store_reader.StoreReader(
            self,
            SimpleNamespace(
                store_address=STORE_ADDRESS, peer_address=(name, PEER_PORT)
            ),
            store_sync=self.store_sync,
            balancer=self.balancer,
            peers=self,
            log=self,
            metrics=self,
        )
        self.targets_server = TargetsServer(self.balancer.view, self.balancer.warm_ups)
        self.relays = Relays()
        self.version = 0
        self.rereads = Rereads(
            store_sync=self.store_sync,
            version_check=VersionCheck(random=random),
            peers=self,
            log=self,
            metrics=self,
        )
        self._periodic()

    def clock(self):
        """Return the time."""
        return self.fleet.now_ms

    def line(self, event, **fields):
        """Log a line."""
        self.fleet.trace(self.name, event, fields)

    def add(self, name, label):
        """Count nothing."""

    def observe_ms(self, name, value):
        """Measure nothing."""

    def broadcast(self, message):
        """Send a message to the other processes."""
        if isinstance(message, Delta):
            changes = [(key, bool(target)) for key, target in message.entries]
            self.line("delta_sent", of=message._replace(entries=()), changes=changes)
        data = encode_message(message)
        if data is not None and self.clock() >= self.joined_ms:
            self.fleet.broadcast(self, message, data)
        return data is not None

    def send_change(self, delta):
        """Send a change of the targets, through relays if there are enough members."""
        names = [one.name for one in self.fleet.living() if one is not self]
        sent = self.relays.send(delta, names, self.clock())
        if any(isinstance(message, Relayed) for _, message in sent):
            self._send(sent)
        else:
            self.broadcast(delta)

    def _send(self, messages):
        """Send messages to single processes."""
        for name, message in messages if self.clock() >= self.joined_ms else ():
            data, receiver = encode_message(message), self.fleet.processes[name]
            self.fleet.send(self, receiver, message, data)

    def deliver(self, action, *arguments):
        """Run an action as soon as the process can, unless it has ended."""
        if not self.alive:
            return
        if self.held is not None:
            self.held.append((action, arguments))
            return
        action(*arguments)
        self.tick()

    def resume(self):
        """Go on after a pause with all that has arrived."""
        held, self.held = self.held or (), None
        for action, arguments in held:
            self.deliver(action, *arguments)

    def receive(self, data, host):
        """Handle a message of a peer."""
        message, now_ms = decode_message(data), self.clock()
        if isinstance(message, Beacon):
            digest = self.balancer.view.digest
            self.store_sync.on_beacon(message, host, now_ms, digest=digest)
        elif isinstance(message, Evacuated):
            self.store_sync.evacuations.on_message(message, host, now_ms)
        elif isinstance(message, RelayAck):
            self.relays.on_ack(message, host)
        elif isinstance(message, Relayed):
            self._send([(host, RelayAck(message.number))])
            _, _, names, _ = loads(data)  # no hosts, so they were left out of it
            self._send([(name, message.message) for name in names])
            self.receive(encode_message(message.message), host)
        elif isinstance(message, Delta):
            before = self.store_sync.history.view
            self.store_reader.on_delta(message, now_ms)
            position, view = message.position, self.store_sync.history.view
            self.line("delta", host=host, position=position, before=before, view=view)
        elif isinstance(message, ConfigurationDelta):
            self.store_reader.configuration_updates.on_delta(message)

    def serve(self, path):
        """Return the response to a peer's request, as the process does."""
        configuration, history = self.balancer.configuration, self.store_sync.history
        body = None
        if self.store_sync.has_targets:
            body = self.targets_server.document(
                path, history.announced_view, self.clock()
            )
        if body is not None:
            return HttpResponse(200, b"", body)
        if path == _store_reader.CONFIGURATION_PATH and configuration is not None:
            return HttpResponse(200, b"", encode_configuration(configuration))
        return HttpResponse(404, b"", b"")

    def tick(self):
        """Do what is due."""
        now_ms = self.clock()
        self._send(self.relays.on_tick(now_ms))
        self.store_sync.members = len(self.fleet.living())
        self.store_reader.on_tick(now_ms)
        self.rereads.on_tick(now_ms)
        for update in self.balancer.evacuations.take_updates():
            self.fleet.evacuation_updates.append((now_ms, self.name, update))
        beacon = self.store_sync.beacon(now_ms, digest=self.balancer.view.digest)
        if beacon is not None:
            self.broadcast(beacon)
            if beacon.evacuated:
                told = self.store_sync.evacuations.message(BY_READER, now_ms)
                for part in split_evacuated(told):
                    self.broadcast(part)

    def _periodic(self):
        if self.alive:
            self.fleet.at(self.clock() + TICK_MS, self._periodic)
            if self.held is None:
                self.tick()
