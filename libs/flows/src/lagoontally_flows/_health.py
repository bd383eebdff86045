"""Which targets answer, judged by what callers' packets show.

A caller that repeats a packet is a reason to try a connection to the target,
and beside it one to another target that should answer. Only where the first
fails and the second doesn't is the target held for dead. Then it gets no new
flows until a trial succeeds, and its open flows are reset, so that their callers
can go elsewhere.

A peer's word keeps new flows away from a target too, but nobody resets a flow
without a trial of its own: the peer may be the one that is cut off.
"""

from lagoontally_lean import Record

PROBE_PAUSE_MS = 400  # between trials of a target that answers them
DEAD_PROBE_INTERVAL_MS = 1_000  # between trials of a dead target
PEER_MARK_TTL_MS = 2_500  # a peer's word lapses after it missed two trials
ISOLATED_AFTER_MS = 1_000  # callers' requests come many times a second
STALL_RETENTION_MS = 2_000
LONG_AGO_MS = -1 << 40

ACCEPTED = "accepted"
REFUSED = "refused"
SILENT = "silent"
UNCLEAR = "unclear"


class Probe(Record, fields="cookie"):
    """Try a connection to a target."""

    __slots__ = ()


class Verdict(Record, fields="cookie dead evidence age_ms"):
    """What this balancer has found out of a target, for its peers.

    Attributes:
        cookie: Names the target.
        dead: False when it answers again.
        evidence: What showed it: ``REFUSED``, ``SILENT`` or ``ACCEPTED``, or what
            ``StuckTargets`` goes by: ``STUCK``, ``UNANSWERED`` or ``ANSWERED``.
        age_ms: With ``STUCK`` how long the request has waited, with ``ANSWERED``
            how long ago the answer was seen, else 0.
    """

    __slots__ = ()


class DownMark:
    """Belief that a target is dead.

    Attributes:
        confirmed: Whether a trial of this balancer has shown it.
        until_ms: When a peer's word lapses unless renewed.
        trial_ms: When this balancer tries the target next.
    """

    __slots__ = ("confirmed", "until_ms", "next_probe_ms")

    def __init__(self):
        self.confirmed = False
        self.until_ms = 0
        self.next_probe_ms = 0


class Health:
    """Signs of life and death of the targets.

    Attributes:
        alive_ms: When each target last showed life, by cookie.
        stalled_ms: When a caller of each target last repeated itself.
        marks: ``DownMark`` of each target held for dead.
        running: Cookies of the targets that are being tried.
        ended: Cookies of the targets whose address has another target now. A trial
            of theirs would be answered by that one.
        any_alive_ms: When any target last showed life.
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
        """Tell whether a target gets no new flows."""
        return cookie in self.down_marks or cookie in self.ended

    def is_confirmed(self, cookie):
        """Tell whether a target is dead by a trial of this balancer."""
        down_mark = self.down_marks.get(cookie)
        return cookie in self.ended or (down_mark is not None and down_mark.confirmed)

    def on_response(self, cookie, now_ms):
        """Note that a target answered a caller."""
        self.responded_ms[cookie] = now_ms
        self.any_responded_ms = now_ms
        self.stalled_ms.pop(cookie, None)

    def on_stall(self, cookie, since_ms, now_ms):
        """Note that a caller wasn't answered.

        Args:
            cookie: The target that its packet had gone to.
            since_ms: When that packet was sent on.
            now_ms: Time of the step.

        Returns:
            A list with the ``Probe`` to make, if one is due.
        """
        if self.responded_ms.get(cookie, LONG_AGO_MS) > since_ms:
            return []
        self.stalled_ms[cookie] = now_ms
        return self.request_probe(cookie, now_ms)

    def request_probe(self, cookie, now_ms):
        """Return a list with the ``Probe`` of a target that may be dead.

        It is empty where the answer is known or awaited.
        """
        accepted_ms = self._accepted_ms.get(cookie, LONG_AGO_MS)
        known = self.is_confirmed(cookie) or now_ms - accepted_ms < PROBE_PAUSE_MS
        if known or cookie in self.probing:
            return []
        self.probing.add(cookie)
        return [Probe(cookie)]

    def on_probe_result(self, cookie, evidence, now_ms):
        """Take in how a trial ended.

        Args:
            cookie: The target tried.
            evidence: ``ACCEPTED``, ``REFUSED``, ``SILENT``, or ``UNCLEAR`` where
                the other target didn't answer either.
            now_ms: Time of the step.

        Returns:
            A list with the ``Verdict`` to tell peers, empty if nothing is news.
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
        """Take in what a peer found out.

        Returns:
            True when the target is newly held for dead.
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
        """Let peers' words lapse and return the trials that are due."""
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
        """Tell whether this balancer itself seems cut off from the targets.

        True while callers of two targets or more repeat themselves and no
        target at all has shown life for ``ISOLATED_AFTER_MS``.
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
        """Forget a target that is gone for good."""
        for table in (
            self.responded_ms,
            self.stalled_ms,
            self.down_marks,
            self._accepted_ms,
        ):
            table.pop(cookie, None)
        self.probing.discard(cookie)
        self.ended.discard(cookie)
