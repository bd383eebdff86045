"""The targets that the platform lists, and recently delisted ones."""

from lagoontally_lean import Record

from .. import _digest
from .._store import ALL_CHANGES
from ._address_owners import AddressOwners
from ._cookie import unconfirmed

DELISTED_RETENTION_MS = 60_000  # longest life of a flow that the platform promises
RECOVERY_MS = 2_000  # live targets are listed again this soon after an outage
RECOVERY_NOTICE_MS = 500  # a listing may precede the notice of the recovery
MASS_LAPSE_WINDOW_MS = 12_000  # a store that loses leases does so for seconds


class DelistedTarget(Record, fields="target at_ms"):
    """A target whose entry disappeared.

    Attributes:
        target: The target as it was last listed.
        at_ms: When its entry was found missing.
    """

    __slots__ = ()


class View:
    """Targets by entry, by cookie and by service.

    A target whose entry disappeared can be looked up by its cookie for another
    ``DELISTED_RETENTION_MS``: its open flows may be alive. It gets new flows only
    while most of its service disappeared with it, since a store that loses leases
    drops many entries of live targets at once.

    An entry of a service that the configuration doesn't name, or with the id of another
    entry, isn't used: it gets no new flows, ends no other target and replaces none.

    Attributes:
        targets: All listed targets by the key of their entry.
        usable: Those that are used.
        services: Names of the services in the configuration.
        by_cookie: Usable and recently delisted targets by cookie; others where the
            cookie has none, since they may have open flows.
        owners: The ``AddressOwners`` of usable and recently delisted targets.
        delisted: ``DelistedTarget`` by cookie.
        store_recovered_ms: When the store last recovered from an outage, or None.
        generation: Incremented whenever a target is added, removed or changed.
        digest: Digest of ``targets``.
    """

    def __init__(self):
        self.targets = {}
        self.usable = {}
        self.services = frozenset()
        self.by_cookie = {}
        self.owners = AddressOwners()
        self.delisted = {}
        self.store_recovered_ms = None
        self.generation = 0
        self.digest = _digest.EMPTY
        self._keys = {}  # key of the used entry, by cookie
        self._shared = set()  # cookies of several entries
        self._services = {}
        self._data_centres = set()
        self._services_generation = -1

    def put(self, key, target, now_ms):
        """Set or remove one entry.

        Args:
            key: Key of the entry.
            target: The ``Target`` listed there, None if there is none.
            now_ms: Current time.

        Returns:
            The target previously listed under the key, or None.
        """
        before = self.targets.get(key)
        if before == target:
            return before
        self.digest = _digest.replace(self.digest, key, before, target)
        if target is None:
            del self.targets[key]
        else:
            self.targets[key] = target
        self._update_use(key, now_ms)
        self._update_unused(before, target, now_ms)
        self.generation += 1
        return before

    def resolve(self, returned):
        """Return the cookie of a target, and whether it was confirmed.

        Args:
            returned: What a caller returned, as the cookie or its unconfirmed form. It
                is returned as it is where no target is known by it.
        """
        if returned in self.by_cookie:
            return returned, True
        offered = unconfirmed(returned)
        return (offered if offered in self.by_cookie else returned), False

    def set_services(self, services, now_ms):
        """Set the names of the services in the configuration.

        Returns:
            The keys of the entries that are used now, or no longer.
        """
        if services == self.services:
            return []
        changed = services ^ self.services
        self.services = services
        keys = [key for key, one in self.targets.items() if one.service in changed]
        for key in keys:
            self._update_use(key, now_ms)
            self.generation += 1
        return keys

    def unused_reason(self, key):
        """Return why a listed entry isn't used, None if it is."""
        if key in self.usable:
            return None
        if self.targets[key].service not in self.services:
            return "service_not_named"
        return "id_in_use"

    def _update_use(self, key, now_ms):
        """Use the entry at a key, or no longer, as it and the configuration are now."""
        before, target = self.usable.get(key), self.targets.get(key)
        if target is not None and not self._is_usable(key, target):
            target = None
        if before == target:
            return
        if target is None:
            del self.usable[key]
        else:
            self.usable[key] = target
        same = before is not None and target is not None
        same = same and before.cookie == target.cookie
        if before is not None and not same:
            del self._keys[before.cookie]
            self.delisted[before.cookie] = DelistedTarget(before, now_ms)
            self._use_next(before.cookie, now_ms)
        if target is not None:
            if same and before.address != target.address:
                self.owners.remove(before)
            self._keys[target.cookie] = key
            self.by_cookie[target.cookie] = target
            self.owners.add(target)
            self.delisted.pop(target.cookie, None)

    def _is_usable(self, key, target):
        if self._keys.get(target.cookie, key) != key:
            self._shared.add(target.cookie)
            return False
        return target.service in self.services

    def _use_next(self, cookie, now_ms):
        """Use another entry with the id of one that isn't used any more."""
        if cookie not in self._shared:
            return
        self._shared.discard(cookie)
        for key, target in self.targets.items():
            if target.cookie == cookie and key not in self.usable:
                self._update_use(key, now_ms)

    def _update_unused(self, before, target, now_ms):
        """Find unused entries by their cookies, where no used one has the cookie."""
        if target is not None and not self._is_known(target.cookie):
            known = self.by_cookie.get(target.cookie)
            if known is None or known == before:
                self.by_cookie[target.cookie] = target
        if before is None or self._is_known(before.cookie):
            return
        if self.by_cookie.get(before.cookie) != before:
            return
        listed = self._listed_with(before.cookie)
        if listed is None:
            self.delisted[before.cookie] = DelistedTarget(before, now_ms)
        else:
            self.by_cookie[before.cookie] = listed

    def _is_known(self, cookie):
        """Return whether a cookie stands for a target that is or was used."""
        return cookie in self._keys or cookie in self.delisted

    def _listed_with(self, cookie):
        """Return the first listed target with a cookie, or None."""
        return next(
            (one for one in self.targets.values() if one.cookie == cookie), None
        )

    def digest_after(self, changes):
        """Return the digest that ``targets`` would have after some changes.

        Args:
            changes: Pairs of a key and a ``Target`` or None.
        """
        latest = dict(changes)
        result = self.digest
        for key, target in latest.items():
            result = _digest.replace(result, key, self.targets.get(key), target)
        return result

    def changes_to(self, entries, rules=ALL_CHANGES):
        """Return the changes that lead to a listing: pairs of a key and a target.

        The target is None where the entry is removed. A target that is leaving stays
        so: it never takes that back, and a listing may be older than its word.

        Args:
            entries: ``Target`` by key.
            rules: The ``ListingRules``.
        """
        missing = []
        if not rules.keep_missing:
            missing = [(key, None) for key in self.targets if key not in entries]
        listed = [
            (key, self._with_known_state(target))
            for key, target in entries.items()
            if not (rules.refuse_delisted and target.cookie in self.delisted)
        ]
        return missing + [
            (key, target) for key, target in listed if self.targets.get(key) != target
        ]

    def leaving_changes(self, entries):
        """Return the changes for listed targets that a peer knows to be leaving.

        Args:
            entries: The peer's ``Target`` by key, which may be older than this view.
        """
        return [
            (key, target._replace(leaving=True))
            for key, target in self.targets.items()
            if key in entries
            and entries[key].cookie == target.cookie
            and entries[key].leaving
            and not target.leaving
        ]

    def _with_known_state(self, target):
        known = self.by_cookie.get(target.cookie)
        if known is None or not known.leaving or target.leaving:
            return target
        return target._replace(leaving=True)

    def ended_at(self, address):
        """Return the cookies of targets that ended before others got their address."""
        return self.owners.ended_at(address, self.delisted)

    def forget_delisted(self, now_ms):
        """Drop the targets that were delisted too long ago to have live flows.

        Returns:
            Their cookies.
        """
        forgotten = []
        for cookie, delisting in list(self.delisted.items()):
            if now_ms - delisting.at_ms > DELISTED_RETENTION_MS:
                del self.delisted[cookie]
                del self.by_cookie[cookie]
                listed = self._listed_with(cookie)
                if listed is not None:
                    self.by_cookie[cookie] = listed
                self.owners.remove(delisting.target)
                forgotten.append(cookie)
                self.generation += 1
        return forgotten

    def candidates(self, service, now_ms, is_evacuated=None):
        """Return the targets of a service that may get new flows.

        Args:
            service: Name of the service.
            now_ms: Current time.
            is_evacuated: Function of a data centre that returns whether to leave its
                targets out, None to leave out none.

        Returns:
            A list of ``Target``: the listed ones that aren't leaving, and those
            that may return, if there are at least as many and no fewer than two.
        """
        ready = self._ready_by_service().get(service, [])
        if is_evacuated is not None:
            ready = [one for one in ready if not is_evacuated(one.data_centre)]
        if not self.delisted:
            return ready
        returning = [
            delisting.target
            for delisting in self.delisted.values()
            if delisting.target.service == service
            and not delisting.target.leaving
            and not (is_evacuated and is_evacuated(delisting.target.data_centre))
            and self._may_return(delisting, now_ms)
        ]
        return ready + returning if len(returning) >= max(len(ready), 2) else ready

    def _may_return(self, delisting, now_ms):
        """Return whether a target may be alive and its entry lost by the store."""
        recovered_ms = self.store_recovered_ms
        if recovered_ms is not None:
            since_recovery_ms = delisting.at_ms - recovered_ms
            if -RECOVERY_NOTICE_MS <= since_recovery_ms <= RECOVERY_MS:
                return now_ms - recovered_ms <= RECOVERY_MS
        return now_ms - delisting.at_ms <= MASS_LAPSE_WINDOW_MS

    def data_centres(self):
        """Return the data centres that have usable targets."""
        self._ready_by_service()
        return self._data_centres

    def _ready_by_service(self):
        if self._services_generation != self.generation:
            self._services = {}
            self._data_centres = {target.data_centre for target in self.usable.values()}
            for target in self.usable.values():
                if not target.leaving:
                    self._services.setdefault(target.service, []).append(target)
            self._services_generation = self.generation
        return self._services
