"""The platform's store on a virtual clock: copies of any age and a lossy history."""

from base64 import b64encode
from json import dumps
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 3
FIRST_REVISION = 10
LONG_AGO_MS = -60_000
OK, GONE = 200, 410


class Change(NamedTuple):
    """A change in the store; the document is None for a deletion.

    Attributes:
        at_ms: When it was made.
        revision: The store's revision after it.
        key: Key of the item.
        document: The item's new document.
        item: The change as the store's responses show it.
    """

    at_ms: int
    revision: int
    key: str
    document: object
    item: dict


class Request(NamedTuple):
    """A call to the store.

    Attributes:
        is_watch: Whether it waits for changes, else it reads a page of items.
        prefix: Prefix of the items' keys.
        after: Revision after which changes are wanted, or key after which the page
            starts; empty for the first page.
        wait_ms: How long to wait for changes.
        may_be_old: Whether a copy may answer.
    """

    is_watch: bool
    prefix: str
    after: str
    wait_ms: int
    may_be_old: bool


class Answer(NamedTuple):
    """A response of the store."""

    status: int
    era: int
    document: dict

    @property
    def head(self):
        """The response's headers as bytes."""
        return b"Store-Era: %d" % self.era

    @property
    def body(self):
        """The response's body as bytes."""
        return dumps(self.document).encode()


class History(NamedTuple):
    """Changes of an era, and until when copies could be made of it."""

    until_ms: int
    era: int
    changes: list


class VirtualStore:
    """Items with their history.

    Attributes:
        era: Incremented by each restore.
        changes: All ``Change`` records of the present history.
        forgotten: Revision up to which watches get 410.
        former: The ``History`` records that restores have ended.
        names_present: Whether reads from a copy name the store's present revision
            instead of the copy's.
        copies_lag: Whether copies made before a restore are still read after it.
    """

    def __init__(self, *, names_present=False, copies_lag=False):
        self.era = 1
        self.changes = []
        self.forgotten = 0
        self.former = []
        self.names_present = names_present
        self.copies_lag = copies_lag

    @property
    def revision(self):
        """The present revision."""
        return self.changes[-1].revision if self.changes else FIRST_REVISION

    def put(self, key, document, now_ms):
        """Write an item; None deletes it."""
        revision = self.revision + 1
        if document is None:
            item = {"key": key, "revision": revision, "deleted": True}
        else:
            value = b64encode(dumps(document).encode()).decode()
            item = {"key": key, "value": value, "revision": revision, "lease": 0}
        self.changes.append(Change(now_ms, revision, key, document, item))

    def items(self):
        """Return the present ``Change`` of each item by key."""
        return items_of(self.changes)

    def restore(self, now_ms, age_ms):
        """Return to the state of some time ago and begin a new era."""
        self.former.append(History(now_ms, self.era, self.changes))
        self.changes = [
            change for change in self.changes if change.at_ms <= now_ms - age_ms
        ]
        self.forgotten = min(self.forgotten, self.revision)
        self.era += 1

    def read(self, request, at_ms):
        """Answer a read from the state at a time, None for the present state."""
        era, changes = self.era, self.changes
        if at_ms is not None:
            era, changes = self._copy(at_ms)
        items = items_of(changes)
        keys = sorted(
            key
            for key in items
            if key.startswith(request.prefix) and key > request.after
        )
        as_of = changes[-1].revision if changes else FIRST_REVISION
        return Answer(
            OK,
            era,
            {
                "items": [items[key].item for key in keys[:PAGE_ITEMS]],
                "has-more": len(keys) > PAGE_ITEMS,
                "as-of": self.revision if self.names_present else as_of,
            },
        )

    def watch(self, after):
        """Answer a watch, None while there are no changes to report."""
        if not self.forgotten <= after <= self.revision:
            return Answer(GONE, self.era, {})
        found = [change.item for change in self.changes if change.revision > after]
        return self._events(found) if found else None

    def end_watch(self):
        """Answer a watch whose time has passed without a change."""
        return self._events([])

    def _events(self, found):
        return Answer(OK, self.era, {"events": found, "as-of": self.revision})

    def _copy(self, at_ms):
        """Return the era and the changes that a copy from a time holds."""
        era, changes = self.era, self.changes
        if self.copies_lag:
            for history in reversed(self.former):
                if at_ms < history.until_ms:
                    era, changes = history.era, history.changes
        return era, [change for change in changes if change.at_ms <= at_ms]


def parse_request(path):
    """Return the ``Request`` with a path and query."""
    call, query = urlsplit(path).path, parse_qs(urlsplit(path).query)
    return Request(
        call.endswith("kv-watch"),
        query.get("prefix", [""])[0],
        query.get("after", [""])[0],
        int(query.get("wait-ms", ["0"])[0]),
        "stale-ok" in query,
    )


def items_of(changes):
    """Return the last ``Change`` of each item that wasn't deleted, by key."""
    items = {}
    for change in changes:
        if change.document is None:
            items.pop(change.key, None)
        else:
            items[change.key] = change
    return items
