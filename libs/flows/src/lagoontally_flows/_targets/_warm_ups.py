"""How long targets warm up, counted down by this balancer's clock.

Covers targets that start or return during traffic. An entry states how long its target
warms up from the moment it was written, and may arrive late: in a first listing, in a
peer's copy or from a restored store. What is left is counted from the first arrival of
a statement, and bounded by the start of the target where that is known.
"""

from lagoontally_lean import Record

from ._health import LONG_AGO_MS, REFUSED

CLOCK_TOLERANCE_MS = 3_000  # allowed difference between two instances' clocks


class Statement(Record, fields="stated_ms received_ms until_ms started_ms"):
    """What an entry stated of its target's warm-up.

    Attributes:
        stated_ms: How long it warms up, as the entry states it.
        received_ms: When the entry arrived.
        until_ms: When the warm-up ends by this statement.
        started_ms: When the target started, None if unknown.
    """

    __slots__ = ()


class WarmUps:
    """The warm-up of each target.

    Attributes:
        services: ``Service`` by name, of the configuration in force.
        unix_offset_ms: Unix time minus this balancer's clock, None if unknown.
    """

    def __init__(self):
        self.services = {}
        self.unix_offset_ms = None
        self._statements = {}
        self._started_anew = set()
        self._warm_ms = {}
        self._returned_ms = {}
        self._latest_ms = LONG_AGO_MS

    def on_entry(self, target, now_ms):
        """Record what a new or changed entry states.

        A statement that was heard before, as in an older copy of the entry, doesn't
        begin anew.
        """
        self._on_listed_after_return(target, now_ms)
        stated_ms = target.warm_up_ms
        if not stated_ms:
            self._statements.pop(target.cookie, None)
            return
        known = self._statements.get(target.cookie)
        if known is None or known.stated_ms != stated_ms:
            self._record(target, now_ms, left_ms=stated_ms)

    def on_copy(self, targets, left_ms, now_ms):
        """Record how much a peer has counted down, before its entries are listed.

        Args:
            targets: The peer's ``Target`` records.
            left_ms: What is left of the warm-up by cookie.
            now_ms: Current time.
        """
        for target in targets:
            is_new = target.cookie not in self._statements
            if is_new and target.warm_up_ms and target.cookie in left_ms:
                self._record(target, now_ms, left_ms=left_ms[target.cookie])

    def on_evidence(self, cookie, evidence):
        """Record the evidence of a probe, of this balancer or a peer.

        A target that refused connections and is alive again has started anew, and its
        new entry may arrive later than that.
        """
        if evidence == REFUSED:
            self._on_started_anew(cookie)

    def on_evacuations(self, updates, targets, now_ms):
        """Handle evacuations that began or ended.

        Targets of a data centre that returns may have become cold meanwhile, and their
        entries may tell it later than the operator's request ends.

        Args:
            updates: ``EvacuationUpdate`` records.
            targets: All ``Target`` records.
            now_ms: Current time.
        """
        returned = {one.evacuation.data_centre for one in updates if not one.began}
        self._returned_ms.update(dict.fromkeys(returned, now_ms))
        for target in targets if returned else ():
            if target.data_centre in returned:
                self._on_started_anew(target.cookie)

    def may_warm_up(self, now_ms):
        """Return whether any target may be warming up."""
        return now_ms < self._latest_ms or bool(self._started_anew)

    def cookies(self):
        """Return the cookies of the targets that may be warming up."""
        return self._statements.keys() | self._started_anew

    def left_ms(self, target, now_ms):
        """Return what is left of the warm-up of a target that is alive."""
        until_ms = self._stated_until_ms(target)
        if target.cookie in self._started_anew:
            until_ms = max(until_ms, self._start_until_ms(target, now_ms))
        return max(0, until_ms - now_ms)

    def left_by_cookie(self, targets, now_ms):
        """Return what is left by cookie, of targets whose entry states a warm-up."""
        return {
            target.cookie: max(0, self._stated_until_ms(target) - now_ms)
            for target in targets
            if target.cookie in self._statements
        }

    def forget(self, cookie):
        """Drop all state of a target."""
        self._statements.pop(cookie, None)
        self._started_anew.discard(cookie)
        self._warm_ms.pop(cookie, None)

    def _on_listed_after_return(self, target, now_ms):
        """Let a target be cold whose data centre returned before it was listed here."""
        if target.cookie in self._started_anew:
            return
        if not self._may_have_returned(target, self._started_ms(target)):
            return
        warm_ms = self._returned_ms[target.data_centre] + self._warm_up_ms(target)
        if now_ms < warm_ms:
            self._started_anew.add(target.cookie)
            self._warm_ms[target.cookie] = warm_ms

    def _started_ms(self, target):
        """Return when a target started by this balancer's clock, None if unknown."""
        if not target.born or self.unix_offset_ms is None:
            return None
        return target.born - self.unix_offset_ms

    def _on_started_anew(self, cookie):
        self._started_anew.add(cookie)
        self._warm_ms.pop(cookie, None)

    def _record(self, target, now_ms, *, left_ms):
        until_ms = now_ms + left_ms
        started_ms = self._started_ms(target)
        statement = Statement(target.warm_up_ms, now_ms, until_ms, started_ms)
        self._statements[target.cookie] = statement
        self._latest_ms = max(self._latest_ms, until_ms)

    def _warm_up_ms(self, target):
        service = self.services.get(target.service)
        return service.warm_up_ms if service else 0

    def _stated_until_ms(self, target):
        """Return when the warm-up ends by the target's entry."""
        statement = self._statements.get(target.cookie)
        if statement is None:
            return LONG_AGO_MS
        warm_up_ms = self._warm_up_ms(target)
        if not warm_up_ms:
            return statement.until_ms
        longest_ms = warm_up_ms
        started_ms = statement.started_ms
        if started_ms is not None and not self._may_have_returned(target, started_ms):
            age_ms = statement.received_ms - started_ms
            since_start_ms = warm_up_ms + CLOCK_TOLERANCE_MS - age_ms
            # A target that started long ago warms up for another reason, such as the
            # return of its data centre.
            if since_start_ms > 0:
                longest_ms = min(longest_ms, since_start_ms)
        return min(statement.until_ms, statement.received_ms + longest_ms)

    def _may_have_returned(self, target, started_ms):
        """Return whether a target's data centre returned after the target's start.

        Args:
            target: The ``Target``.
            started_ms: When it started, None if unknown.
        """
        returned_ms = self._returned_ms.get(target.data_centre)
        if returned_ms is None:
            return False
        return started_ms is None or returned_ms + CLOCK_TOLERANCE_MS >= started_ms

    def _start_until_ms(self, target, now_ms):
        """Return when a target that has started anew is warm; forget it then."""
        until_ms = self._warm_ms.setdefault(
            target.cookie, now_ms + self._warm_up_ms(target)
        )
        if until_ms <= now_ms:
            self._started_anew.discard(target.cookie)
            del self._warm_ms[target.cookie]
        return until_ms
