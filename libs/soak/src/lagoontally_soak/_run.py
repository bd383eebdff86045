"""A seeded soak: real balancers, steady callers, faults in series and together."""

import itertools
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from lagoontally_standins.packets import Deployment, Outcome

from ._checks import Checks, Violation
from ._explain import Failure
from ._faults import Faults
from ._mutations import MUTATIONS

DATA_CENTRES = ("tifton", "camilla")
ASK_INTERVAL_S = 0.02
FLOWS_A_DATA_CENTRE = 30
DROPPED_SHARE = 0.05  # of new flows, to routes that were dropped
FRESH_SHARE = 0.3  # of requests that open a flow, as downloads do
DEADLINE_S = 2.0
FAULT_INTERVAL_S = (0.2, 2.5)
CALM_S = 9.0  # a stopped balancer has ended and routers have noticed all
FINAL_REQUESTS = 40
LOOK_S = 0.5  # between looks at what a broken build has done


class Soak:
    """One run.

    Args:
        seed: Decides on the faults and their times.
        network: Second octet of the addresses.
        balancers: Balancers in each data centre.
        folder: Folder for settings and logs.
        mutation: Name of a broken build to run, None for the program. Its run ends
            as soon as the promise that it breaks is seen to be broken.

    Attributes:
        violations: The ``Violation`` records found.
        services: Service of every route that was ever published; a dropped one may
            still be served by balancers that haven't heard of it.
        outcomes: Number of requests by how they ended.
        failures: ``Failure`` of each request that wasn't answered.
    """

    def __init__(self, *, seed, network, balancers, folder, mutation=None):
        # Callers draw as often as time lets them, faults in the same order always.
        self.random = Random(f"callers {seed}")
        self.mutation = MUTATIONS[mutation] if mutation else None
        self.deployment = Deployment(
            folder, network, data_centres=DATA_CENTRES, balancers=balancers, targets=2
        )
        self.loop = self.deployment.loop
        if self.mutation is not None:
            for balancer in self.deployment.balancers.values():
                balancer.command = self.mutation.command(sys.executable)
        self.faults = Faults(self.deployment, Random(seed))
        self.checks = Checks(self.deployment, self.faults)
        self.numbers = itertools.count()
        self.asked = {}
        self.services = {}
        self.running = {}
        self.targets = {}
        self.pools = {data_centre: [] for data_centre in DATA_CENTRES}
        self.violations = []
        self.outcomes = {}
        self.failures = []
        self.making_faults = False

    def run(self, seconds):
        """Run for some seconds of faults and return the violations."""
        try:
            if not self.deployment.start():
                self.violations.append(
                    Violation("balancers start", "not all got into rotation")
                )
                return self.violations
            self.making_faults = True
            self._ask_on()
            self._fault_on()
            if self._run_for(seconds):
                return self.violations
            self.making_faults = False
            if self._run_for(CALM_S):
                return self.violations
            self.faults.heal()
            if self._run_for(CALM_S):
                return self.violations
            self._check_end()
        finally:
            self.deployment.stop()
        self.violations += self.checks.all_of(self.asked, self.targets)
        return self.violations

    def _run_for(self, seconds):
        """Run on; returns True as soon as a broken build is noticed."""
        if self.mutation is None:
            self.loop.run_for(seconds)
            return False
        end = self.loop.now + seconds
        while self.loop.now < end:
            self.loop.run_for(LOOK_S)
            seen = self.violations + self.checks.all_of(self.asked, self.targets)
            if any(one.promise == self.mutation.promise for one in seen):
                self.violations = seen
                return True
        return False

    def _fault_on(self):
        if self.making_faults:
            self.faults.make_one()
            pause_s = self.faults.random.uniform(*FAULT_INTERVAL_S)
            self.loop.after(pause_s, self._fault_on)

    def _ask_on(self):
        self.services.update(self.deployment.routes)
        for identity, (_, target) in self.deployment.targets.items():
            self.targets.setdefault(identity, target)
        self._collect()
        self._note_ends()
        for data_centre in DATA_CENTRES:
            self._ask(data_centre)
        self.loop.after(ASK_INTERVAL_S, self._ask_on)

    def _ask(self, data_centre):
        pool = self.pools[data_centre]
        pool[:] = [flow for flow in pool if not flow.closed]
        idle = [flow for flow in pool if flow not in self.running]
        if idle and self.random.random() < FRESH_SHARE:
            leaving = self.random.choice(idle)
            leaving.close()
            pool.remove(leaving)
        if len(pool) < FLOWS_A_DATA_CENTRE:
            flow = self.deployment.callers[data_centre].open(self._route(), DEADLINE_S)
            pool.append(flow)
        elif idle:
            flow = self.random.choice(idle)
        else:
            return
        request = f"q{next(self.numbers)}"
        self.asked[request] = self.services[flow.flow[2:]]
        self.running[flow] = self.loop.now
        flow.send_request(request)

    def _route(self):
        """Draw a route, now and then one that was dropped."""
        dropped = sorted(self.faults.dropped)
        if dropped and self.random.random() < DROPPED_SHARE:
            return self.random.choice(dropped)
        return self.random.choice(sorted(self.deployment.routes))

    def _collect(self):
        for flow, asked_at in list(self.running.items()):
            if flow.outcome is Outcome.PENDING:
                continue
            del self.running[flow]
            name = flow.outcome.value
            self.outcomes[name] = self.outcomes.get(name, 0) + 1
            self.violations += self.checks.on_end(flow, asked_at)
            if flow.outcome is not Outcome.ANSWERED:
                asked_s = time.time() - (self.loop.now - asked_at)
                failure = Failure(flow.request, flow.flow[:2], asked_s, name)
                self.failures.append(failure)
                flow.close()

    def _note_ends(self):
        for violation in self.checks.on_ends():
            if violation not in self.violations:
                self.violations.append(violation)

    def _check_end(self):
        self._note_ends()
        callers = self.deployment.callers[DATA_CENTRES[0]]
        flows = [
            callers.open(route, DEADLINE_S)
            for route in itertools.islice(
                itertools.cycle(self.deployment.routes), FINAL_REQUESTS
            )
        ]
        for flow in flows:
            request = f"q{next(self.numbers)}"
            self.asked[request] = self.services[flow.flow[2:]]
            flow.send_request(request)
        self.loop.run_until(
            lambda: all(flow.outcome is not Outcome.PENDING for flow in flows), 4
        )
        failed = [flow.outcome for flow in flows if flow.outcome != Outcome.ANSWERED]
        if failed:
            detail = f"{len(failed)} of {FINAL_REQUESTS}: {failed[0]}"
            self.violations.append(Violation("all is served after the faults", detail))


def soak(*, seed, seconds, network, balancers=3, keep=None, mutation=None):
    """Run a soak in a folder of its own.

    Args:
        seed: Decides on the faults.
        seconds: How long faults are made.
        network: Second octet of the addresses, 1 to 254.
        balancers: Balancers in each data centre.
        keep: Folder for settings and logs; None for one that is removed.
        mutation: Name of a broken build to run, None for the program.

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
        )
        run.run(seconds)
    return run
