"""Which targets answer, judged by what callers' packets show.

A caller that repeats a packet is a reason to try a connection to the target;
only a target that fails the trial too is held for dead. Its flows are reset, so
that their callers can go elsewhere, and it gets no new ones until a trial
succeeds. A balancer to which no target seems to answer blames its own network
and condemns none.
"""

from collections import namedtuple

RECENT_LIFE_MS = 150  # shorter than a caller's first retransmission at 200 ms
TRIAL_PAUSE_MS = 400  # between trials of a target that answers them
DEAD_TRIAL_INTERVAL_MS = 1_000  # between trials of a dead target
PEER_MARK_MS = 2_500  # a peer's word lapses after it missed two trials
ISOLATED_AFTER_MS = 1_000  # callers' requests come many times a second
STALL_MEMORY_MS = 2_000


class Trial(namedtuple("Trial", "cookie")):
    """Try a connection to a target."""

    __slots__ = ()


class Verdict(namedtuple("Verdict", "cookie dead evidence")):
    """What this balancer has found out of a target, for its peers.

    Attributes:
        cookie: Names the target.
        dead: False when it answers again.
        evidence: What showed it: ``refused``, ``silent`` or ``accepted``.
    """

    __slots__ = ()


class Mark:
    """Belief that a target is dead.

    Attributes:
        since_ms: When it was first held for dead.
        evidence: What showed it.
        until_ms: When the belief lapses unless renewed; None where this
            balancer tries the target itself.
        trial_ms: When the next trial is due.
    """

    __slots__ = ("since_ms", "evidence", "until_ms", "trial_ms")

    def __init__(self, now_ms, evidence, until_ms):
        self.since_ms = now_ms
        self.evidence = evidence
        self.until_ms = until_ms
        self.trial_ms = now_ms + DEAD_TRIAL_INTERVAL_MS


class Health:
    """Signs of life and death of the targets.

    Attributes:
        alive_ms: When each target last showed life, by cookie.
        stalled_ms: When a caller of each target last repeated itself.
        marks: ``Mark`` of each target held for dead.
        trials: When the latest trial of each target began; None once it ended.
    """

    def __init__(self):
        self.alive_ms = {}
        self.stalled_ms = {}
        self.marks = {}
        self.trials = {}
        self._accepted_ms = {}
        self.any_alive_ms = 0

    def is_dead(self, cookie):
        """Tell whether a target is held for dead."""
        return cookie in self.marks

    def on_life(self, cookie, now_ms):
        """Note that a target answered a caller."""
        self.alive_ms[cookie] = now_ms
        self.any_alive_ms = now_ms
        self.stalled_ms.pop(cookie, None)

    def on_stall(self, cookie, now_ms):
        """Note that a caller repeated a packet.

        Args:
            cookie: The target that the packet had gone to.
            now_ms: Time of the step.

        Returns:
            A list with the ``Trial`` to make, if one is due.
        """
        if now_ms - self.alive_ms.get(cookie, -RECENT_LIFE_MS) < RECENT_LIFE_MS:
            return []
        self.stalled_ms[cookie] = now_ms
        accepted_ms = self._accepted_ms.get(cookie, -TRIAL_PAUSE_MS)
        running = self.trials.get(cookie) is not None
        if running or cookie in self.marks or now_ms - accepted_ms < TRIAL_PAUSE_MS:
            return []
        self.trials[cookie] = now_ms
        return [Trial(cookie)]

    def on_trial(self, cookie, evidence, now_ms):
        """Take in how a trial ended.

        Args:
            cookie: The target tried.
            evidence: ``accepted``, ``refused`` or ``silent``.
            now_ms: Time of the step.

        Returns:
            A list with the ``Verdict`` to tell peers, empty if nothing is news.
        """
        self.trials[cookie] = None
        if evidence == "accepted":
            self._accepted_ms[cookie] = now_ms
            self.any_alive_ms = now_ms
            if self.marks.pop(cookie, None) is None:
                return []
            return [Verdict(cookie, False, evidence)]
        if evidence == "silent" and self.isolated(now_ms):
            return []
        mark = self.marks.get(cookie)
        if mark is None:
            self.marks[cookie] = Mark(now_ms, evidence, None)
        else:
            mark.until_ms = None
            mark.trial_ms = now_ms + DEAD_TRIAL_INTERVAL_MS
        return [Verdict(cookie, True, evidence)]

    def on_verdict(self, verdict, now_ms):
        """Take in what a peer found out.

        Returns:
            True when the target is newly held for dead.
        """
        if not verdict.dead:
            self.marks.pop(verdict.cookie, None)
            return False
        mark = self.marks.get(verdict.cookie)
        if mark is None:
            until_ms = now_ms + PEER_MARK_MS
            self.marks[verdict.cookie] = Mark(now_ms, verdict.evidence, until_ms)
            return True
        if mark.until_ms is not None:
            mark.until_ms = now_ms + PEER_MARK_MS
        return False

    def due(self, now_ms):
        """Let beliefs lapse and return the trials that are due."""
        trials = []
        for cookie, mark in list(self.marks.items()):
            if mark.until_ms is not None:
                if now_ms >= mark.until_ms:
                    del self.marks[cookie]
            elif now_ms >= mark.trial_ms and self.trials.get(cookie) is None:
                mark.trial_ms = now_ms + DEAD_TRIAL_INTERVAL_MS
                self.trials[cookie] = now_ms
                trials.append(Trial(cookie))
        return trials

    def isolated(self, now_ms):
        """Tell whether this balancer itself seems cut off from the targets.

        True while callers of two targets or more repeat themselves and no
        target at all has shown life for ``ISOLATED_AFTER_MS``.
        """
        if now_ms - self.any_alive_ms < ISOLATED_AFTER_MS:
            return False
        recent = [
            stalled_ms
            for stalled_ms in self.stalled_ms.values()
            if now_ms - stalled_ms < STALL_MEMORY_MS
        ]
        return len(recent) >= 2

    def forget(self, cookie):
        """Forget a target that is gone for good."""
        for table in (self.alive_ms, self.stalled_ms, self.marks, self.trials):
            table.pop(cookie, None)
        self._accepted_ms.pop(cookie, None)
