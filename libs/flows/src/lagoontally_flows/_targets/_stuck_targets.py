"""Detection of stuck targets, which accept requests and don't answer them.

Covers a target that hangs while connections to it still succeed. A caller
acknowledges an answer within some 50 ms, so a balancer sees how long each request
waits. A request that waits longer than a loaded target could need keeps new flows
away from the target, here and at the peers.

Open flows are reset once a target is confirmed to be stuck, early enough for their
callers to go elsewhere: when requests through several balancers are overdue, or their
callers gave up, and no balancer refutes it by an answer since those requests were sent.
One or two balancers aren't enough, as their own network may lose the packets.
"""

from lagoontally_lean import Record

from ._health import Verdict

STUCK = "stuck"  # a request is overdue
UNANSWERED = "unanswered"  # a caller gave up
ANSWERED = "answered"  # another request was answered meanwhile
OVERDUE_MS = 350  # ten waiting requests of two slots take less than 200 ms
RETENTION_MS = 4_000
REPORT_RETENTION_MS = 1_500  # callers give up after a second and more
OBJECTION_MS = 100  # round trip to a peer, where both are slow instances
MESSAGE_DELAY_MS = 50  # half of it: what reported ages gain in transit
MIN_BALANCERS = 3  # one or two balancers may have lost the packets themselves
MIN_REFUTED_REPORTS = 2  # one fewer than confirm that a target is stuck
THIS_BALANCER = "self"


class OverdueReport(Record, fields="request_sent_ms received_ms"):
    """A balancer's report that a request is overdue, or that its caller gave up.

    Attributes:
        request_sent_ms: When the request was sent, by its age in the report.
        received_ms: When the report arrived.
    """

    __slots__ = ()


