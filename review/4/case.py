"""Case 4: an entry that names no target ends the flows of a live target."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

import cases

FLOWS = 24
ROUTE_PORT = 443
OTHER_KEY = "servers/i-00c0ffee"


def body(deployment, record):
    """Open flows, let another writer write its entry, and watch the flows."""
    route = next(one for one in deployment.routes if one[1] == ROUTE_PORT)
    callers = deployment.callers["tifton"]
    flows = [callers.open(route, timeout_s=5.0) for _ in range(FLOWS)]
    for number, flow in enumerate(flows):
        flow.send_request(f"first-{number}")
    deployment.loop.run_until(lambda: all(flow.answers for flow in flows), 5)
    if not all(flow.answers for flow in flows):
        raise cases.NotRunError("flows did not open")
    by_target = {}
    for flow in flows:
        by_target.setdefault(flow.target, []).append(flow)
    victim = max(by_target, key=lambda identity: len(by_target[identity]))
    _, target = deployment.targets[victim]
    counts = {identity: len(group) for identity, group in by_target.items()}
    record.line(f"flows by target: {counts}")
    if cases.WITH_TROUBLE:
        entry = target.entry("tifton") | {
            "service": "print-spooler",
            "born": round(1_000 * time.time()),
        }
        record.line(f"another writer writes {OTHER_KEY}: {entry}")
        deployment.store.put(OTHER_KEY, entry)
    ask(deployment, flows)
    for identity, group in by_target.items():
        answered = sum(flow.answers for flow in group)
        resets = sum(flow.system_resets for flow in group)
        record.line(f"target {identity}: {answered} answers, {resets} system resets")
    record.line(f"resets that target {victim} sent: {target.resets}")
    after_it(deployment, record, route, victim)
    return [
        f"FLOW: flow from port {flow.flow[1]} to {flow.target}, {flow.answers} answers,"
        " was reset by the system though its target lives"
        for flow in flows
        if flow.system_resets
    ]


def ask(deployment, flows):
    """Send requests on the flows for three seconds."""
    for number in range(30):
        deployment.loop.run_for(0.1)
        for index, flow in enumerate(flows):
            if not flow.closed and not number % 5:
                flow.send_request(f"request-{index}-{number}")
    deployment.loop.run_for(0.5)


def after_it(deployment, record, route, victim):
    """Remove the entry, let the target write its own again, and open new flows."""
    deployment.store.put(OTHER_KEY, None)
    deployment.register(victim)
    deployment.loop.run_for(2.0)
    callers = deployment.callers["tifton"]
    flows = [callers.open(route, timeout_s=2.0) for _ in range(FLOWS)]
    for number, flow in enumerate(flows):
        flow.send_request(f"later-{number}")
    deployment.loop.run_for(1.0)
    count = sum(flow.target == victim for flow in flows)
    record.line(f"of {FLOWS} new flows after that entry is gone, {victim} got {count}")


if __name__ == "__main__":
    cases.run(Path(__file__).resolve().parent, body, balancers=3, targets=3)
