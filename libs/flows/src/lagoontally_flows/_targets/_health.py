"""Passive health checks of targets, confirmed by probes.

A caller that retransmits a packet triggers a probe: a connection to the target
beside a control connection to another target that should answer. Only if the
first fails and the second doesn't is the target marked down. It gets no new
flows until a probe succeeds, and its open flows are reset, so that their callers
can go elsewhere.

A peer's verdict also keeps new flows away from a target, but a balancer resets
flows only after a probe of its own: the peer may be the one that is cut off.
"""

from lagoontally_lean import Record

PROBE_PAUSE_MS = 400  # between probes of a target that accepts them
DEAD_PROBE_INTERVAL_MS = 1_000  # between probes of a dead target
PEER_MARK_TTL_MS = 2_500  # a peer's verdict expires after two missed probes
ISOLATED_AFTER_MS = 1_000  # callers' requests come many times a second
STALL_RETENTION_MS = 2_000
LONG_AGO_MS = -1 << 40

ACCEPTED = "accepted"
REFUSED = "refused"
SILENT = "silent"
UNCLEAR = "unclear"


class Probe(Record, fields="cookie"):
    """Open a probe connection to a target."""

    __slots__ = ()


class Verdict(Record, fields="cookie dead evidence age_ms"):
    """A finding about a target that balancers share with their peers.

    Attributes:
        cookie: Cookie of the target.
        dead: Whether the target is considered dead or stuck.
        evidence: ``REFUSED``, ``SILENT`` or ``ACCEPTED`` for the result of a probe;
            ``STUCK``, ``UNANSWERED`` or ``ANSWERED`` from ``StuckTargets``.
        age_ms: With ``STUCK`` and ``UNANSWERED`` how long the request has waited, with
            ``ANSWERED`` how long ago the answer was seen, else 0.
    """

    __slots__ = ()


class DownMark:
    """Marks a target as down.

    Attributes:
        confirmed: Whether a probe of this balancer has failed.
        until_ms: When a mark that rests on a peer's verdict expires.
        next_probe_ms: When this balancer probes the target next.
    """

    __slots__ = ("confirmed", "until_ms", "next_probe_ms")

    def __init__(self):
        self.confirmed = False
        self.until_ms = 0
        self.next_probe_ms = 0


class Health:
    """Health of the targets, by cookie.

    Attributes:
        responded_ms: When each target last answered a caller.
        stalled_ms: When a caller of each target last had to retransmit.
        down_marks: ``DownMark`` of each dead target.
        probing: Targets with a running probe.
        ended: Targets whose address belongs to another target now, which would
            answer their probes.
        any_responded_ms: When any target last responded.
    """

    def __init__(self):
        self.responded_ms = {}
        self.stalled_ms = {}
        self.down_marks = {}
        self.probing = set()
        self.ended = set()
        self.any_responded_ms = LONG_AGO_MS
        self._accepted_ms = {}

    def is_dead(self, cookie):
        """Return whether a target is dead and gets no new flows."""
        return cookie in self.down_marks or cookie in self.ended

    def is_confirmed(self, cookie):
        """Return whether this balancer itself found a target dead or replaced."""
        down_mark = self.down_marks.get(cookie)
        return cookie in self.ended or (down_mark is not None and down_mark.confirmed)

    def on_response(self, cookie, now_ms):
        """Record that a target answered a caller."""
        self.responded_ms[cookie] = now_ms
        self.any_responded_ms = now_ms
        self.stalled_ms.pop(cookie, None)

    def on_stall(self, cookie, since_ms, now_ms):
        """Record that a caller's packet wasn't answered.

        Args:
            cookie: Cookie of the target that the packet was forwarded to.
            since_ms: When it was forwarded.
            now_ms: Current time.

        Returns:
            A list with the ``Probe`` to run, or an empty list.
        """
        if self.responded_ms.get(cookie, LONG_AGO_MS) > since_ms:
            return []
        self.stalled_ms[cookie] = now_ms
        return self.request_probe(cookie, now_ms)

    def request_probe(self, cookie, now_ms):
        """Return a list with the ``Probe`` of a target that may be dead.

        It is empty if the result is known already or a probe is running.
        """
        accepted_ms = self._accepted_ms.get(cookie, LONG_AGO_MS)
        known = self.is_confirmed(cookie) or now_ms - accepted_ms < PROBE_PAUSE_MS
        if known or cookie in self.probing:
            return []
        self.probing.add(cookie)
        return [Probe(cookie)]

    def on_probe_result(self, cookie, evidence, now_ms):
        """Handle the result of a probe.

        Args:
            cookie: Cookie of the probed target.
            evidence: ``ACCEPTED``, ``REFUSED``, ``SILENT``, or ``UNCLEAR`` if the
                control target didn't answer either.
            now_ms: Current time.

        Returns:
            A list with the ``Verdict`` to send to peers, or an empty list.
        """
        self.probing.discard(cookie)
        if cookie in self.ended:
            return []
        if evidence == ACCEPTED:
            self._accepted_ms[cookie] = now_ms
            self.any_responded_ms = now_ms
            if self.down_marks.pop(cookie, None) is None:
                return []
            return [Verdict(cookie, False, evidence, 0)]
        if evidence == UNCLEAR:
            return []
        down_mark = self.down_marks.setdefault(cookie, DownMark())
        down_mark.confirmed = True
        down_mark.next_probe_ms = now_ms + DEAD_PROBE_INTERVAL_MS
        return [Verdict(cookie, True, evidence, 0)]

    def on_verdict(self, verdict, now_ms):
        """Handle a peer's verdict.

        Returns:
            True if the verdict newly marks the target down.
        """
        down_mark = self.down_marks.get(verdict.cookie)
        if not verdict.dead:
            if down_mark is not None and not down_mark.confirmed:
                del self.down_marks[verdict.cookie]
            return False
        is_new = down_mark is None
        if is_new:
            down_mark = self.down_marks[verdict.cookie] = DownMark()
        down_mark.until_ms = now_ms + PEER_MARK_TTL_MS
        return is_new

    def due_probes(self, now_ms):
        """Drop expired marks and return the probes that are due."""
        probes = []
        for cookie, down_mark in list(self.down_marks.items()):
            if (
                not down_mark.confirmed
                and now_ms >= down_mark.until_ms
                or cookie in self.ended
            ):
                del self.down_marks[cookie]
            elif down_mark.confirmed and now_ms >= down_mark.next_probe_ms:
                down_mark.next_probe_ms = now_ms + DEAD_PROBE_INTERVAL_MS
                if cookie not in self.probing:
                    self.probing.add(cookie)
                    probes.append(Probe(cookie))
        return probes

    def isolated(self, now_ms):
        """Return whether this balancer itself seems cut off from the targets.

        True while callers of two or more targets retransmit and no target at all
        has responded for ``ISOLATED_AFTER_MS``.
        """
        if now_ms - self.any_responded_ms < ISOLATED_AFTER_MS:
            return False
        recent = [
            stalled_ms
            for stalled_ms in self.stalled_ms.values()
            if now_ms - stalled_ms < STALL_RETENTION_MS
        ]
        return len(recent) >= 2

    def forget(self, cookie):
        """Drop all state of a target."""
        for table in (
            self.responded_ms,
            self.stalled_ms,
            self.down_marks,
            self._accepted_ms,
        ):
            table.pop(cookie, None)
        self.probing.discard(cookie)
        self.ended.discard(cookie)
