"""Balancers of one data centre, their store and their network on a virtual clock."""

from heapq import heappop, heappush
from itertools import count
from random import Random
from unittest.mock import patch

from lagoontally_forwarder import _store_reader
from lagoontally_forwarder._http_client import HttpFailure, HttpResponse
from lagoontally_standins.packets import VirtualStore, parse_request

from ._lost_changes_client import Client
from ._lost_changes_process import STORE_ADDRESS, Process

MAX_AGE_MS = 6_000
SILENT, BUSY, RESETTING = "silent", "busy", "resetting"


class Fleet:
    """The processes, the store and the network between them.

    Args:
        names: Names of the processes.
        seed: Seed of all that is drawn.

    Attributes:
        store: The ``VirtualStore``.
        processes: The present ``Process`` by name.
        store_cuts: How the store treats calls, by process name.
        peer_cuts: Names of processes without a connection to their peers.
        deaf: Names of processes whose watches get no answer.
        loss: Share of messages between processes that are lost.
        answer_loss: Share of the store's responses that are lost.
        slow: Whether the store's responses take long, some of them very long.
        one_copy: Whether one copy answers all pages of a listing that may be old.
        draw_age: Returns the age of the copy that answers a read that may be old.
        draw_latency: Returns how long a request to the store or its response takes.
        draw_loss: Returns whether a message from one process to another is lost.
        evacuation_updates: Time, name of the process and ``EvacuationUpdate``.
        requests: Name of the process and path of each request.
        log: Lines of the processes if they are kept, else None.
    """

    def __init__(self, names, seed, *, one_copy=False, **store_options):
        self.now_ms = 0
        self.random = Random(seed)
        self.store = VirtualStore(**store_options)
        self.processes = dict.fromkeys(names)
        self.store_cuts = {}
        self.peer_cuts = set()
        self.deaf = set()
        self.loss = 0.0
        self.answer_loss = 0.0
        self.slow = False
        self.one_copy = one_copy
        self.draw_age = self._any_age
        self.draw_latency = self._any_latency
        self.draw_loss = self._any_loss
        self.evacuation_updates = []
        self.requests = []
        self.log = None
        self._copies = {}
        self._watches = []
        self._queue = []
        self._numbers = count()

    def at(self, at_ms, action, *arguments):
        """Run an action at a time."""
        heappush(self._queue, (at_ms, next(self._numbers), action, arguments))

    def run_until(self, end_ms):
        """Advance the time."""
        with patch.object(_store_reader, "HttpClient", Client):
            while self._queue and self._queue[0][0] <= end_ms:
                self.now_ms, _, action, arguments = heappop(self._queue)
                action(*arguments)
        self.now_ms = end_ms

    def run(self, duration_ms):
        """Advance the time by a duration."""
        self.run_until(self.now_ms + duration_ms)

    def start(self, name, priority):
        """Start a process, in place of one that runs under the name."""
        self.stop(name)
        self.trace(name, "process_starts", {})
        seed = self.random.getrandbits(30)
        with patch.object(_store_reader, "HttpClient", Client):
            self.processes[name] = Process(self, name, priority, seed)

    def stop(self, name):
        """Kill a process."""
        if self.processes[name] is not None and self.processes[name].alive:
            self.trace(name, "process_killed", {})
            self.processes[name].alive = False

    def living(self):
        """Return the running processes."""
        return [one for one in self.processes.values() if one is not None and one.alive]

    def readers(self):
        """Return the processes that read for the others."""
        return [one for one in self.living() if one.store_sync.reader]

    def watching(self):
        """Return the names of the processes whose watch is waiting."""
        return {watch[0].name for watch in self._watches}

    def trace(self, name, event, fields):
        """Keep a line of the log."""
        if self.log is not None:
            self.log.append((self.now_ms, name, event, fields))

    def put(self, key, document):
        """Write an item to the store."""
        self.store.put(key, document, self.now_ms)
        self.trace("store", "write", {"key": key, "revision": self.store.revision})
        self.answer_watches()

    def answer_watches(self):
        """Answer the waiting watches that have something to report."""
        for watch in list(self._watches):
            process, client, number, after = watch
            answer = None if process.name in self.deaf else self.store.watch(after)
            if answer is not None:
                self._watches.remove(watch)
                self._respond(process, client, number, answer)

    def cut_watches(self):
        """Close the connections of all waiting watches."""
        watches, self._watches = self._watches, []
        for process, client, number, _ in watches:
            failure = HttpFailure("closed by the peer")
            self.at(self.now_ms + 1, process.deliver, client.finish, number, failure)

    def request(self, process, client, path):
        """Send a request to the store or to a peer."""
        number = client.number
        self.requests.append((process.name, path))
        if client.address == STORE_ADDRESS:
            due_ms = self.now_ms + self.draw_latency(process, path, response=False)
            self.at(due_ms, self._serve, process, client, number, path)
        else:
            self.at(self.now_ms + 1, self._serve_peer, process, client, number, path)

    def broadcast(self, sender, message, data):
        """Send a datagram to the other processes; some overtake others."""
        for process in self.living():
            if process is not sender:
                self.send(sender, process, message, data)

    def send(self, sender, process, message, data):
        """Send a datagram to one process."""
        apart = {sender.name, process.name} & self.peer_cuts
        if not apart and not self.draw_loss(sender, process, message):
            due_ms = self.now_ms + self.random.choice((1, 1, 2, 30))
            self.at(due_ms, process.deliver, process.receive, data, sender.name)

    def _serve_peer(self, process, client, number, path):
        host = client.address[0]
        peer = self.processes.get(host)
        if {process.name, host} & self.peer_cuts:
            return
        if peer is None or not peer.alive:
            failure = HttpFailure("connection error 111")
            process.deliver(client.finish, number, failure)
        else:
            peer.deliver(self._answer_peer, peer, process, client, number, path)

    def _answer_peer(self, peer, process, client, number, path):
        result = peer.serve(path)
        self.at(self.now_ms + 1, process.deliver, client.finish, number, result)

    def _serve(self, process, client, number, path):
        mode = self.store_cuts.get(process.name)
        if not process.alive or mode == SILENT:
            return
        if mode == RESETTING:
            process.deliver(client.finish, number, HttpFailure("connection error 104"))
            return
        if mode == BUSY:
            process.deliver(client.finish, number, HttpResponse(503, b"", b"{}"))
            return
        request = parse_request(path)
        if not request.is_watch:
            at_ms = self._copy_time(process, path, request)
            answer = self.store.read(request, at_ms)
            fields = {"by": process.name, "at": at_ms}
            self.trace("store", "read", fields | request._asdict())
        else:
            after = int(request.after)
            answer = self.store.watch(after)
            if answer is None or process.name in self.deaf:
                watch = (process, client, number, after)
                self._watches.append(watch)
                end_ms = self.now_ms + request.wait_ms
                self.at(end_ms, self._end_watch, watch)
                return
        self._respond(process, client, number, answer)

    def _copy_time(self, process, path, request):
        """Return from when the copy is that answers, None for the present state."""
        if not request.may_be_old:
            return None
        if not (self.one_copy and request.after):
            at_ms = self.now_ms - self.draw_age(process, path)
            self._copies[process.name, request.prefix] = at_ms
        return self._copies[process.name, request.prefix]

    def _end_watch(self, watch):
        if watch in self._watches and watch[0].name not in self.deaf:
            self._watches.remove(watch)
            self._respond(*watch[:3], self.store.end_watch())

    def _respond(self, process, client, number, answer):
        if self.random.random() < self.answer_loss:
            return
        due_ms = self.now_ms + self.draw_latency(process, client.path, response=True)
        if self.slow and self.random.random() < 0.1 and number == client.number:
            due_ms += self.random.randrange(4_000)
            client.await_until(due_ms)
        response = HttpResponse(answer.status, answer.head, answer.body)
        self.at(due_ms, process.deliver, client.finish, number, response)

    def _any_age(self, _process, _path):
        return self.random.choice((0, self.random.randrange(MAX_AGE_MS)))

    def _any_loss(self, _sender, _receiver, _message):
        return self.random.random() < self.loss

    def _any_latency(self, _process, _path, *, response):
        if self.slow:
            return self.random.randrange(10, 125)
        return self.random.choice((1, 2, 3, 40))
