"""Steps for changes that the watches of a data centre lack."""

import socket

from behave import then, when
from deployments import LOCAL, OTHER, open_flows, request_all

from lagoontally_standins.packets import PEER_PORT, Outcome

FLOWS = 12
SETTLED_S = 3.0  # the data centre has a reader, which has read all
FRESH_MS = 1_400  # in which a reader that reaches the store knows each change


@when("the store hides configurations from the watches of a data centre")
def step_hide(context):
    """Reads return them, and the other data centre's watches do."""
    deployment = context.deployment
    deployment.loop.run_for(SETTLED_S)
    for name, proxy in deployment.proxies.items():
        if deployment.balancers[name].settings["data_centre"] == LOCAL:
            deployment.store.withheld[proxy.host] = "op/config"


@when("every balancer is told once that version {version:d} is in force")
def step_forge(context, version):
    """Anyone may send a datagram."""
    context.version = version
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for balancer in context.deployment.balancers.values():
            address = (balancer.settings["host"], PEER_PORT)
            sock.sendto(f'["InForce", {version}]'.encode(), address)


@then(
    "within {timeout_s:d} s each reports at most once that its configuration was behind"
)
def step_each_reports(context, timeout_s):
    """Readers do so, and followers that were told, too."""
    deployment = context.deployment
    deployment.loop.run_for(timeout_s)
    lines = reports(context)
    assert {line["heard"] for line in lines} == {context.version}, lines
    instances = [line["instance"] for line in lines]
    assert len(instances) == len(set(instances)), lines
    readers = {line["instance"] for line in lines if line["reader"]}
    centres = {deployment.balancers[name].settings["data_centre"] for name in readers}
    assert centres == {LOCAL, OTHER}, lines


@then("the old service answers through every balancer")
def step_old_service(context):
    """The configuration in force is what it was."""
    flows = open_flows(context, FLOWS)
    request_all(context, flows)
    assert {flow.outcome for flow in flows} == {Outcome.ANSWERED}


def reports(context):
    """Return the reports of all balancers that they were behind."""
    return [
        line
        for balancer in context.deployment.balancers.values()
        for line in balancer.read_log()
        if line["event"] == "configuration_behind"
    ]


@then("one balancer reports that its configuration was behind")
def step_reported(context):
    """The data centre's reader."""
    deployment = context.deployment
    (line,) = reports(context)
    balancer = deployment.balancers[line["instance"]]
    assert balancer.settings["data_centre"] == LOCAL, line
    assert line["heard"] == deployment.version, line
    assert line["own"] < line["heard"], line
    assert line["since_ms"] >= FRESH_MS, line
    assert line["reader"] is True, line
    hosts = {one.settings["host"] for one in deployment.balancers.values()}
    assert line["host"] in hosts, line
    assert len(line["position"]) == 3, line


@then("no balancer reports that its configuration was behind")
def step_unreported(context):
    """Changes spread in time."""
    assert not reports(context), reports(context)
