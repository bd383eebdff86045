"""Data centres whose targets get no new flows, as the operator asks.

Covers the load that moves when a data centre is emptied: each balancer knows it within
a fraction of a second, and no older copy of the store or of a peer undoes it.
"""

from lagoontally_lean import Record

from ._evacuation_check import EvacuationCheck
from ._history import SETTLE_AFTER_MS, START, Position
from ._parts import PartCollector

# A restored store may lack requests until the operator has written them again.
KEPT_MS = SETTLE_AFTER_MS[0]
BY_READER = "reader"
BY_PEER = "peer"
BY_REPLY = "reply"
FROM_STORE = "store"


class EvacuationChange(Record, fields="data_centre revision requested"):
    """A request as the store lists it, or a change of one.

    Attributes:
        data_centre: The data centre to empty.
        revision: Revision of the change.
        requested: Whether it was requested, else withdrawn.
    """

    __slots__ = ()


class Evacuation(Record, fields="data_centre era revision keep_ms"):
    """A request that is in force.

    Attributes:
        data_centre: The data centre that is emptied.
        era: Era of the store in which it was written.
        revision: Revision at which it was written.
        keep_ms: How much longer it holds although a restored store lacks it; 0 if
            the store lists it.
    """

    __slots__ = ()


class Evacuated(Record, fields="source position part parts entries"):
    """The evacuations that a balancer knows.

    Attributes:
        source: ``BY_READER`` to the members of a data centre; ``BY_PEER`` beside a
            ``Hello`` or its reply; ``BY_REPLY`` in answer to one that differs.
        position: ``Position`` up to which the sender knows all of them.
        part: Index of this part, from 0.
        parts: Number of parts that the list is split into.
        entries: ``Evacuation`` records.
    """

    __slots__ = ()


class EvacuationUpdate(Record, fields="evacuation began source"):
    """An evacuation that began or ended here.

    Attributes:
        evacuation: The ``Evacuation``.
        began: Whether it began, else it ended.
        source: ``store``, ``reader`` or ``peer``.
    """

    __slots__ = ()


