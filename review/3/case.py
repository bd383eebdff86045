"""Case 3: a rolling restart while a configuration with more routes spreads."""

import itertools
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

import cases

BALANCERS = 6
IDLE_ROUTES = 110  # "110 further routes see no traffic"
MORE_ROUTES = 350  # the largest `big_config` of the site
ROUNDS = 8
ROUND_S = 6.0
PUBLISH_AFTER_S = 0.5  # after a restart has begun
FLOWS_PER_ROUND = 60
FLOW_GAP_S = 0.004
REQUEST_GAP_S = 0.15
RESTART_S = 0.3  # the platform starts an ended process after a short delay
FIRST_PORT, FIRST_IDLE_PORT = 2_000, 10_000


class Day:
    """The operator's changes, the platform's restarts and the callers' flows.

    Args:
        deployment: The deployment.
        record: The ``Record``.
    """

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.loop = deployment.loop
        self.callers = deployment.callers["tifton"]
        self.flows = []
        self.names = sorted(deployment.balancers)
        self.restarts = 0

    def round(self, number):
        """Restart one balancer as planned, and publish meanwhile."""
        if cases.WITH_TROUBLE:
            self._restart(self.names[number % len(self.names)])
        self.loop.after(PUBLISH_AFTER_S, lambda: self._publish(number))
        self.loop.run_for(ROUND_S)

    def _restart(self, name):
        process = self.deployment.balancers[name]
        self.record.line(f"SIGTERM to {name}")
        process.signal(signal.SIGTERM)
        self._start_when_ended(name, process)

    def _start_when_ended(self, name, process):
        if process.alive():
            again = lambda: self._start_when_ended(name, process)  # noqa: E731
            self.loop.after(0.05, again)
            return
        self.record.line(f"{name} has ended")
        self.loop.after(RESTART_S, process.start)

    def _publish(self, number):
        """Publish one new route for callers and 350 more that see no traffic."""
        deployment = self.deployment
        host = next(iter(deployment.routes))[0]
        route = (host, FIRST_PORT + number)
        deployment.routes[route] = "pivot-link"
        for port in range(MORE_ROUTES):
            new = (host, FIRST_IDLE_PORT + number * MORE_ROUTES + port)
            deployment.routes[new] = "usage-ledger"
            old = (host, FIRST_IDLE_PORT + (number - 1) * MORE_ROUTES + port)
            deployment.routes.pop(old, None)
        deployment.publish()
        routes = len(deployment.routes)
        self.record.line(f"version {deployment.version} with {routes} routes")
        for index in range(FLOWS_PER_ROUND):
            self.loop.after(index * FLOW_GAP_S, lambda: self._open(route))

    def _open(self, route):
        flow = self.callers.open(route, timeout_s=5.0)
        self.flows.append(flow)
        requests = itertools.count()
        self._request(flow, requests, round(ROUND_S / REQUEST_GAP_S))

    def _request(self, flow, requests, left):
        """Send the next request once the one before is answered, for a round."""
        if flow.closed:
            return
        if left == 0:
            flow.close()
            return
        number = next(requests)
        if number == flow.answers:
            flow.send_request(f"{flow.flow[1]}-{number}")
        else:
            requests = itertools.count(number)
        again = lambda: self._request(flow, requests, left - 1)  # noqa: E731
        self.loop.after(REQUEST_GAP_S, again)


def prepare(deployment):
    """Add the routes that see no traffic."""
    host = next(iter(deployment.routes))[0]
    for port in range(IDLE_ROUTES):
        deployment.routes[host, 40_000 + port] = "usage-ledger"
    deployment.publish()


def body(deployment, record):
    """Play the rounds and judge the resets that callers got."""
    day = Day(deployment, record)
    deployment.loop.run_for(4.0)
    for number in range(ROUNDS):
        day.round(number)
    opened = [flow for flow in day.flows if flow.answers]
    record.line(f"flows tried: {len(day.flows)}, opened and answered: {len(opened)}")
    record.line(f"requests run: {len(deployment.ledger)}")
    resets = sum(target.resets for _, target in deployment.targets.values())
    record.line(f"resets that targets sent: {resets}")
    return [
        f"FLOW: flow from port {flow.flow[1]} to route port {flow.flow[3]} at target"
        f" {flow.target} had {flow.answers} answers and was reset by the system"
        for flow in opened
        if flow.system_resets
    ]


if __name__ == "__main__":
    cases.run(
        Path(__file__).resolve().parent,
        body,
        balancers=BALANCERS,
        targets=3,
        prepare=prepare,
    )
