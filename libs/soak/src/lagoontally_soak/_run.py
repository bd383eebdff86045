"""Seeded soak test: balancer processes under load with overlapping faults."""

import itertools
import json
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from lagoontally_standins.packets import Deployment, Outcome

from ._checks import Checks, SentRequest
from ._cold_returns import PROMISE as BOUND_PROMISE
from ._cold_returns import ColdReturns
from ._evacuations import PROMISE as EVACUATION_PROMISE
from ._evacuations import Evacuations
from ._explain import Failure
from ._faults import Faults
from ._mutations import MUTATIONS
from ._old_copies import OldCopies
from ._planned_work import PlannedWork
from ._series import Series
from ._views import view_violations
from ._violation import Violation

DATA_CENTRES = ("tifton", "camilla")
REQUEST_INTERVAL_S = 0.02
FLOWS_PER_DATA_CENTRE = 30
CHANGED_ROUTE_SHARE = 0.4  # of new flows, to routes that were changed recently
CHANGED_RECENTLY_S = 12.0
NEW_FLOW_SHARE = 0.3  # of requests, that open a flow as downloads do
NEW_FLOW_SHARE_WHILE_COLD = 0.9  # more than cold targets bear
REQUEST_DEADLINE_S = 2.0
FAULT_INTERVAL_S = (0.2, 2.5)
RECOVERY_S = 9.0  # stopped balancers exit and routers detect all changes in this time
FINAL_REQUESTS = 40
VIEWS_S = 4.0  # the platform's bound for following the store
DISTURBANCES_FILE = "disturbances.json"
CHECK_INTERVAL_S = 0.5  # between checks of a broken build


