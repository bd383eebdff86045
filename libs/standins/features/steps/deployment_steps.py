"""Steps for a deployment's processes."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import requests
from aiocoap import NON, POST, Message
from behave import fixture, given, then, use_fixture, when

from lagoontally_standins import IRRIGATION, Deployment, Options

WAIT_S = 30.0
SMALL_TARGETS = 2


@fixture
def small_deployment(context):
    """Start a tenant with one small service."""
    service = IRRIGATION.services[0]._replace(targets=SMALL_TARGETS)
    tenant = IRRIGATION._replace(services=(service,))
    with tempfile.TemporaryDirectory() as scratch:
        options = Options(balancers=False, directory=Path(scratch), tenants=(tenant,))
        with Deployment(options) as context.deployment:
            yield


def is_alive(pid):
    """Return whether there is a process with an id."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def read_template(context):
    """Read the template as a balancer does."""
    url = context.deployment.platform_url + "/v1/template"
    return requests.get(url, timeout=WAIT_S).json()


@given("a deployment of one small tenant without balancers")
def step_deploy(context):
    """A deployment serves."""
    use_fixture(small_deployment, context)


@fixture
def up_ignoring(context):
    """Run ``up`` as a shell does in the background."""
    command = [sys.executable, "-m", "lagoontally_standins", "up", "--no-balancers"]
    with (
        tempfile.TemporaryDirectory() as scratch,
        subprocess.Popen(
            command,
            cwd=scratch,
            stdout=subprocess.PIPE,
            preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_IGN),
        ) as context.up,
    ):
        yield


@given("stand-ins that were started with interrupts ignored")
def step_up_ignoring(context):
    """The interrupt is ignored until the process asks for it."""
    use_fixture(up_ignoring, context)


@when("they are interrupted once they serve")
def step_interrupt(context):
    """The report says that they serve."""
    report = json.loads(context.up.stdout.readline())
    context.pids = [record["pid"] for record in report["processes"]]
    context.up.send_signal(signal.SIGINT)


@then("they end with status 0 and leave no process")
def step_up_ended(context):
    """The parent ends its children first."""
    assert context.up.wait(WAIT_S) == 0
    assert context.pids
    assert not [pid for pid in context.pids if is_alive(pid)]


@when('the target "{target}" of "{service}" is drained')
def step_drain(context, target, service):
    """A version is published in which a target is leaving."""
    context.drained = target
    context.deployment.drain_upstream(service, target)


@when('"{name}" is set to work for {work_ms:d} ms')
def step_work(context, name, work_ms):
    """An upstream is changed over its control."""
    context.deployment.set_upstream(name, {"work_ms": work_ms})


@when("every process is frozen and the deployment is stopped")
def step_stop(context):
    """Every process is ended, also when it is frozen."""
    records = context.deployment.report()["processes"]
    context.pids = [record["pid"] for record in records]
    for record in records:
        context.deployment.freeze(record["name"])
    context.killed = context.deployment.stop()


@then("its report names every process and its entry address")
def step_report(context):
    """The report holds what a person needs to use the deployment."""
    report = json.loads(json.dumps(context.deployment.report()))
    roles = sorted(record["role"] for record in report["processes"])
    assert roles == ["fabric", "platform", "upstream", "upstream"], roles
    assert list(report["entry"]) == ["pivot-command-relay/pivot-link"]
    assert report["ready"] is True


@then("the platform serves the template that was published")
def step_template(context):
    """The template was published when the deployment started."""
    assert read_template(context) == context.deployment.document


@then("the platform serves version {version:d} with that target leaving")
def step_leaving(context, version):
    """Only the drained target is leaving."""
    document = read_template(context)
    workspace = document["workspaces"][IRRIGATION.workspace]
    targets = workspace["services"]["pivot-link"]["targets"]
    leaving = [entry["name"] for entry in targets if entry["state"] == "leaving"]
    assert document["version"] == version
    assert leaving == [context.drained]


@then('"{name}" answers the command "{command}" and has it in its ledger')
def step_command(context, name, command):
    """A command that is answered stands in the ledger file by then."""
    request = Message(code=POST, payload=json.dumps({"id": command}).encode())
    request.mtype, request.mid, request.token = NON, 1, b"t"
    request.opt.uri_path = ("pivot", "1", "command")
    host, _, port = context.deployment.records[name].address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(WAIT_S)
        sock.sendto(request.encode(), (host, int(port)))
        answer = Message.decode(sock.recv(2000))
    assert json.loads(answer.payload)["id"] == command
    ledger = context.deployment.ledgers / f"{name}.jsonl"
    assert json.loads(ledger.read_text())["id"] == command


@then("each process has ended by itself")
def step_none_left(context):
    """No process had to be killed and none is left."""
    assert not context.killed, context.killed
    assert len(context.pids) == 4
    left = [pid for pid in context.pids if is_alive(pid)]
    assert not left, left