class Evacuations:
    """The data centres that are emptied.

    Args:
        history: The ``StoreHistory``, whose ``evacuations`` is the position of the
            list here.

    Attributes:
        listed: ``Evacuation`` by data centre, as the store lists them.
        kept: Those that were known before the store came back from a copy, and when
            they may be dropped, by data centre.
        since_ms: When each began here, by data centre.
        updates: ``EvacuationUpdate`` that wait for ``take_updates``.
        generation: Incremented by each change.
        check: The ``EvacuationCheck`` of what other data centres tell.
    """

    def __init__(self, history):
        self.history = history
        self.listed = {}
        self.kept = {}
        self.since_ms = {}
        self.updates = []
        self.generation = 0
        self.check = EvacuationCheck()
        self._active = {}
        self._era = 0
        self._parts = PartCollector()

    def is_evacuated(self, data_centre):
        """Return whether targets of a data centre get no new flows."""
        return data_centre in self.since_ms

    def take_updates(self):
        """Return and clear what began and ended since the last call."""
        updates, self.updates = self.updates, []
        return updates

    def on_read(self, changes, revision, now_ms, *, may_be_old):
        """Handle a complete list from the store.

        Args:
            changes: ``EvacuationChange`` records.
            revision: Revision of the store in the response.
            now_ms: Current time.
            may_be_old: Whether the call was for a result that may be old: it only
                adds, and only while no position is known.
        """
        self._follow_era(now_ms)
        known, era = self.history.evacuations, self.history.era
        found = {
            change.data_centre: Evacuation(change.data_centre, era, change.revision, 0)
            for change in changes
            if change.requested
        }
        if may_be_old:
            if known is None:
                self._update(found | self.listed, now_ms, FROM_STORE)
            return
        position = Position(era, revision, 0)
        if known is not None and known._replace(step=0) > position:
            return  # the reader's list arrived while the call was running
        if known is not None and known._replace(step=0) == position:
            differs = found != self.listed  # then a watch has missed a change
            position = known._replace(step=known.step + differs)
        self.history.evacuations = position
        self.check.on_read(now_ms)
        self._settle(now_ms)
        self._update(found, now_ms, FROM_STORE)

    def on_changes(self, changes, now_ms):
        """Handle ``EvacuationChange`` records of a watch, in their order."""
        self._follow_era(now_ms)
        known = self.history.evacuations if self.history.knows_evacuations else START
        listed = dict(self.listed)
        for change in changes:
            name = change.data_centre
            if change.revision <= known.revision:
                continue
            if change.requested:
                listed[name] = Evacuation(name, self._era, change.revision, 0)
            else:
                listed.pop(name, None)
                self.kept.pop(name, None)
        self._settle(now_ms)
        self._update(listed, now_ms, FROM_STORE)

    def on_reader(self, position, count, now_ms):
        """Handle the position of a reader's list and the number of its entries.

        Without entries this is the list.
        """
        if count == 0:
            self._on_list(position, [], now_ms)

    def on_message(self, message, host, now_ms):
        """Handle a part of another balancer's list.

        Args:
            message: The ``Evacuated``.
            host: Its sender.
            now_ms: Current time.

        Returns:
            Whether to tell the sender what is known here.
        """
        entries = self._parts.add(
            (host, message.source, message.position, message.parts),
            part=message.part,
            parts=message.parts,
            items=message.entries,
        )
        if entries is None:
            return False
        if message.source == BY_READER:
            self._on_list(message.position, entries, now_ms)
            return False
        return self._on_peer(message, entries, now_ms)

    def on_contact(self, now_ms):
        """Record that the reader's word is as new as the store's."""
        self._follow_era(now_ms)
        if self.kept and self.history.knows_evacuations:
            self._settle(now_ms)
            self._update(self.listed, now_ms, BY_READER)

    def message(self, source, now_ms):
        """Return an ``Evacuated`` with all entries, in one part.

        Kept ones that only wait for the store's word are left out: members drop them
        as soon as their reader has it.
        """
        kept = [
            evacuation._replace(keep_ms=until_ms - now_ms)
            for evacuation, until_ms in self.kept.values()
            if until_ms > now_ms
        ]
        entries = [*self.listed.values(), *kept]
        return Evacuated(source, self.history.evacuations or START, 0, 1, entries)

    def _on_list(self, position, entries, now_ms):
        """Take over a reader's list unless it is older than the one here."""
        self._follow_era(now_ms)
        known = self.history.evacuations
        if position == START or position.era != self.history.era:
            return
        if known is not None and position < known:
            return
        listed = {entry.data_centre: entry for entry in entries if entry.keep_ms == 0}
        newer = {
            name: entry
            for name, entry in self.listed.items()
            if position == known or _is_after(entry, position)
        }
        self.history.evacuations = position
        self._keep(entries, now_ms)
        self._update(newer | listed, now_ms, BY_READER)

    def _on_peer(self, message, entries, now_ms):
        """Handle the list of a balancer of any data centre."""
        position = message.position
        if not self.history.era:
            self.history.compare_era(position.era, now_ms)  # no store was reached yet
        self._follow_era(now_ms)
        if position == START or position.era != self.history.era:
            return False
        known = self.history.evacuations or START
        told = {entry.data_centre: entry for entry in entries if entry.keep_ms == 0}
        missing = [entry for name, entry in told.items() if name not in self.listed]
        added = {e.data_centre: e for e in missing if _is_after(e, known)}
        withdrawn = [
            entry
            for name, entry in self.listed.items()
            if name not in told and not _is_after(entry, position)
        ]
        if len(missing) > len(added) or withdrawn:
            heard = message._replace(source=BY_PEER, part=0, parts=1, entries=entries)
            self.check.on_contradiction(heard, now_ms)
        self._update(self.listed | added, now_ms, BY_PEER)
        return message.source == BY_PEER and told.keys() != self.listed.keys()

    def _follow_era(self, now_ms):
        """Keep what was known before the store came back from a copy."""
        if self._era == self.history.era:
            return
        self._era = self.history.era
        entries = [*self.listed.values(), *(entry for entry, _ in self.kept.values())]
        self.listed = {}
        self._keep([entry._replace(keep_ms=KEPT_MS) for entry in entries], now_ms)

    def _keep(self, entries, now_ms):
        for entry in entries:
            if entry.keep_ms:
                until_ms = now_ms + min(entry.keep_ms, KEPT_MS)
                self.kept[entry.data_centre] = (entry, until_ms)

    def _settle(self, now_ms):
        """Drop what the restored store lacks still."""
        self.kept = {
            name: (entry, until_ms)
            for name, (entry, until_ms) in self.kept.items()
            if now_ms < until_ms
        }

    def _update(self, listed, now_ms, source):
        """Set the list and note what began and ended."""
        self.listed = listed
        for name in listed:
            self.kept.pop(name, None)
        active = listed | {name: entry for name, (entry, _) in self.kept.items()}
        if active == self._active:
            return
        before, self._active = self._active, active
        self.generation += 1
        for name in active.keys() - before.keys():
            self.since_ms[name] = now_ms
            self.updates.append(EvacuationUpdate(active[name], True, source))
        for name in before.keys() - active.keys():
            del self.since_ms[name]
            self.updates.append(EvacuationUpdate(before[name], False, source))


def _is_after(evacuation, position):
    """Return whether a request was written after a position."""
    return (evacuation.era, evacuation.revision) > (position.era, position.revision)