class Soak:
    """One run of the soak test.

    Args:
        seed: Seed of the faults and their times.
        network: Second octet of the addresses.
        balancers: Balancers in each data centre.
        folder: Folder for settings and logs.
        mutation: Name of a broken build to run, None for the program. Its run ends
            as soon as the broken promise is detected.
        planned: Whether to draw ``PlannedWork`` that overlaps instead of faults.

    Attributes:
        violations: The ``Violation`` records found.
        sent_requests: Every ``SentRequest`` by request.
        outcomes: Number of requests by outcome.
        failures: ``Failure`` of each request that wasn't answered.
    """

    def __init__(
        self, *, seed, network, balancers, folder, mutation=None, planned=False
    ):
        # The number of draws for callers depends on timing; a separate generator
        # keeps the order of faults reproducible.
        self.random = Random(f"callers {seed}")
        self.mutation = MUTATIONS[mutation] if mutation else None
        self.deployment = Deployment(
            folder, network, data_centres=DATA_CENTRES, balancers=balancers, targets=2
        )
        self.loop = self.deployment.loop
        if self.mutation is not None:
            for balancer in self.deployment.balancers.values():
                balancer.command = self.mutation.command(sys.executable)
        restores = Random(f"restores {seed}")
        self.faults = Faults(self.deployment, Random(seed), restores)
        self.series = Series(self.deployment, self.faults, Random(f"series {seed}"))
        self.evacuations = Evacuations(
            self.deployment, self.faults.disturbances, Random(f"evacuations {seed}")
        )
        self.old_copies = OldCopies(
            self.deployment, self.series, Random(f"old copies {seed}")
        )
        self.cold_returns = ColdReturns(
            self.deployment, self.faults.disturbances, Random(f"cold returns {seed}")
        )
        self.checks = Checks(
            self.deployment, self.faults, self.evacuations, self.cold_returns
        )
        self.request_numbers = itertools.count()
        self.sent_requests = {}
        self.opened_at = {}
        self.pending_since = {}
        self.targets = {}
        self.target_centres = {}
        self.pools = {data_centre: [] for data_centre in DATA_CENTRES}
        self.violations = []
        self.outcomes = {}
        self.failures = []
        self.injecting_faults = False
        self.planned_work = None
        if planned:
            self.planned_work = PlannedWork(
                self.deployment,
                self.faults,
                self.series,
                self.pending_since,
                random=Random(f"planned work {seed}"),
                large_random=Random(f"large entries {seed}"),
            )

    def run(self, seconds):
        """Inject faults for some seconds and return the violations."""
        promise = self.mutation and self.mutation.promise
        try:
            if self.planned_work is not None:
                self.planned_work.set_up()
            elif promise in (None, BOUND_PROMISE):
                self.cold_returns.set_up()
            if not self.deployment.start():
                self.violations.append(
                    Violation("balancers start", "not all balancers got into rotation")
                )
                return self.violations
            self.injecting_faults = True
            self._send_requests()
            if self.planned_work is not None:
                self._inject_planned_work()
            else:
                self._inject_faults()
                self._inject_series()
                if promise in (None, EVACUATION_PROMISE, BOUND_PROMISE):
                    # Last, so that the other faults of a seed stay as they were.
                    self._change_evacuations()
            if self._run_for(seconds):
                return self.violations
            self.injecting_faults = False
            if self.planned_work is not None:
                self.planned_work.end_all()
            else:
                self.series.inject_last()
            if self._run_for(RECOVERY_S):
                return self.violations
            self._on_return(self.evacuations.end())
            self.series.end_all()
            self.faults.end_all()
            if self._run_for(RECOVERY_S):
                return self.violations
            self._check_recovery()
            self._check_views()
        finally:
            self.deployment.stop()
        self.violations += self.checks.violations_of_run(
            self.sent_requests, self.targets, self.target_centres
        )
        return self.violations

    def _run_for(self, seconds):
        """Run the loop; return True as soon as a broken build is detected."""
        if self.mutation is None:
            self.loop.run_for(seconds)
            return False
        end = self.loop.now + seconds
        while self.loop.now < end:
            self.loop.run_for(CHECK_INTERVAL_S)
            found = self.violations + self.checks.violations_of_run(
                self.sent_requests, self.targets, self.target_centres
            )
            if any(item.promise == self.mutation.promise for item in found):
                self.violations = found
                return True
        return False

    def _inject_faults(self):
        if self.injecting_faults:
            self.faults.inject_one()
            pause_s = self.faults.random.uniform(*FAULT_INTERVAL_S)
            self.loop.after(pause_s, self._inject_faults)

    def _inject_series(self):
        if self.injecting_faults:
            self.series.inject_one()
            self.loop.after(self.series.next_pause_s(), self._inject_series)

    def _inject_planned_work(self):
        if self.injecting_faults:
            self.planned_work.inject_one()
            self.loop.after(self.planned_work.next_pause_s(), self._inject_planned_work)

    def _change_evacuations(self):
        if not self.injecting_faults:
            return
        pause_s = self.evacuations.next_pause_s()
        self._on_return(self.evacuations.change())
        for data_centre in self.deployment.evacuated:
            pause_s += self.old_copies.on_request(data_centre)
        self.loop.after(pause_s, self._change_evacuations)

    def _on_return(self, data_centres):
        if data_centres:
            requested_at = self.evacuations.requests[-1].began
            self.cold_returns.on_return(data_centres, requested_at)

    def _send_requests(self):
        for target_id, (index, target) in self.deployment.targets.items():
            self.targets.setdefault(target_id, target)
            self.target_centres[target_id] = DATA_CENTRES[index]
        self.cold_returns.on_tick()
        self._collect_outcomes()
        self._record_exits()
        for data_centre in DATA_CENTRES:
            self._send_request(data_centre)
        self.loop.after(REQUEST_INTERVAL_S, self._send_requests)

    def _send_request(self, data_centre):
        pool = self.pools[data_centre]
        pool[:] = [flow for flow in pool if not flow.closed]
        idle = [flow for flow in pool if flow not in self.pending_since]
        is_any_cold = self.cold_returns.is_any_cold()
        share = NEW_FLOW_SHARE_WHILE_COLD if is_any_cold else NEW_FLOW_SHARE
        if idle and self.random.random() < share:
            closing = self.random.choice(idle)
            closing.close()
            pool.remove(closing)
        if len(pool) < FLOWS_PER_DATA_CENTRE:
            flow = self._open(self.deployment.callers[data_centre], self._pick_route())
            pool.append(flow)
        elif idle:
            flow = self.random.choice(idle)
        else:
            return
        self.pending_since[flow] = self.loop.now
        self._send_on(flow)

    def _open(self, callers, route):
        flow = callers.open(route, REQUEST_DEADLINE_S)
        self.opened_at[flow] = self.loop.now
        return flow

    def _send_on(self, flow):
        request = f"q{next(self.request_numbers)}"
        sent = SentRequest(flow.flow, self.opened_at[flow])
        self.sent_requests[request] = sent
        flow.send_request(request)

    def _pick_route(self):
        """Return a random route, often one that was changed, even a dropped one."""
        start = self.loop.now - CHANGED_RECENTLY_S
        changed = self.faults.route_history.changed_since(start)
        if changed and self.random.random() < CHANGED_ROUTE_SHARE:
            return self.random.choice(changed)
        return self.random.choice(sorted(self.deployment.routes))

    def _collect_outcomes(self):
        for flow, sent_at in list(self.pending_since.items()):
            if flow.outcome is Outcome.PENDING:
                continue
            del self.pending_since[flow]
            name = flow.outcome.value
            self.outcomes[name] = self.outcomes.get(name, 0) + 1
            self.violations += self.checks.outcome_violations(flow, sent_at)
            if flow.outcome is not Outcome.ANSWERED:
                sent_s = time.time() - (self.loop.now - sent_at)
                failure = Failure(flow.request, flow.flow[:2], sent_s, name)
                self.failures.append(failure)
                flow.close()

    def _record_exits(self):
        for violation in self.checks.balancer_exit_violations():
            if violation not in self.violations:
                self.violations.append(violation)

    def _check_recovery(self):
        self._record_exits()
        callers = self.deployment.callers[DATA_CENTRES[0]]
        flows = [
            self._open(callers, route)
            for route in itertools.islice(
                itertools.cycle(self.deployment.routes), FINAL_REQUESTS
            )
        ]
        for flow in flows:
            self._send_on(flow)
        self.loop.run_until(
            lambda: all(flow.outcome is not Outcome.PENDING for flow in flows), 4
        )
        failed = [flow.outcome for flow in flows if flow.outcome != Outcome.ANSWERED]
        if failed:
            detail = f"{len(failed)} of {FINAL_REQUESTS}: {failed[0]}"
            self.violations.append(Violation("all is served after the faults", detail))

    def _check_views(self):
        """Compare what balancers know with the store's targets and configuration."""
        self.loop.run_until(lambda: not view_violations(self.deployment), VIEWS_S)
        self.violations += view_violations(self.deployment)


def soak(
    *, seed, seconds, network, balancers=3, keep=None, mutation=None, planned=False
):
    """Run a soak test in a folder of its own.

    Args:
        seed: Seed of the faults.
        seconds: How long faults are injected.
        network: Second octet of the addresses, 1 to 254.
        balancers: Balancers in each data centre.
        keep: Folder for settings and logs; None for one that is removed.
        mutation: Name of a broken build to run, None for the program.
        planned: Whether to draw planned work that overlaps instead of faults.

    Returns:
        The ``Soak`` after its run.
    """
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(keep or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        run = Soak(
            seed=seed,
            network=network,
            balancers=balancers,
            folder=folder,
            mutation=mutation,
            planned=planned,
        )
        run.run(seconds)
        # On the clock of ``at_ms`` in the logs.
        disturbances = run.faults.disturbances.items
        (folder / DISTURBANCES_FILE).write_text(json.dumps(disturbances))
    return run
