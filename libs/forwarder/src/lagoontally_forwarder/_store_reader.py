"""Makes the calls that ``StoreSync`` decides on and takes in their answers."""

from lagoontally_flows import (
    FetchConfiguration,
    FetchTargets,
    ListTargets,
    ReadConfiguration,
    Watch,
)
from lagoontally_platform import (
    CONFIGURATION_KEY,
    ENTRIES,
    EVERYTHING,
    HISTORY_GONE,
    OK,
    BadAnswer,
    changes_path,
    decode_changes,
    decode_page,
    page_path,
)

from ._http_client import CallFailure, HttpClient
from ._messages import split_delta
from ._view_document import decode_configuration, decode_targets

CALL_TIMEOUT_MS = 1_200  # a slow store takes a quarter of a second
WATCH_SLACK_MS = 1_000
TARGETS_PATH = "/targets"
CONFIGURATION_PATH = "/configuration"


class StoreReader:
    """Keeps the view of a balancer current.

    Args:
        loop: The ``Loop``.
        settings: The ``Settings``.
        reading: The ``StoreSync`` that decides on calls.
        balancer: The ``Balancer`` that takes in what was read.
        peers: The ``Peers`` that changes are told to.
        log: The ``Log``.
        counters: The ``Counters``.
    """

    def __init__(self, loop, settings, *, store_sync, balancer, peers, log, counters):
        self.loop = loop
        self.store_sync = store_sync
        self.balancer = balancer
        self.peers = peers
        self.log = log
        self.counters = counters
        self.store = HttpClient(loop, settings.store_address)
        self._peer_port = settings.peer_address[1]
        self._peer = None
        self._pages = {}
        self._page_revision = None
        self._may_be_old = False
        self._called_ms = loop.clock()
        self._reached = True
        # A balancer that starts reads targets and configuration at the same time:
        # open flows need only the targets, and a configuration may be large.
        self._early = HttpClient(loop, settings.store_address)
        self._early.get(
            page_path(CONFIGURATION_KEY, may_be_old=True),
            CALL_TIMEOUT_MS,
            self._on_early_configuration,
        )

    def on_tick(self, now_ms):
        """Make the call that is due, and give up those that take too long."""
        self.store.on_tick(now_ms)
        self._early.on_tick(now_ms)
        if self.store_sync.call_cancelled:
            self.store_sync.call_cancelled = False
            self.store.abandon()
        if self._peer is not None:
            self._peer.on_tick(now_ms)
        if self.store.busy or (self._peer is not None and self._peer.busy):
            return
        call = self.store_sync.next_call(now_ms)
        if isinstance(call, ListTargets):
            self._pages.clear()
            self._page_revision = None
            self._may_be_old = call.may_be_old
            self._get_page(None)
        elif isinstance(call, Watch):
            path = changes_path(EVERYTHING, call.revision, call.wait_ms)
            self._get(path, call.wait_ms + WATCH_SLACK_MS, self._on_changes)
        elif isinstance(call, ReadConfiguration):
            path = page_path(CONFIGURATION_KEY, may_be_old=call.may_be_old)
            self._get(path, CALL_TIMEOUT_MS, self._on_configuration)
        elif isinstance(call, FetchTargets):
            self._fetch(call.host, TARGETS_PATH, self._on_peer_targets)
        elif isinstance(call, FetchConfiguration):
            self._fetch(call.host, CONFIGURATION_PATH, self._on_peer_configuration)

    def on_delta(self, delta, now_ms):
        """Take in changes that a reader tells."""
        entries = self.store_sync.on_delta(delta)
        if entries is not None:
            self.balancer.on_entries(entries, now_ms)

    def _get_page(self, after):
        path = page_path(ENTRIES, after, may_be_old=self._may_be_old)
        self._get(path, CALL_TIMEOUT_MS, self._on_page)

    def _get(self, path, timeout_ms, done):
        self._called_ms = self.loop.clock()
        self.store.get(path, timeout_ms, done)

    def _decoded(self, result, decode):
        """Return the listing of an answer, or None after noting the failure."""
        now_ms = self.loop.clock()
        if not isinstance(result, CallFailure) and result.status == OK:
            listing = decode(result.body)
            if not isinstance(listing, BadAnswer):
                self._note_answer(listing, now_ms)
                return listing
            reason = listing.reason
        elif isinstance(result, CallFailure):
            reason = result.reason
        else:
            reason = f"status {result.status}"
        self.counters.add("store_calls", reason)
        self.store_sync.on_failure(now_ms)
        if self._reached:
            self._reached = False
            self.log.line(
                "store_lost", reason=reason, **self.balancer.state_summary(now_ms)
            )
        return None

    def _note_answer(self, listing, now_ms):
        self.counters.add("store_calls", "answered")
        self.counters.time("store_call", now_ms - self._called_ms)
        if not self._reached:
            self._reached = True
            self.log.line("store_regained", revision=listing.revision)
        for key, reason in listing.faults:
            self.counters.add("documents_refused", reason.partition(" ")[0])
            self.log.line("document_refused", key=key, reason=reason)

    def _on_page(self, result):
        listing = self._decoded(result, decode_page)
        if listing is None:
            return
        self._pages.update(listing.entries)
        if self._page_revision is None:
            self._page_revision = listing.revision
        if listing.next_key is not None:
            self._get_page(listing.next_key)
            return
        now_ms = self.loop.clock()
        entries = {key: target for key, target in self._pages.items() if target}
        previous = self.store_sync.view_revision
        changes = self.balancer.on_listing(entries, now_ms)
        self.store_sync.on_listed(
            self._page_revision,
            now_ms,
            targets_changed=bool(changes),
            may_be_old=self._may_be_old,
        )
        self._tell(previous, changes)

    def _tell(self, previous, changes):
        """Tell the members what has changed, if this balancer reads for them."""
        if not changes or not self.store_sync.reader:
            return
        for part in split_delta(self.store_sync.delta(previous, changes)):
            self.peers.broadcast(part)

    def _on_changes(self, result):
        now_ms = self.loop.clock()
        if not isinstance(result, CallFailure) and result.status == HISTORY_GONE:
            self.counters.add("store_calls", "history_gone")
            self.log.line("store_history_gone", revision=self.store_sync.revision)
            self.store_sync.on_history_gone(now_ms)
            return
        listing = self._decoded(result, decode_changes)
        if listing is None:
            return
        previous = self.store_sync.view_revision
        self._configure(listing.configuration, "store")
        self.balancer.on_entries(listing.entries, now_ms)
        self.store_sync.on_changes(
            listing.revision, now_ms, targets_changed=bool(listing.entries)
        )
        self._tell(previous, listing.entries)

    def _on_configuration(self, result):
        listing = self._decoded(result, decode_page)
        if listing is not None:
            self._configure(listing.configuration, "store")
            self.store_sync.on_configuration_read(
                listing.revision,
                self.loop.clock(),
                found=listing.configuration is not None,
            )

    def _on_early_configuration(self, result):
        self._early.close()
        self._on_configuration(result)

    def _fetch(self, host, path, done):
        self._peer = HttpClient(self.loop, (host, self._peer_port))
        self._peer.get(path, CALL_TIMEOUT_MS, done)

    def _on_peer_targets(self, result):
        copy = self._peer_copy(result, TARGETS_PATH, decode_targets)
        if copy is not None and self.store_sync.on_targets(copy.revision):
            self.balancer.on_listing(copy.entries, self.loop.clock())

    def _on_peer_configuration(self, result):
        copy = self._peer_copy(result, CONFIGURATION_PATH, decode_configuration)
        if copy is not None:
            self._configure(copy, "peer")

    def _peer_copy(self, result, path, decode):
        """Return what a peer sent, or None after noting why there is nothing."""
        self._peer.close()
        answered = not isinstance(result, CallFailure) and result.status == OK
        copy = decode(result.body) if answered else None
        outcome = "taken" if copy else "failed"
        self.counters.add("peer_fetches", outcome)
        self.log.line(
            "peer_fetch", peer=self._peer.address[0], path=path, outcome=outcome
        )
        return copy

    def _configure(self, configuration, source):
        if configuration is None:
            return
        if self.balancer.configure(configuration):
            routes = len(configuration.routes)
            self.log.line(
                "configuration_in_force",
                version=configuration.version,
                routes=routes,
                source=source,
            )
            self.store_sync.on_configuration(configuration.version, routes)
