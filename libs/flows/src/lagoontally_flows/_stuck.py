"""Targets that take requests and don't answer them.

Answers the faults of a target that hangs while connections to it succeed. A caller
acknowledges an answer within some 50 ms, so a balancer sees how long each request
waits. One that waits longer than a loaded target could need keeps new flows away
from the target, here and at the peers.

Open flows are given back to their callers once it is certain, while there is time
to go elsewhere: when callers of several balancers wait and no balancer objects,
since it has just seen an answer, or when callers of several gave up. One or two
balancers prove nothing, as their own network may lose the packets.
"""

from lagoontally_lean import Record

from ._health import Verdict

STUCK = "stuck"  # a request is overdue
UNANSWERED = "unanswered"  # a caller gave up
ANSWERED = "answered"  # another request was answered meanwhile
OVERDUE_MS = 350  # ten waiting requests of two slots take less than 200 ms
KEPT_MS = 4_000
WAITING_KEPT_MS = 1_500  # callers give up after a second and more
OBJECTION_MS = 100  # to a peer and back, where both are slow instances
WORD_MS = 50  # half of it: ages that peers tell are so much older by now
WITNESSES = 3  # one or two balancers may have lost the packets themselves
OBJECTED = 2  # waiting balancers; one fewer than make it certain
OWN = "self"


class Wait(Record, fields="asked_ms said_ms"):
    """Word that a request is overdue.

    Attributes:
        asked_ms: When the request came, as far as its age in the word tells.
        said_ms: When the word came.
    """

    __slots__ = ()


