"""Case 1: configurations in quick succession keep a balancer on an old one."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

import cases
from packets import _caller, _deployment

BALANCERS = 6
IDLE_ROUTES = 422  # 110 further routes, and those of a `big_config`
EXCHANGED = 70  # routes that a round's first version drops and adds
STORM_GAP_S, STORM_S = 0.33, 4.0  # `config_storm` in the site's `troubles`
APPLY_S = 3.0  # `config-apply-ms`
ROUNDS = 12
ROUND_S = 7.0
FIRST_PORT, STORM_PORT, IDLE_PORT = 10_000, 30_000, 40_000
SLACK_S = 0.02  # flows are sent this much later than the bound


class Direct:
    """Sends the packets of flows straight to one balancer.

    Args:
        router: The stand-in's ``Router``, whose socket is used.
        address: The balancer's address for packets.
    """

    def __init__(self, router, address):
        self.router = router
        self.address = address

    def send(self, _flow, packet):
        """Send a packet."""
        self.router.sock.sendto(packet, self.address)


class Day:
    """The operator's changes, and the flows that test what is in force.

    Args:
        deployment: The deployment.
        record: The ``Record``.
    """

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.loop = deployment.loop
        self.host = next(iter(deployment.routes))[0]
        self.tests = []
        self.callers = {}
        router = deployment.routers["tifton"]
        for number, name in enumerate(sorted(deployment.balancers)):
            self.callers[name] = _caller.Callers(
                deployment.loop,
                deployment.host(201, 10 + number),
                _deployment.PACKET_PORT,
                router=Direct(router, router.balancers[name][0]),
                services=deployment.services_ever,
            )

    def round(self, number):
        """Exchange routes in one version; others follow in quick succession."""
        routes = self.deployment.routes
        dropped = (self.host, FIRST_PORT + number * EXCHANGED)
        for port in range(EXCHANGED):
            routes.pop((self.host, FIRST_PORT + number * EXCHANGED + port))
            added = FIRST_PORT + (number + 1) * EXCHANGED + port
            routes[self.host, added] = "pivot-link"
        self.deployment.publish()
        acknowledged = self.loop.now
        version = self.deployment.version
        self.record.line(
            f"version {version} drops route {dropped[1]}, of {len(routes)}"
        )
        if cases.WITH_TROUBLE:
            for step in range(1, round(STORM_S / STORM_GAP_S) + 1):
                self.loop.after(step * STORM_GAP_S, lambda step=step: self._storm(step))
        after_s = APPLY_S + SLACK_S
        while after_s < APPLY_S + 2.0:
            for name in self.callers:
                self.loop.after(after_s, lambda name=name: self._test(name, dropped))
            after_s += 0.1
        self.loop.run_for(ROUND_S)
        self._judge(acknowledged, version)

    def _storm(self, step):
        """Publish a version that adds a route, or drops the one added before."""
        route = (self.host, STORM_PORT)
        if step % 2:
            self.deployment.routes[route] = "usage-ledger"
        else:
            del self.deployment.routes[route]
        self.deployment.publish()

    def _test(self, name, route):
        flow = self.callers[name].open(route, timeout_s=1.0)
        flow.send_request(f"{name}-{flow.flow[1]}")
        self.tests.append((name, flow, self.loop.now))

    def _judge(self, acknowledged, version):
        """Record which balancers let flows of the dropped route in too late."""
        late = {}
        for name, flow, sent in self.tests:
            if sent > acknowledged and self._taken(flow):
                late.setdefault(name, []).append(sent - acknowledged)
        for name, after in sorted(late.items()):
            seconds = ", ".join(f"{one:.2f}" for one in after)
            self.record.line(f"version {version}: through {name} after {seconds} s")

    def _taken(self, flow):
        targets = self.deployment.targets.values()
        return any(flow.flow in target.first_syns for _, target in targets)

    def violations(self):
        """Return the texts of all flows that a target took too late."""
        runs = {run.request for run in self.deployment.ledger}
        return [
            f"CONFIG: {name} sent a flow of dropped route port {flow.flow[3]} to a"
            f" target, run: {flow.request in runs}"
            for name, flow, _ in self.tests
            if self._taken(flow)
        ]


def prepare(deployment):
    """Add the routes that see no traffic, and those of the first round."""
    host = next(iter(deployment.routes))[0]
    for port in range(IDLE_ROUTES):
        deployment.routes[host, IDLE_PORT + port] = "usage-ledger"
    for port in range(EXCHANGED):
        deployment.routes[host, FIRST_PORT + port] = "pivot-link"
    deployment.publish()


def body(deployment, record):
    """Play the rounds and judge the flows of dropped routes."""
    deployment.loop.run_for(5.0)
    day = Day(deployment, record)
    for number in range(ROUNDS):
        day.round(number)
    record.line(f"flows that tested dropped routes: {len(day.tests)}")
    return day.violations()


if __name__ == "__main__":
    cases.run(
        Path(__file__).resolve().parent,
        body,
        balancers=BALANCERS,
        targets=2,
        prepare=prepare,
    )
