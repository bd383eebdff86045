"""Makes the calls that ``StoreSync`` decides on and handles their responses."""

from lagoontally_flows import (
    BEGAN,
    CURRENT,
    FetchConfiguration,
    FetchTargets,
    ListTargets,
    ReadConfiguration,
    Watch,
    expand,
    shorten,
)
from lagoontally_platform import (
    ALL_KEYS_PREFIX,
    ENTRY_PREFIX,
    ERA_HEADER,
    HISTORY_GONE,
    OK,
    OPERATOR_PREFIX,
    InvalidResponse,
    changes_path,
    decode_changes,
    decode_era,
)

from ._configuration_updates import ConfigurationUpdates
from ._http_client import TOO_LONG, HttpClient, HttpFailure, header_value
from ._pages import Pages
from ._store_log import StoreLog
from ._target_codec import split_delta
from ._targets_exchange import TARGETS_PATH, TargetsRequest
from ._traffic import FETCHES, STORE, Traffic
from ._view_document import decode_configuration

CALL_TIMEOUT_MS = 1_200  # a slow store takes 250 ms
WATCH_MARGIN_MS = 1_000
CONFIGURATION_PATH = "/configuration"


class StoreReader:
    """Updates a balancer's targets and configuration from the store and from peers.

    Args:
        loop: The ``Loop``.
        settings: The ``Settings``.
        store_sync: The ``StoreSync`` that decides on calls.
        balancer: The ``Balancer`` to update.
        peers: The ``Peers`` that receive changes from a reader.
        log: The ``Log``.
        metrics: The ``Metrics``.

    Attributes:
        configuration_updates: The ``ConfigurationUpdates``.
    """

    def __init__(self, loop, settings, *, store_sync, balancer, peers, log, metrics):
        self.loop = loop
        self.store_sync = store_sync
        self.balancer = balancer
        self.peers = peers
        self.metrics = metrics
        self.store_log = StoreLog(
            log=log, metrics=metrics, history=store_sync.history, balancer=balancer
        )
        self.configuration_updates = ConfigurationUpdates(
            store_sync=store_sync,
            balancer=balancer,
            peers=peers,
            store_log=self.store_log,
            clock=loop.clock,
        )
        address, count = settings.store_address, Traffic(metrics).of(STORE)
        failed = store_sync.on_failure
        self.store = HttpClient(loop, address, on_error=failed, count=count)
        self._peer_port = settings.peer_address[1]
        self._peer_client = None
        self._targets_request = TargetsRequest(balancer.view)
        self._pages = None
        self._interrupted = None  # pages of a listing of which a later one failed
        self._call_started_ms = loop.clock()
        self._call_endings = 0
        self._watched_revision = 0
        self._known_before = None
        # At startup, targets and configuration are read at the same time: open
        # flows need only the targets, and a configuration may be large.
        self._startup_client = HttpClient(loop, address, count=count)
        self._startup_pages = Pages(OPERATOR_PREFIX, may_be_old=True)
        self._startup_client.get(
            self._startup_pages.path, CALL_TIMEOUT_MS, self._on_startup_page
        )

    def use_store(self, address):
        """Call the store at another address, where the running call is made again."""
        if address != self.store.address:
            self._interrupted = None
            self.store.cancel()
            self.store.address = address

    def on_tick(self, now_ms):
        """Make the call that is due and fail those that have timed out."""
        self.store.on_tick(now_ms)
        self._startup_client.on_tick(now_ms)
        if self.store_sync.call_cancelled:
            self.store_sync.call_cancelled = False
            self._interrupted = None
            self.store.cancel()
        if self._peer_client is not None:
            self._peer_client.on_tick(now_ms)
        if self.store.busy or (
            self._peer_client is not None and self._peer_client.busy
        ):
            return
        call = self.store_sync.next_call(now_ms)
        if call is not None:
            interrupted, self._interrupted = self._interrupted, None
            self._make(call, now_ms, interrupted)

    def _make(self, call, now_ms, interrupted):
        """Make a call.

        Args:
            call: The call.
            now_ms: Current time.
            interrupted: ``Pages`` of a listing just before it that failed, or None.
        """
        if isinstance(call, ListTargets):
            self._pages = interrupted
            if interrupted is None or not interrupted.may_resume(call, now_ms):
                self._pages = Pages(
                    ENTRY_PREFIX, may_be_old=call.may_be_old, started_ms=now_ms
                )
            self._get(self._pages.path, CALL_TIMEOUT_MS, self._on_page)
        elif isinstance(call, Watch):
            self._watched_revision = call.revision
            path = changes_path(ALL_KEYS_PREFIX, call.revision, call.wait_ms)
            self._get(path, call.wait_ms + WATCH_MARGIN_MS, self._on_changes)
        elif isinstance(call, ReadConfiguration):
            self._pages = Pages(OPERATOR_PREFIX, may_be_old=call.may_be_old)
            self._get(self._pages.path, CALL_TIMEOUT_MS, self._on_operator_page)
        elif isinstance(call, FetchTargets):
            path = self._targets_request.path()
            self._fetch_from_peer(call.host, path, self._on_peer_targets)
        elif isinstance(call, FetchConfiguration):
            self._fetch_from_peer(
                call.host, CONFIGURATION_PATH, self._on_peer_configuration
            )

    @staticmethod
    def _first_page(call, now_ms):
        return Pages(ENTRY_PREFIX, may_be_old=call.may_be_old, started_ms=now_ms)

    def on_delta(self, delta, now_ms):
        """Handle changes that a reader sent."""
        previous, view = self.store_sync.history.view, self.balancer.view
        entries = expand(delta.entries, view.targets)
        if entries is None:
            return  # a beacon shows that something is missing here
        entries = self.store_sync.on_delta(
            delta._replace(entries=entries), now_ms, digest_after=view.digest_after
        )
        if entries is not None:
            self.balancer.on_entries(entries, now_ms)
            self.store_log.restored(
                previous, changed=len(entries), kept=0, source="peer"
            )

    def _get(self, path, timeout_ms, on_done):
        self._call_started_ms = self.loop.clock()
        self._call_endings = self.store_sync.history.endings
        self.store.get(path, timeout_ms, on_done)

    def _is_void(self, result, *, endings, may_begin_era):
        """Return whether a response is of a history of the store that has ended.

        Args:
            result: The ``HttpResponse`` or ``HttpFailure``.
            endings: Number of histories that had ended when the call was made.
            may_begin_era: Whether the response is valid as the first of a new era:
                the call doesn't continue from an earlier one.
        """
        if isinstance(result, HttpFailure):
            return False
        history = self.store_sync.history
        requested_before = endings != history.endings
        previous = history.era
        era = decode_era(header_value(result.head, ERA_HEADER))
        found = self.store_sync.on_era(era, self.loop.clock())
        if found == BEGAN:
            self.store_log.era_began(previous)
        valid = found == CURRENT or (found == BEGAN and may_begin_era)
        if valid and not requested_before:
            return False
        self.metrics.add("store_calls", "history_ended")
        return True

    def _decode_result(self, result, decode):
        """Return the listing in a response, or record a failure and return None."""
        now_ms = self.loop.clock()
        if not isinstance(result, HttpFailure) and result.status == OK:
            listing = decode(result.body)
            if not isinstance(listing, InvalidResponse):
                self.store_log.answered(listing, now_ms - self._call_started_ms)
                return listing
            reason = listing.reason
        elif isinstance(result, HttpFailure):
            reason = result.reason
        else:
            reason = f"status {result.status}"
        self.store_sync.on_failure(now_ms)
        self.store_log.failed(reason, now_ms)
        return None

    def _on_page(self, result):
        pages = self._pages
        if not self._add_page(pages, result, endings=self._call_endings):
            if isinstance(result, HttpFailure) and pages.revision is not None:
                self._interrupted = pages
            return
        if pages.path is not None:
            self._get(pages.path, CALL_TIMEOUT_MS, self._on_page)
            return
        self.store_log.read(pages)
        now_ms, history = self.loop.clock(), self.store_sync.history
        if history.is_outdated(pages.revision, may_be_old=pages.may_be_old):
            self.store_sync.on_outdated_listing(now_ms)
            return
        entries = {key: target for key, target in dict(pages.entries).items() if target}
        rules = self.store_sync.listing_rules()
        previous, missing = history.view, self.balancer.view.targets.keys() - entries
        known = dict(self.balancer.view.targets)
        changes = self.balancer.on_listing(entries, now_ms, rules)
        if any(target for _, target in changes):
            self._check_known(ENTRY_PREFIX, pages.newest, history.targets)
        self.store_sync.on_listed(
            pages.revision,
            now_ms,
            may_be_old=pages.may_be_old,
            started_ms=pages.started_ms,
        )
        kept = len(missing) if rules.keep_missing else 0
        self.store_log.restored(
            previous, changed=len(changes), kept=kept, source="store"
        )
        if history.view != previous:
            self._announce(None, shorten(changes, known))

    def _add_page(self, pages, result, *, endings):
        """Add a page to a read; return whether it is usable."""
        is_first = pages.revision is None
        if self._is_void(result, endings=endings, may_begin_era=is_first):
            return False
        listing = self._decode_result(result, pages.decode)
        return listing is not None and pages.add(listing, self.store_sync.history.era)

    def _check_known(self, prefix, written, known):
        """Report a change of the store that should have been known before."""
        same_era = known is not None and known.era == self.store_sync.history.era
        if same_era and 0 < written <= known.revision:
            self.store_log.change_missed(prefix, written=written, known=known)

    def _announce(self, previous, changes):
        """Send changes of the targets to the members if this balancer is the reader.

        Args:
            previous: ``Position`` after which these are all changes, None if they
                were found by a listing.
            changes: Pairs of a key and a ``Target``, a ``TargetUpdate`` or None.
        """
        if not self.store_sync.reader:
            return
        delta = self.store_sync.delta(
            previous, changes, digest=self.balancer.view.digest
        )
        for part in split_delta(delta):
            self.peers.send_change(part)

    def _on_changes(self, result):
        if self._is_void(result, endings=self._call_endings, may_begin_era=False):
            return
        now_ms = self.loop.clock()
        if not isinstance(result, HttpFailure) and result.status == HISTORY_GONE:
            self.store_log.history_gone()
            self._known_before = self.store_sync.history.position
            self.store_sync.on_history_gone(now_ms)
            return
        listing = self._decode_result(result, decode_changes)
        if listing is None:
            if _is_unusable(result):
                self.store_sync.on_unusable_changes()
            return
        previous = self.store_sync.history.view
        self.configuration_updates.apply(
            listing.configuration, "store", written=listing.configuration_revision
        )
        entries = listing.entries
        if self.store_sync.history.is_outdated(listing.revision):
            entries = []  # a reader has sent these changes and later ones
        known = dict(self.balancer.view.targets)
        self.balancer.on_entries(entries, now_ms)
        self.store_sync.on_changes(
            listing.revision,
            now_ms,
            after=self._watched_revision,
            targets_changed=bool(entries),
            evacuations=listing.evacuations,
        )
        if self.store_sync.history.view != previous:
            self._announce(previous, shorten(entries, known))

    def _on_operator_page(self, result):
        pages = self._pages
        if not self._add_page(pages, result, endings=self._call_endings):
            return
        if pages.path is not None:
            self._get(pages.path, CALL_TIMEOUT_MS, self._on_operator_page)
        else:
            self._take_operator_pages(pages)

    def _on_startup_page(self, result):
        pages = self._startup_pages
        usable = self._add_page(pages, result, endings=0)
        if usable and pages.path is not None:
            self._startup_client.get(pages.path, CALL_TIMEOUT_MS, self._on_startup_page)
            return
        self._startup_client.close()
        if usable:
            self._take_operator_pages(pages)

    def _take_operator_pages(self, pages):
        """Take over a complete read of configuration and evacuations."""
        found = pages.configuration is not None
        if found:  # no log line for each read until a configuration is published
            self._record_configuration_read(pages)
        self.configuration_updates.apply(
            pages.configuration, "store", written=pages.configuration_revision
        )
        self.store_sync.on_configuration_read(
            pages.revision,
            self.loop.clock(),
            found=found,
            may_be_old=pages.may_be_old,
            evacuations=pages.evacuations,
        )

    def _record_configuration_read(self, pages):
        self.store_log.read(pages)
        if pages.configuration.version > self.store_sync.configuration_version:
            written = pages.configuration_revision
            known = self.store_sync.history.configuration or self._known_before
            self._check_known(OPERATOR_PREFIX, written, known)

    def _fetch_from_peer(self, host, path, on_done):
        address, count = (host, self._peer_port), Traffic(self.metrics).of(FETCHES)
        self._peer_client = HttpClient(self.loop, address, count=count)
        self._peer_client.get(path, CALL_TIMEOUT_MS, on_done)

    def _on_peer_targets(self, result):
        request = self._targets_request
        copy = self._decode_peer_copy(result, TARGETS_PATH, request.decode)
        if copy is None:
            request.on_failure(result)
            return
        now_ms, previous = self.loop.clock(), self.store_sync.history.view
        if self.store_sync.on_targets(copy.position, now_ms):
            self.balancer.warm_ups.on_copy(copy.entries.values(), copy.warm_ups, now_ms)
            changes = self.balancer.on_listing(copy.entries, now_ms)
            self.store_log.restored(
                previous, changed=len(changes), kept=0, source="peer"
            )
        else:
            leaving = self.balancer.view.leaving_changes(copy.entries)
            self.balancer.on_entries(leaving, now_ms)

    def _on_peer_configuration(self, result):
        copy = self._decode_peer_copy(result, CONFIGURATION_PATH, decode_configuration)
        if copy is not None:
            self.configuration_updates.apply(copy, "peer")
            self.store_sync.on_configuration_fetched()

    def _decode_peer_copy(self, result, path, decode):
        """Return what a peer sent, None if the fetch failed, and log the outcome."""
        self._peer_client.close()
        succeeded = not isinstance(result, HttpFailure) and result.status == OK
        copy = decode(result.body) if succeeded else None
        self.store_log.peer_fetched(
            self._peer_client.address[0], path, succeeded=copy is not None
        )
        return copy


def _is_unusable(result):
    """Return whether the same call would get an unusable answer again."""
    if isinstance(result, HttpFailure):
        return result.reason == TOO_LONG
    return result.status == OK