class StuckTargets:
    """Suspected and confirmed stuck targets.

    Args:
        flows: The ``FlowTable``.

    Attributes:
        suspects: When a request to each target was last overdue, by cookie.
        overdue_reports: ``OverdueReport`` by cookie and balancer. A later answer
            that any balancer sees refutes it.
        abandonments: ``OverdueReport`` of the request on which a caller gave up last,
            by cookie and balancer. It is refuted likewise.
        answered_ms: When each target last answered a request of this balancer's
            flows. Handshakes don't count: a hanging target completes them too.
        peer_answered_ms: When each target answered through a peer, by the age in
            the peer's verdict; the earliest possible time.
    """

    def __init__(self, flows):
        self.flows = flows
        self.suspects = {}
        self.overdue_reports = {}
        self.abandonments = {}
        self.answered_ms = {}
        self.peer_answered_ms = {}

    def on_answer(self, cookie, now_ms):
        """Record that a target answered a request.

        Returns:
            A list with the ``Verdict`` that refutes peers' reports, or an empty list.
        """
        self.answered_ms[cookie] = now_ms
        self.suspects.pop(cookie, None)
        self.abandonments.pop(cookie, None)
        return self._refute_peers(cookie, now_ms)

    def on_abandoned_request(self, flow, now_ms):
        """Handle a caller that ended a flow with an unanswered request.

        Returns:
            A list with the ``Verdict`` to send to peers, empty unless the request
            was overdue.
        """
        cookie, sent_ms = flow.cookie, flow.request_sent_ms
        if now_ms - sent_ms < OVERDUE_MS or self._is_refuted(cookie, sent_ms):
            return []
        self._record_abandonment(cookie, THIS_BALANCER, sent_ms, now_ms)
        return [Verdict(cookie, True, UNANSWERED, round(now_ms - sent_ms))]

    def on_verdict(self, verdict, host, now_ms):
        """Handle the ``Verdict`` that the peer at ``host`` sent.

        Returns:
            A list with the ``Verdict`` that refutes it, or an empty list.
        """
        cookie = verdict.cookie
        if verdict.evidence == ANSWERED:
            self.peer_answered_ms[cookie] = now_ms - verdict.age_ms
            self._refute(cookie, now_ms - verdict.age_ms)
            return []
        if verdict.evidence == UNANSWERED:
            sent_ms = now_ms - verdict.age_ms
            self._record_abandonment(cookie, host, sent_ms, now_ms)
            return self._refute_peers(cookie, now_ms)
        self.suspects[cookie] = now_ms
        report = OverdueReport(now_ms - verdict.age_ms, now_ms)
        self.overdue_reports.setdefault(cookie, {})[host] = report
        return self._refute_peers(cookie, now_ms)

    def on_tick(self, now_ms):
        """Suspect targets with overdue requests and drop old state.

        Returns:
            A list of the ``Verdict`` records to send to peers.
        """
        verdicts = []
        for flow in _overdue_flows(self.flows, now_ms):
            verdicts += self._suspect(flow, now_ms)
        self._forget_old(now_ms)
        return verdicts

    def on_retransmission(self, flow, now_ms):
        """Handle a caller that retransmits a pending request.

        It is checked at once, as it may be set aside again before the next tick.

        Returns:
            A list with the ``Verdict`` to send to peers, or an empty list.
        """
        sent_ms = flow.request_sent_ms
        if sent_ms is None or now_ms - sent_ms < OVERDUE_MS:
            return []
        return self._suspect(flow, now_ms)

    def answered_since(self, cookie, moment_ms):
        """Return whether a target has answered a request after ``moment_ms``."""
        answered_ms = self.answered_ms.get(cookie)
        return answered_ms is not None and answered_ms > moment_ms

    def is_stuck(self, cookie):
        """Return whether a target is suspected and gets no new flows."""
        return cookie in self.suspects

    def has_overdue_reports(self, cookie):
        """Return whether there are unrefuted overdue reports on a target."""
        return cookie in self.overdue_reports

    def is_confirmed(self, cookie, now_ms):
        """Return whether enough balancers found a target stuck to reset its flows."""
        return any(
            sum(now_ms - one.received_ms >= OBJECTION_MS for one in reports.values())
            >= MIN_BALANCERS
            for reports in self._reports_on(cookie)
        )

    def forget(self, cookie):
        """Drop all state of a target."""
        self.suspects.pop(cookie, None)
        self.overdue_reports.pop(cookie, None)
        self.abandonments.pop(cookie, None)
        self.answered_ms.pop(cookie, None)
        self.peer_answered_ms.pop(cookie, None)

    def _suspect(self, flow, now_ms):
        """Suspect the target of an overdue flow, unless it answers others.

        Returns:
            A list with any new ``Verdict``.
        """
        cookie = flow.cookie
        if self._is_refuted(cookie, flow.request_sent_ms):
            return []
        self.suspects[cookie] = now_ms
        reports = self.overdue_reports.setdefault(cookie, {})
        if THIS_BALANCER in reports:
            return []
        reports[THIS_BALANCER] = OverdueReport(flow.request_sent_ms, now_ms)
        return [Verdict(cookie, True, STUCK, round(now_ms - flow.request_sent_ms))]

    def _is_refuted(self, cookie, sent_ms):
        """Return whether the target has answered others since a request was sent.

        Then that request may just take long.
        """
        peer_answered_ms = self.peer_answered_ms.get(cookie, sent_ms)
        return peer_answered_ms > sent_ms or self.answered_since(cookie, sent_ms)

    def _record_abandonment(self, cookie, host, sent_ms, now_ms):
        self.suspects[cookie] = now_ms
        report = OverdueReport(sent_ms, now_ms)
        self.abandonments.setdefault(cookie, {})[host] = report

    def _reports_on(self, cookie):
        """Return the reports on a target by balancer, those of either kind."""
        return [
            table.get(cookie, {}) for table in (self.overdue_reports, self.abandonments)
        ]

    def _refute_peers(self, cookie, now_ms):
        """Refute reports on a target that has answered here since.

        Returns:
            A list with the ``Verdict`` to send to peers. It is empty while there are
            too few reports to matter: a single one also occurs with healthy targets.
        """
        answered_ms = self.answered_ms.get(cookie)
        report_count = max(map(len, self._reports_on(cookie)))
        if answered_ms is None or report_count < MIN_REFUTED_REPORTS:
            return []
        if not self._refute(cookie, answered_ms):
            return []
        return [Verdict(cookie, False, ANSWERED, round(now_ms - answered_ms))]

    def _refute(self, cookie, answered_ms):
        """Drop reports on requests sent before an answer; return their number."""
        count = 0
        for table in (self.overdue_reports, self.abandonments):
            reports = table.get(cookie, {})
            kept = {
                balancer: report
                for balancer, report in reports.items()
                if report.request_sent_ms >= answered_ms + MESSAGE_DELAY_MS
            }
            count += len(reports) - len(kept)
            table[cookie] = kept
            if not kept:
                del table[cookie]
        return count

    def _forget_old(self, now_ms):
        for cookie, suspected_ms in list(self.suspects.items()):
            if now_ms - suspected_ms > RETENTION_MS:
                self.forget(cookie)
        for cookie, answered_ms in list(self.peer_answered_ms.items()):
            if now_ms - answered_ms > RETENTION_MS:
                del self.peer_answered_ms[cookie]
        for table, retention_ms in (
            (self.abandonments, RETENTION_MS),
            (self.overdue_reports, REPORT_RETENTION_MS),
        ):
            _prune(table, now_ms - retention_ms)


def _prune(table, oldest_ms):
    """Drop the reports that were received before a time."""
    for cookie, reports in list(table.items()):
        table[cookie] = {
            balancer: report
            for balancer, report in reports.items()
            if report.received_ms >= oldest_ms
        }
        if not table[cookie]:
            del table[cookie]


def _overdue_flows(flows, now_ms):
    """Return the flows whose request has waited for ``OVERDUE_MS`` or more.

    Args:
        flows: The ``FlowTable``.
        now_ms: Current time.

    Returns:
        ``Flow`` objects, longest wait first.
    """
    found = []
    for flow in flows.pending.values():
        if now_ms - flow.request_sent_ms < OVERDUE_MS:
            break
        found.append(flow)
    return found
