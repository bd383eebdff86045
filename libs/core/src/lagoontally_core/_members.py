"""Membership: which balancers are alive, by probes and gossip.

Follows SWIM: each balancer probes one other at a time, requests indirect probes
before it suspects a member, and piggybacks member updates on the probes. A
suspected balancer refutes the suspicion by raising its revision. The platform's
instance list lags, so it is only used to find balancers to contact.
"""

from typing import NamedTuple

from ._member_status import MemberStatus
from ._peer_messages import MemberRecord

INDIRECT_PROBES = 3
MAX_UPDATES_PER_MESSAGE = 6
UPDATE_TRANSMISSIONS = 8
INITIAL_REVISION = 0


class Probe(NamedTuple):
    """A probe that hasn't been answered.

    Attributes:
        subject: Incarnation that was probed.
        sent_ms: When the probe was sent.
        indirect: True once indirect probes were requested.
    """

    subject: int
    sent_ms: int
    indirect: bool


class Membership:
    """The other balancers of the workspace.

    Attributes:
        records: Latest record of each, by incarnation.
        changed_ms: When each one's status last changed.
        pending_updates: Transmissions left for each changed record.
        probes: Unanswered probes by number.
        order: Incarnations still to be probed in this round.
        next_probe_number: Number of the next probe.
        next_probe_ms: When the next probe is due.
        revision: This balancer's own revision.
        own_status: Status that this balancer announces.
        contacts: Balancers that have sent a message since this one started.
        proxied: Requester's address and probe number of each indirect probe, by
            its number here.
    """

    def __init__(self, info, timing):
        self.info = info
        self.timing = timing
        self.records: dict[int, MemberRecord] = {}
        self.changed_ms: dict[int, int] = {}
        self.pending_updates: dict[int, int] = {}
        self.probes: dict[int, Probe] = {}
        self.order: list[int] = []
        self.next_probe_number = 1
        self.next_probe_ms = 0
        self.revision = INITIAL_REVISION
        self.own_status = MemberStatus.ALIVE
        self.contacts: set[int] = set()
        self.proxied: dict[int, tuple[str, int]] = {}

    def own_record(self, pause_count, template_version):
        """Return this balancer's record of itself."""
        return MemberRecord(
            self.info.incarnation,
            self.info.name,
            self.info.data_centre,
            self.info.peer_address,
            self.own_status,
            self.revision,
            pause_count,
            template_version,
        )

    def reachable(self, incarnation):
        """Return whether a balancer may still receive messages."""
        record = self.records.get(incarnation)
        return record is not None and record.status <= MemberStatus.SUSPECT

    def known_to_all(self):
        """Return whether every balancer believed alive knows this one."""
        return all(record.incarnation in self.contacts for record in self.alive())

    def alive(self):
        """Return the records of the balancers believed alive."""
        return [
            record
            for record in self.records.values()
            if record.status == MemberStatus.ALIVE
        ]

    def newest_version(self):
        """Return the newest template version that an alive balancer has."""
        return max((record.template_version for record in self.alive()), default=0)

    def merge_record(self, record, now_ms):
        """Merge a record into the known one.

        Args:
            record: A balancer's record, from any balancer.
            now_ms: Time of the step.

        Returns:
            The previous status when the status changed, -1 for a balancer not
            known before; None when it didn't change.
        """
        if record.incarnation == self.info.incarnation:
            self._refute(record)
            return None
        known = self.records.get(record.incarnation)
        if known is not None:
            record = _merge(record, known)
            if record == known:
                return None
        self.records[record.incarnation] = record
        if known is None or known.status != record.status:
            self.changed_ms[record.incarnation] = now_ms
        if (
            known is None
            or known[:6] != record[:6]
            or known.pause_count != record.pause_count
        ):
            self.pending_updates[record.incarnation] = UPDATE_TRANSMISSIONS
        if known is None:
            return -1
        return known.status if known.status != record.status else None

    def _refute(self, record):
        """Raise this balancer's revision when others hold a worse status of it."""
        if record.status <= self.own_status:
            return
        self.revision = max(self.revision, record.revision + 1)

    def mark(self, incarnation, status, now_ms):
        """Set a balancer's status as decided here and queue an update."""
        record = self.records[incarnation]._replace(status=status)
        self.records[incarnation] = record
        self.changed_ms[incarnation] = now_ms
        self.pending_updates[incarnation] = UPDATE_TRANSMISSIONS

    def merge_sender_record(self, record, now_ms):
        """Merge a sender's own record.

        A direct message proves that its sender is alive, so a suspicion is
        cleared even when the sender doesn't know of it and hasn't refuted it.
        """
        self.contacts.add(record.incarnation)
        before = self.merge_record(record, now_ms)
        known = self.records.get(record.incarnation)
        if known is None or known.status != MemberStatus.SUSPECT:
            return before
        if record.status < MemberStatus.SUSPECT:
            self.records[record.incarnation] = known._replace(status=record.status)
            self.changed_ms[record.incarnation] = now_ms
            return MemberStatus.SUSPECT
        return before

    def next_updates(self):
        """Return the records to piggyback, those sent least often first."""
        order = sorted(self.pending_updates, key=self.pending_updates.get, reverse=True)
        chosen = order[:MAX_UPDATES_PER_MESSAGE]
        for incarnation in chosen:
            self._count_transmission(incarnation)
        return [self.records[item] for item in chosen if item in self.records]

    def _count_transmission(self, incarnation):
        self.pending_updates[incarnation] -= 1
        if self.pending_updates[incarnation] <= 0:
            del self.pending_updates[incarnation]

    def next_probe_subject(self, random):
        """Return the incarnation to probe next, or None when there is none.

        Dead members are probed too, so that a healed partition is noticed.
        """
        while True:
            if not self.order:
                self.order = self._probe_round(random)
            if not self.order:
                return None
            subject = self.order.pop()
            record = self.records.get(subject)
            if record is not None and record.status != MemberStatus.LEFT:
                return subject

    def _probe_round(self, random):
        subjects = [
            record.incarnation
            for record in self.records.values()
            if record.status != MemberStatus.LEFT
        ]
        random.shuffle(subjects)
        return subjects

    def set_own_status(self, status):
        """Change the status that this balancer announces."""
        self.own_status = status
        self.revision += 1

    def new_probe(self, subject, now_ms):
        """Register a probe and return its number."""
        number = self.next_probe_number
        self.next_probe_number += 1
        self.probes[number] = Probe(subject, now_ms, False)
        return number

    def remove_expired(self, now_ms):
        """Remove balancers that have been gone for longer than their Echoes matter."""
        expired = [
            record.incarnation
            for record in self.records.values()
            if record.status >= MemberStatus.DEAD
            and now_ms - self.changed_ms[record.incarnation] > self.timing.remember_ms
        ]
        for incarnation in expired:
            del self.records[incarnation]
            del self.changed_ms[incarnation]
            self.pending_updates.pop(incarnation, None)
            self.contacts.discard(incarnation)
        return expired


def _merge(record, known):
    """Return what two records of one balancer say together.

    A suspicion is written from a copy of any age, so its status may be newer than
    its pause count and template version, which only rise.
    """
    if known.status == MemberStatus.LEFT:
        return known
    newer = record if _supersedes(record, known) else known
    return newer._replace(
        pause_count=max(record.pause_count, known.pause_count),
        template_version=max(record.template_version, known.template_version),
    )


def _supersedes(record, known):
    """Return whether the status in ``record`` is newer than the known one."""
    if record.status == MemberStatus.LEFT:
        return True
    return (record.revision, record.status) > (known.revision, known.status)
