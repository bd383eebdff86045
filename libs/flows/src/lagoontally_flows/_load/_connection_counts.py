"""Which targets hold as many connections as they may, counted over all balancers.

Covers flows that stay open for long, beside a cap that the operator states: each
balancer sees its own flows only, and together they would pass the cap of one target
while others have room. A target past its cap answers no SYN, so its callers would wait
for their next copy.
"""

REPORTED_LOAD = 0.5  # of a balancer's share of a cap; below it nothing is said
UNREPORTED_LOAD = 0.25  # of a share: what a balancer holds that says nothing
MOST_SHARES = 2.0  # that one balancer's word counts for
FULL_LOAD = 0.9  # of the cap; the rest is for flows that open before all know
ROOM_LOAD = 0.8
REPORT_LIFETIME_MS = 2_000
REPORT_LIFETIME_PER_MEMBER_MS = 30  # three intervals between reports
MAX_REPORTED = 20


def reported_flows(open_flows, view, max_connections, members):
    """Return what a balancer reports: pairs of a cookie and its flows.

    Args:
        open_flows: Flows of this balancer by cookie.
        view: The ``View``.
        max_connections: Flows that a target holds at most, by service.
        members: Number of balancers of the data centre.
    """
    loads = []
    for cookie, flows in open_flows.items():
        target = view.by_cookie.get(cookie)
        most = max_connections.get(target.service, 0) if target else 0
        if most and flows * members >= REPORTED_LOAD * most:
            loads.append((flows / most, cookie, flows))
    return [(cookie, flows) for _, cookie, flows in sorted(loads)[-MAX_REPORTED:]]


class ConnectionCounts:
    """A reader's counts of its data centre's flows by target.

    Attributes:
        full: Cookies of the targets that get no more flows.
    """

    def __init__(self):
        self.full = set()
        self._reports = {}

    def on_report(self, host, flows, now_ms):
        """Record a balancer's report in place of its previous one.

        Args:
            host: The balancer's host.
            flows: Pairs of a cookie and a number of flows.
            now_ms: Current time.
        """
        self._reports[host] = (dict(flows), now_ms)

    def update(self, targets, data_centre, *, max_connections, members, now_ms):
        """Recompute ``full``.

        Args:
            targets: The listed ``Target`` records.
            data_centre: Data centre of the balancers. Of a target elsewhere they
                hold no more than a data centre's part.
            max_connections: Flows that a target holds at most, by service.
            members: Number of balancers of the data centre.
            now_ms: Current time.
        """
        self._forget_silent(members, now_ms)
        data_centres = len({one.data_centre for one in targets} | {data_centre})
        reported = self._reported()
        full = set()
        for target in targets:
            most = max_connections.get(target.service, 0)
            if target.data_centre != data_centre:
                most /= data_centres
            bound = ROOM_LOAD if target.cookie in self.full else FULL_LOAD
            known = reported.get(target.cookie)
            if most and known and _estimate(known, most, members) >= bound * most:
                full.add(target.cookie)
        self.full = full

    def _reported(self):
        """Return what balancers hold, by cookie."""
        reported = {}
        for flows, _ in self._reports.values():
            for cookie, count in flows.items():
                reported.setdefault(cookie, []).append(count)
        return reported

    def _forget_silent(self, members, now_ms):
        lifetime_ms = max(REPORT_LIFETIME_MS, REPORT_LIFETIME_PER_MEMBER_MS * members)
        self._reports = {
            host: report
            for host, report in self._reports.items()
            if now_ms - report[1] <= lifetime_ms
        }


def _estimate(known, most, members):
    """Return how many flows all balancers hold, by what some of them reported."""
    share = most / members
    counted = sum(min(flows, MOST_SHARES * share) for flows in known)
    return counted + UNREPORTED_LOAD * share * max(0, members - len(known))
