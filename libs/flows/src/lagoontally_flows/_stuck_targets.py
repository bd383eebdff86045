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
RETENTION_MS = 4_000
REPORT_RETENTION_MS = 1_500  # callers give up after a second and more
OBJECTION_MS = 100  # to a peer and back, where both are slow instances
MESSAGE_DELAY_MS = 50  # half of it: ages that peers tell are so much older by now
MIN_BALANCERS = 3  # one or two balancers may have lost the packets themselves
MIN_REFUTED_REPORTS = 2  # waiting balancers; one fewer than make it certain
THIS_BALANCER = "self"


class OverdueReport(Record, fields="request_sent_ms received_ms"):
    """Word that a request is overdue.

    Attributes:
        asked_ms: When the request came, as far as its age in the word tells.
        said_ms: When the word came.
    """

    __slots__ = ()


class StuckTargets:
    """Targets held for stuck.

    Args:
        flows: The ``FlowTable``.

    Attributes:
        suspects: When a request to each target was last overdue, by cookie.
        waiting: ``OverdueReport`` by cookie and balancer. A
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
        self.overdue_reports = {}
        self.abandonments = {}
        self.answered_ms = {}
        self.peer_answered_ms = {}

    def on_answer(self, cookie, now_ms):
        """Note that a target answered a request.

        Returns:
            A list with the ``Verdict`` that refutes peers, empty without need.
        """
        self.answered_ms[cookie] = now_ms
        self.suspects.pop(cookie, None)
        self.abandonments.pop(cookie, None)
        return self._refute_peers(cookie, now_ms)

    def on_abandoned_request(self, flow, now_ms):
        """Take in that a caller ends a flow whose request was never answered.

        Returns:
            A list with the ``Verdict`` for the peers, empty if it was soon.
        """
        if now_ms - flow.request_sent_ms < OVERDUE_MS:
            return []
        self._record_abandonment(flow.cookie, THIS_BALANCER, now_ms)
        return [Verdict(flow.cookie, True, UNANSWERED, 0)]

    def on_verdict(self, verdict, host, now_ms):
        """Take in the ``Verdict`` of the peer at some host.

        Returns:
            A list with the ``Verdict`` that refutes it, empty if nothing does.
        """
        cookie = verdict.cookie
        if verdict.evidence == ANSWERED:
            self.peer_answered_ms[cookie] = now_ms - verdict.age_ms
            self._refute(cookie, now_ms - verdict.age_ms)
            return []
        if verdict.evidence == UNANSWERED:
            self._record_abandonment(cookie, host, now_ms)
            return []
        self.suspects[cookie] = now_ms
        report = OverdueReport(now_ms - verdict.age_ms, now_ms)
        self.overdue_reports.setdefault(cookie, {})[host] = report
        return self._refute_peers(cookie, now_ms)

    def on_tick(self, now_ms):
        """Let time pass.

        Returns:
            A list of the ``Verdict`` to tell peers.
        """
        verdicts = []
        for flow in _overdue_flows(self.flows, now_ms):
            # Where it answers others this request may just be long.
            refuted = (
                self.peer_answered_ms.get(flow.cookie, flow.request_sent_ms)
                > flow.request_sent_ms
            )
            if not refuted and not self.answered_since(
                flow.cookie, flow.request_sent_ms
            ):
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

    def has_overdue_reports(self, cookie):
        """Tell whether any balancer waits for a target, as far as unrefuted."""
        return cookie in self.overdue_reports

    def is_confirmed(self, cookie, now_ms):
        """Tell whether requests are better taken away from a target."""
        if len(self.abandonments.get(cookie, ())) >= MIN_BALANCERS:
            return True
        reports = self.overdue_reports.get(cookie, {}).values()
        unrefuted = [
            report for report in reports if now_ms - report.received_ms >= OBJECTION_MS
        ]
        return len(unrefuted) >= MIN_BALANCERS

    def forget(self, cookie):
        """Forget a target."""
        self.suspects.pop(cookie, None)
        self.overdue_reports.pop(cookie, None)
        self.abandonments.pop(cookie, None)
        self.answered_ms.pop(cookie, None)
        self.peer_answered_ms.pop(cookie, None)

    def _suspect(self, flow, now_ms):
        """Hold a flow's target for stuck; returns the verdicts that are news."""
        cookie = flow.cookie
        self.suspects[cookie] = now_ms
        reports = self.overdue_reports.setdefault(cookie, {})
        if THIS_BALANCER in reports:
            return []
        reports[THIS_BALANCER] = OverdueReport(flow.request_sent_ms, now_ms)
        return [Verdict(cookie, True, STUCK, round(now_ms - flow.request_sent_ms))]

    def _record_abandonment(self, cookie, host, now_ms):
        self.suspects[cookie] = now_ms
        self.abandonments.setdefault(cookie, {})[host] = now_ms

    def _refute_peers(self, cookie, now_ms):
        """Refute those who wait for a target that has answered here meanwhile.

        Returns:
            A list with the ``Verdict`` that tells them, empty while they are so few
            that nothing follows from it: one waits now and then for a healthy target.
        """
        answered_ms = self.answered_ms.get(cookie)
        reports = len(self.overdue_reports.get(cookie, ()))
        if answered_ms is None or reports < MIN_REFUTED_REPORTS:
            return []
        if not self._refute(cookie, answered_ms):
            return []
        return [Verdict(cookie, False, ANSWERED, round(now_ms - answered_ms))]

    def _refute(self, cookie, answered_ms):
        """Drop the words on requests from before an answer; returns their number."""
        reports = self.overdue_reports.get(cookie, {})
        refuted = [
            balancer
            for balancer, report in reports.items()
            if report.request_sent_ms < answered_ms + MESSAGE_DELAY_MS
        ]
        for balancer in refuted:
            del reports[balancer]
        if not reports:
            self.overdue_reports.pop(cookie, None)
        return len(refuted)

    def _forget_old(self, now_ms):
        for cookie, received_ms in list(self.suspects.items()):
            if now_ms - received_ms > RETENTION_MS:
                self.forget(cookie)
        for cookie, answered_ms in list(self.peer_answered_ms.items()):
            if now_ms - answered_ms > RETENTION_MS:
                del self.peer_answered_ms[cookie]
        for cookie, seen in list(self.abandonments.items()):
            _prune(
                self.abandonments, cookie, seen, lambda ms: now_ms - ms <= RETENTION_MS
            )
        for cookie, reports in list(self.overdue_reports.items()):
            _prune(
                self.overdue_reports,
                cookie,
                reports,
                lambda report: now_ms - report.received_ms <= REPORT_RETENTION_MS,
            )


def _prune(table, cookie, by_balancer, is_kept):
    """Drop what balancers said of a target unless it is kept."""
    kept = {name: word for name, word in by_balancer.items() if is_kept(word)}
    if kept:
        table[cookie] = kept
    else:
        del table[cookie]


def _overdue_flows(flows, now_ms):
    """Return the flows whose request has waited for ``OVERDUE_MS`` or more.

    Args:
        flows: The ``FlowTable``.
        now_ms: Time of the step.

    Returns:
        ``Flow`` objects, longest wait first.
    """
    found = []
    for flow in flows.pending.values():
        if now_ms - flow.request_sent_ms < OVERDUE_MS:
            break
        found.append(flow)
    return found
