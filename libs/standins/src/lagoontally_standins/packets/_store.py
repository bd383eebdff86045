"""A simulation of the platform's store."""

import base64
import json
import socket
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from ._writer import Writer

PAGE_ITEMS = 50
PAGE_BYTES = 1_000_000  # of values; a page has one item at least
HISTORY_S = 20.0
ANSWERING = "answering"
BUSY = "busy"
SILENT = "silent"
RESETTING = "resetting"
MAX_COPIES = 4_000


class Event(NamedTuple):
    """A change in the store; the document is None for a deletion."""

    revision: int
    key: str
    document: object
    at: float


class Copy(NamedTuple):
    """The store's state at some time."""

    at: float
    revision: int
    items: dict
    events: list


class Store:
    """Items by key with their history, served over HTTP.

    Attributes:
        mode: How requests are answered: ``ANSWERING``, ``BUSY``, ``SILENT`` or
            ``RESETTING``.
        modes: Modes by client host; these take precedence over ``mode``.
        delay_s: Delay of each response.
        history_s: How long the store keeps its history.
        stale_s: How old the copy is that answers a read with ``stale-ok``, or a
            function of the client's host that returns the age for each such read.
        stale_as_of_present: Whether such a read names the store's present revision
            instead of the copy's.
        withheld: Prefix of the keys by client host whose changes watches lack.
        calls: Number of requests by client host.
        compacted_revision: Watches from before this revision get 410.
        era: Incremented by each restore.
        copies: The latest ``Copy`` records, one for each change.
    """

    def __init__(self, loop, address):
        self.loop = loop
        self.items = {}
        self.events = []
        self.revision = 10
        self.compacted_revision = 0
        self.era = 1
        self.copies = []
        self.mode = ANSWERING
        self.modes = {}
        self.delay_s = 0.0
        self.history_s = HISTORY_S
        self.stale_s = 0.0
        self.stale_as_of_present = False
        self.withheld = {}
        self.calls = {}
        self.pending_watches = []
        self.listener = socket.create_server(address, backlog=128)
        self.address = self.listener.getsockname()
        loop.watch(self.listener, self._on_connection)

    def put(self, key, document):
        """Write an item; None deletes it."""
        self.revision += 1
        event = Event(self.revision, key, document, self.loop.now)
        if document is None:
            self.items.pop(key, None)
        else:
            self.items[key] = event
        self.events = [*self.events, event]
        self._end_old_history()
        copy = Copy(self.loop.now, self.revision, dict(self.items), self.events)
        self.copies = [*self.copies, copy][-MAX_COPIES:]
        watches, self.pending_watches = self.pending_watches, []
        for connection, query in watches:
            self._answer_watch(connection, query)

    def _end_old_history(self):
        """Drop what happened longer than ``history_s`` ago."""
        start = self.loop.now - self.history_s
        old = [event for event in self.events if event.at < start]
        if old:
            self.events = self.events[len(old) :]
            self.compacted_revision = old[-1].revision

    def forget_history(self):
        """Drop the history, so that watches from older revisions get 410."""
        self.events = []
        self.compacted_revision = self.revision

    def restore(self, age_s):
        """Return to the state of some seconds ago and begin a new era.

        Returns:
            False if there is no copy of that age.
        """
        found = [copy for copy in self.copies if copy.at <= self.loop.now - age_s]
        if not found:
            return False
        copy = found[-1]
        self.revision, self.items = copy.revision, dict(copy.items)
        self.events = copy.events
        self.copies = found
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.era += 1
        watches, self.pending_watches = self.pending_watches, []
        for connection, _ in watches:
            connection.close()
        return True

    def _on_connection(self):
        sock, (host, _) = self.listener.accept()
        _StoreConnection(self, sock, host)

    def handle(self, connection, target):
        """Handle a request according to the client's mode."""
        self.calls[connection.host] = self.calls.get(connection.host, 0) + 1
        mode = self.modes.get(connection.host, self.mode)
        if mode == SILENT:
            return
        if mode == RESETTING:
            connection.close()
            return
        if mode == BUSY:
            connection.send(503, {})
            return
        self.loop.after(self.delay_s, lambda: self._route(connection, target))

    def _route(self, connection, target):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/api/kv-range":
            self._answer_range(connection, query)
        elif url.path == "/api/kv-watch":
            self._answer_watch(connection, query)
        else:
            connection.send(404, {})

    def _answer_range(self, connection, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        may_be_old = query.get("stale-ok") == "1"
        stored, as_of = self.items, self.revision
        if may_be_old:
            stored, as_of = self._read_old(connection.host)
        keys = sorted(key for key in stored if key.startswith(prefix) and key > after)
        items = _page([_item(stored[key]) for key in keys[:PAGE_ITEMS]])
        more = len(keys) > len(items)
        connection.send(200, {"items": items, "has-more": more, "as-of": as_of})

    def _read_old(self, host):
        """Return the items and the revision that a read with ``stale-ok`` gets."""
        age_s = self.stale_s(host) if callable(self.stale_s) else self.stale_s
        if not age_s:
            return self.items, self.revision
        copy = self._copy_from(self.loop.now - age_s)
        return copy.items, self.revision if self.stale_as_of_present else copy.revision

    def _copy_from(self, at):
        """Return the state at a time, the first one if that was before it."""
        found = [copy for copy in self.copies if copy.at <= at]
        return found[-1] if found else self.copies[0]

    def _answer_watch(self, connection, query):
        after = int(query["after"])
        self._end_old_history()
        if not self.compacted_revision <= after <= self.revision:
            connection.send(410, {})
            return
        withheld = self.withheld.get(connection.host)
        found = [
            event
            for event in self.events
            if event.revision > after
            and event.key.startswith(query.get("prefix", ""))
            and not (withheld and event.key.startswith(withheld))
        ]
        if found:
            events = [_item(event) for event in found]
            connection.send(200, {"events": events, "as-of": self.revision})
            return
        watch = (connection, query)
        self.pending_watches.append(watch)
        self.loop.after(int(query["wait-ms"]) / 1_000, lambda: self._end_watch(watch))

    def _end_watch(self, watch):
        if watch in self.pending_watches:
            self.pending_watches.remove(watch)
            watch[0].send(200, {"events": [], "as-of": self.revision})


def _page(items):
    """Return as many of the first items as fit into a page, one at least."""
    size = 0
    for count, item in enumerate(items):
        size += len(item["value"])
        if count and size > PAGE_BYTES:
            return items[:count]
    return items


def _item(event):
    if event.document is None:
        return {"key": event.key, "revision": event.revision, "deleted": True}
    document = event.document
    text = document if isinstance(document, bytes) else json.dumps(document).encode()
    value = base64.b64encode(text).decode()
    return {"key": event.key, "value": value, "revision": event.revision, "lease": 0}


class _StoreConnection:
    def __init__(self, store, sock, host):
        self.store = store
        self.sock = sock
        self.host = host
        self.received = b""
        self.is_open = True
        store.loop.watch(sock, self.on_readable)
        self.writer = Writer(store.loop, sock, self.close)

    def on_readable(self):
        try:
            data = self.sock.recv(65_536)
        except OSError:
            data = b""  # the client reset the connection
        if not data:
            self.close()
            return
        self.received += data
        while self.is_open and b"\r\n\r\n" in self.received:
            head, _, self.received = self.received.partition(b"\r\n\r\n")
            self.store.handle(self, head.split(b" ")[1].decode())

    def send(self, status, document):
        if not self.is_open:
            return
        body = json.dumps(document).encode()
        era = self.store.era
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        head += f"Store-Era: {era}\r\n\r\n"
        self.writer.write(head.encode() + body)

    def close(self):
        if self.is_open:
            self.is_open = False
            self.store.loop.unwatch(self.sock)
