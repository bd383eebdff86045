"""The targets that the platform lists, and those that it has just dropped."""

from lagoontally_lean import Record

DELISTED_RETENTION_MS = 60_000  # longest life of a flow that the platform promises
RECOVERY_MS = 2_000  # entries of live targets are back so soon after an outage
RECOVERY_NOTICE_MS = 500  # a listing may come a little before the return is noted
MASS_LAPSE_WINDOW_MS = 12_000  # a store that forgets leases does so for seconds


class DelistedTarget(Record, fields="target at_ms"):
    """A target whose entry disappeared.

    Attributes:
        target: The target as it was last listed.
        at_ms: When its entry was found to be missing.
    """

    __slots__ = ()


class View:
    """Targets by entry, by cookie and by service.

    A target whose entry disappeared is still found by its cookie for
    ``DELISTED_RETENTION_MS``: its open flows may be alive. It gets new flows only while
    most of its service disappeared with it, since a store that loses leases
    drops many entries of live targets at once.

    Attributes:
        targets: Listed targets by the key of their entry.
        by_cookie: Every target whose flows can be served, by cookie.
        by_address: The target that each address was last listed for.
        lapses: Targets that are no longer listed, by cookie.
        store_returned_ms: When the store last came back from an outage, or None.
        changes: Rises whenever a target comes, goes or changes.
    """

    def __init__(self):
        self.targets = {}
        self.by_cookie = {}
        self.by_address = {}
        self.delisted = {}
        self.store_recovered_ms = None
        self.generation = 0
        self._services = {}
        self._data_centres = set()
        self._services_generation = -1

    def put(self, key, target, now_ms):
        """Take in one entry.

        Args:
            key: Key of the entry.
            target: The ``Target`` that it names, None where it names none.
            now_ms: Time of the step.

        Returns:
            The target listed before under the key, or None.
        """
        before = self.targets.get(key)
        if before == target:
            return before
        if target is None:
            del self.targets[key]
        else:
            self.targets[key] = target
            self.by_cookie[target.cookie] = target
            self.by_address[target.address] = target
            self.delisted.pop(target.cookie, None)
        if before is not None and (target is None or before.cookie != target.cookie):
            self.delisted[before.cookie] = DelistedTarget(before, now_ms)
        self.generation += 1
        return before

    def changes_to(self, entries):
        """Return what a whole listing changes: pairs of a key and a target or None.

        Args:
            entries: ``Target`` by key.
        """
        missing = [(key, None) for key in self.targets if key not in entries]
        listed = [
            (key, target)
            for key, target in entries.items()
            if self.targets.get(key) != target
        ]
        return missing + listed

    def superseded_by(self, target):
        """Return the target whose address another one has taken over, else None.

        An address changes hands only after its target has ended.
        """
        previous_owner = self.by_address.get(target.address)
        if previous_owner is None or previous_owner.cookie == target.cookie:
            return None
        return previous_owner if previous_owner.born <= target.born else None

    def forget_delisted(self, now_ms):
        """Drop the targets that lapsed so long ago that no flow of theirs lives.

        Returns:
            Their cookies.
        """
        forgotten = []
        for cookie, delisting in list(self.delisted.items()):
            if now_ms - delisting.at_ms > DELISTED_RETENTION_MS:
                del self.delisted[cookie]
                del self.by_cookie[cookie]
                address = delisting.target.address
                if self.by_address.get(address) == delisting.target:
                    del self.by_address[address]
                forgotten.append(cookie)
                self.generation += 1
        return forgotten

    def candidates(self, service, now_ms):
        """Return the targets of a service that may get new flows.

        Args:
            service: Name of the service.
            now_ms: Time of the step.

        Returns:
            A list of ``Target``: the listed ones that aren't leaving, and those
            that lapsed lately where they are at least as many.
        """
        ready = self._ready_by_service().get(service, [])
        if not self.delisted:
            return ready
        recently_delisted = [
            delisting.target
            for delisting in self.delisted.values()
            if delisting.target.service == service
            and not delisting.target.leaving
            and self._may_return(delisting, now_ms)
        ]
        return (
            ready + recently_delisted
            if len(recently_delisted) >= max(len(ready), 2)
            else ready
        )

    def _may_return(self, delisting, now_ms):
        """Tell whether a lapsed entry may be one that the store has just lost."""
        recovered_ms = self.store_recovered_ms
        if recovered_ms is not None:
            since_recovery_ms = delisting.at_ms - recovered_ms
            if -RECOVERY_NOTICE_MS <= since_recovery_ms <= RECOVERY_MS:
                return now_ms - recovered_ms <= RECOVERY_MS
        return now_ms - delisting.at_ms <= MASS_LAPSE_WINDOW_MS

    def data_centres(self):
        """Return the data centres that have listed targets."""
        self._ready_by_service()
        return self._data_centres

    def _ready_by_service(self):
        if self._services_generation != self.generation:
            self._services = {}
            self._data_centres = {
                target.data_centre for target in self.targets.values()
            }
            for target in self.targets.values():
                if not target.leaving:
                    self._services.setdefault(target.service, []).append(target)
            self._services_generation = self.generation
        return self._services