class Stuck:
    """Targets held for stuck.

    Args:
        flows: The ``FlowTable``.

    Attributes:
        suspects: When a request to each target was last overdue, by cookie.
        waiting: ``Wait`` of each balancer that said so, by cookie and balancer. A
            later answer that any balancer sees refutes it.
        witnesses: When each balancer's callers last gave up on a target without an
            answer, by cookie and balancer.
        answered_ms: When each target last answered a request of this balancer's
            flows. That it opens flows doesn't count: a hanging target does.
        refuted_ms: When each target answered at a peer at the earliest, by its word.
    """

    def __init__(self, flows):
        self.flows = flows
        self.suspects = {}
        self.waiting = {}
        self.witnesses = {}
        self.answered_ms = {}
        self.refuted_ms = {}

    def on_answer(self, cookie, now_ms):
        """Note that a target answered a request.

        Returns:
            A list with the ``Verdict`` that refutes peers, empty without need.
        """
        self.answered_ms[cookie] = now_ms
        self.suspects.pop(cookie, None)
        self.witnesses.pop(cookie, None)
        return self._object(cookie, now_ms)

    def on_given_up(self, flow, now_ms):
        """Take in that a caller ends a flow whose request was never answered.

        Returns:
            A list with the ``Verdict`` for the peers, empty if it was soon.
        """
        if now_ms - flow.asked_ms < OVERDUE_MS:
            return []
        self._witness(flow.cookie, OWN, now_ms)
        return [Verdict(flow.cookie, True, UNANSWERED, 0)]

    def on_verdict(self, verdict, host, now_ms):
        """Take in the ``Verdict`` of the peer at some host.

        Returns:
            A list with the ``Verdict`` that refutes it, empty if nothing does.
        """
        cookie = verdict.cookie
        if verdict.evidence == ANSWERED:
            self.refuted_ms[cookie] = now_ms - verdict.age_ms
            self._refute(cookie, now_ms - verdict.age_ms)
            return []
        if verdict.evidence == UNANSWERED:
            self._witness(cookie, host, now_ms)
            return []
        self.suspects[cookie] = now_ms
        wait = Wait(now_ms - verdict.age_ms, now_ms)
        self.waiting.setdefault(cookie, {})[host] = wait
        return self._object(cookie, now_ms)

    def on_tick(self, now_ms):
        """Let time pass.

        Returns:
            A list of the ``Verdict`` to tell peers.
        """
        verdicts = []
        for flow in _overdue(self.flows, now_ms):
            # Where it answers others this request may just be long.
            refuted = self.refuted_ms.get(flow.cookie, flow.asked_ms) > flow.asked_ms
            if not refuted and not self.answered_since(flow.cookie, flow.asked_ms):
                verdicts += self._suspect(flow, now_ms)
        self._forget_old(now_ms)
        return verdicts

    def answered_since(self, cookie, moment_ms):
        """Tell whether a target has answered a request since a moment."""
        answered_ms = self.answered_ms.get(cookie)
        return answered_ms is not None and answered_ms > moment_ms

    def is_stuck(self, cookie):
        """Tell whether a target gets no new flows."""
        return cookie in self.suspects

    def is_doubted(self, cookie):
        """Tell whether any balancer waits for a target, as far as unrefuted."""
        return cookie in self.waiting

    def is_certain(self, cookie, now_ms):
        """Tell whether requests are better taken away from a target."""
        if len(self.witnesses.get(cookie, ())) >= WITNESSES:
            return True
        waits = self.waiting.get(cookie, {}).values()
        unrefuted = [wait for wait in waits if now_ms - wait.said_ms >= OBJECTION_MS]
        return len(unrefuted) >= WITNESSES

    def forget(self, cookie):
        """Forget a target."""
        self.suspects.pop(cookie, None)
        self.waiting.pop(cookie, None)
        self.witnesses.pop(cookie, None)
        self.answered_ms.pop(cookie, None)
        self.refuted_ms.pop(cookie, None)

    def _suspect(self, flow, now_ms):
        """Hold a flow's target for stuck; returns the verdicts that are news."""
        cookie = flow.cookie
        self.suspects[cookie] = now_ms
        waits = self.waiting.setdefault(cookie, {})
        if OWN in waits:
            return []
        waits[OWN] = Wait(flow.asked_ms, now_ms)
        return [Verdict(cookie, True, STUCK, round(now_ms - flow.asked_ms))]

    def _witness(self, cookie, host, now_ms):
        self.suspects[cookie] = now_ms
        self.witnesses.setdefault(cookie, {})[host] = now_ms

    def _object(self, cookie, now_ms):
        """Refute those who wait for a target that has answered here meanwhile.

        Returns:
            A list with the ``Verdict`` that tells them, empty while they are so few
            that nothing follows from it: one waits now and then for a healthy target.
        """
        answered_ms = self.answered_ms.get(cookie)
        waits = len(self.waiting.get(cookie, ()))
        if answered_ms is None or waits < OBJECTED:
            return []
        if not self._refute(cookie, answered_ms):
            return []
        return [Verdict(cookie, False, ANSWERED, round(now_ms - answered_ms))]

    def _refute(self, cookie, answered_ms):
        """Drop the words on requests from before an answer; returns their number."""
        waits = self.waiting.get(cookie, {})
        refuted = [
            balancer
            for balancer, wait in waits.items()
            if wait.asked_ms < answered_ms + WORD_MS
        ]
        for balancer in refuted:
            del waits[balancer]
        if not waits:
            self.waiting.pop(cookie, None)
        return len(refuted)

    def _forget_old(self, now_ms):
        for cookie, said_ms in list(self.suspects.items()):
            if now_ms - said_ms > KEPT_MS:
                self.forget(cookie)
        for cookie, answered_ms in list(self.refuted_ms.items()):
            if now_ms - answered_ms > KEPT_MS:
                del self.refuted_ms[cookie]
        for cookie, seen in list(self.witnesses.items()):
            _keep(self.witnesses, cookie, seen, lambda ms: now_ms - ms <= KEPT_MS)
        for cookie, waits in list(self.waiting.items()):
            _keep(
                self.waiting,
                cookie,
                waits,
                lambda wait: now_ms - wait.said_ms <= WAITING_KEPT_MS,
            )


def _keep(table, cookie, by_balancer, is_kept):
    """Drop what balancers said of a target unless it is kept."""
    kept = {name: word for name, word in by_balancer.items() if is_kept(word)}
    if kept:
        table[cookie] = kept
    else:
        del table[cookie]


def _overdue(flows, now_ms):
    """Return the flows whose request has waited for ``OVERDUE_MS`` or more.

    Args:
        flows: The ``FlowTable``.
        now_ms: Time of the step.

    Returns:
        ``Flow`` objects, longest wait first.
    """
    found = []
    for flow in flows.waiting.values():
        if now_ms - flow.asked_ms < OVERDUE_MS:
            break
        found.append(flow)
    return found
