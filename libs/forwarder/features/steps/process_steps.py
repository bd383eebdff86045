"""Steps for balancer processes in a simulated deployment."""

import itertools
import json
import os
import runpy
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from behave import given, then, when
from deployments import (
    ANSWER_S,
    LOCAL,
    OTHER,
    add_route,
    add_target,
    assert_answered,
    eventually,
    first_balancer,
    open_flows,
    request_all,
    start,
)
from fixtures import SETTINGS

from lagoontally_standins.packets import (
    ANSWERING,
    BALANCER_PROGRAM,
    BUSY,
    PASS,
    PEER_PORT,
)

BUILD = Path(__file__).parents[4] / "deploy/build.py"
BATCH = 10
FIRST_PAUSE_S = 0.24  # a retransmission is due before the answers are read
PAUSES = 3


@given("a running deployment")
def step_deployment(context):
    """Start two data centres with two balancers and two targets of each service."""
    start(context)


@given("a running deployment with {count:d} invalid entries")
def step_many_entries(context, count):
    """Fill more than one page of the store."""
    start(context, invalid_entries=count)


@when("{count:d} flows send a request")
def step_request(context, count):
    context.flows = open_flows(context, count)
    request_all(context, context.flows)


@when("{count:d} flows are opened one after the other and send a request")
def step_request_in_turn(context, count):
    """Open one flow at a time.

    By design, a caller whose SYNs stay unanswered for 5 ms is sent elsewhere.
    """
    routes = itertools.cycle(context.deployment.routes)
    context.flows = []
    for _ in range(count):
        flow = context.deployment.callers[LOCAL].open(next(routes))
        assert context.deployment.loop.run_until(
            lambda flow=flow: flow.opened, ANSWER_S
        )
        context.flows.append(flow)
    request_all(context, context.flows)


@when("all flows send another request")
def step_request_again(context):
    request_all(context, context.flows)


@then("every request is answered")
def step_answered(context):
    assert_answered(context, context.flows)


@then("every flow gets an answer to its next request")
def step_next_answered(context):
    request_all(context, context.flows)
    step_answered(context)


@then("every target that answered is in the callers' data centre")
def step_local(context):
    places = {context.deployment.targets[flow.target][0] for flow in context.flows}
    assert places == {0}, places


@then("no flow was reset")
def step_no_reset(context):
    assert not any(flow.resets for flow in context.flows)


@when("a balancer is killed")
def step_kill(context):
    """Send SIGKILL and wait until the routers notice."""
    first_balancer(context).kill()
    router = context.deployment.routers[LOCAL]
    noticed = context.deployment.loop.run_until(
        lambda: len(router.in_rotation()) == 1, 5
    )
    assert noticed, router.misses


@when("a balancer receives SIGTERM")
def step_stop(context):
    first_balancer(context).signal(signal.SIGTERM)


@then("the balancer exits with status 0")
def step_exits(context):
    """Exit before the platform would send SIGKILL."""
    balancer = first_balancer(context)
    assert context.deployment.loop.run_until(lambda: not balancer.alive(), 6)
    assert balancer.process.returncode == 0, balancer.process.returncode


@when("a target crashes while its entry stays listed")
def step_target_crashes(context):
    identity = context.flows[0].target
    context.crashed = context.deployment.targets[identity][1]
    context.crashed.close()


@then("new flows are answered within 1 s")
def step_new_answered(context):
    flows = open_flows(context, 10)
    request_all(context, flows)
    assert_answered(context, flows)


@then("every flow of the crashed target is reset")
def step_crashed_reset(context):
    broken = [flow for flow in context.flows if flow.target == context.crashed.identity]
    assert broken
    assert context.deployment.loop.run_until(
        lambda: all(one.resets for one in broken), 3
    )


@when("the entry of a target changes to draining")
def step_draining(context):
    context.leaving = context.flows[0].target
    context.deployment.register(context.leaving, "draining")


@then("new flows avoid it within {timeout_s:d} s")
def step_avoid(context, timeout_s):
    assert eventually(context, lambda found: context.leaving not in found, timeout_s)


@then("new flows reach the added target within {timeout_s:d} s")
def step_reach(context, timeout_s):
    assert eventually(context, lambda found: context.added in found, timeout_s)


@when("a route is added")
def step_route(context):
    """Publish a configuration with an additional route."""
    add_route(context)


@then("flows to it are answered through every balancer within {timeout_s:d} s")
def step_route_served(context, timeout_s):
    loop = context.deployment.loop
    loop.run_for(timeout_s)
    for data_centre in (LOCAL, OTHER):
        callers = context.deployment.callers[data_centre]
        flows = [callers.open(context.route) for _ in range(12)]
        request_all(context, flows)
        assert_answered(context, flows)


@when("the store is {mode} for every balancer")
def step_store_mode(context, mode):
    if mode == "busy":
        context.deployment.store.mode = BUSY
        return
    for proxy in context.deployment.proxies.values():
        proxy.set_mode(mode)


@when("a balancer is killed and restarted")
def step_restart(context):
    step_kill(context)
    first_balancer(context).start()


@when("a balancer is restarted from the built program")
def step_built(context):
    """Run the program as on an instance, except for the folder."""
    app = Path(context.folder) / "app"
    runpy.run_path(str(BUILD))["compile_program"](app)
    entry = str(app / "balancer.pyc")
    first_balancer(context).command = [sys.executable, "-I", "-S", entry]
    step_restart(context)


@then("it is back in rotation within {timeout_s:d} s")
def step_back(context, timeout_s):
    router = context.deployment.routers[LOCAL]
    back = context.deployment.loop.run_until(
        lambda: len(router.in_rotation()) == 2, timeout_s
    )
    assert back, first_balancer(context).read_log()[-5:]


@when("the store recovers and a target is added")
def step_recover(context):
    context.deployment.store.mode = ANSWERING
    for proxy in context.deployment.proxies.values():
        proxy.set_mode(PASS)
    add_target(context)


@when("the store loses its history while a target is added")
def step_lose_history(context):
    """Make the store refuse watches from earlier revisions."""
    add_target(context)
    context.deployment.store.forget_history()


@when(
    "{count:d} flows are opened while callers and targets pause for {pause_ms:d} ms"
    " at a time"
)
def step_pauses(context, count, pause_ms):
    """Block the loop of the stand-ins, so that answers overlap retransmissions."""
    loop = context.deployment.loop
    for _ in range(count // BATCH):
        flows = open_flows(context, BATCH)
        for flow in flows:
            flow.send_request(f"q{next(context.numbers)}")
        loop.run_for(0.0)
        time.sleep(FIRST_PAUSE_S)
        for _ in range(PAUSES):
            loop.run_for(0.002)
            time.sleep(pause_ms / 1_000)
        loop.run_for(1.0)
        for flow in flows:
            flow.close()


@then("no request ran twice")
def step_ran_once(context):
    """Look at the ledger of all targets."""
    runs = Counter(run.request for run in context.deployment.ledger)
    assert runs
    twice = [request for request, count in runs.items() if count > 1]
    assert not twice, (len(twice), len(runs))


@when("invalid data is written to the store and sent to every port")
def step_invalid_data(context):
    store = context.deployment.store
    store.put("servers/i-00ff", b"\xff\xfe{")
    store.put("servers/", {"service": "pivot-link"})
    store.put("other/key", b"[]")
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(sender.close)
    for router in context.deployment.routers.values():
        for packet_address, ready_address in router.balancers.values():
            for data in (b"", b"x", bytes(32), b"\xff" * 1_500, b'["Beacon",1]'):
                sender.sendto(data, packet_address)
                sender.sendto(data, (packet_address[0], PEER_PORT))
            for data in (b"\r\n\r\n", b"x" * 5_000, b"GET\r\n\r\n"):
                with socket.create_connection(ready_address) as sock:
                    sock.sendall(data)


@then("every balancer still runs")
def step_running(context):
    ended = [
        name for name, one in context.deployment.balancers.items() if not one.alive()
    ]
    assert not ended, ended


@then("the metrics count the rejected input")
def step_metrics(context):
    """Read the metrics at the peer address."""
    host = first_balancer(context).settings["host"]
    with socket.create_connection((host, PEER_PORT), timeout=3) as sock:
        sock.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        text = sock.recv(65_536).decode()
    assert 'lagoontally_dropped{kind="truncated"}' in text, text
    assert 'lagoontally_peer_messages_bad{kind="unreadable"}' in text, text
    assert "lagoontally_start_ms_count 1" in text, text


@when("a balancer is started with invalid settings")
def step_invalid_settings(context):
    """Start with several invalid settings at once."""
    invalid = dict(SETTINGS, packet_address="nowhere", seeds=["x"], grace_s=0)
    invalid["admission"] = "sometimes"
    del invalid["instance"]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(invalid))
        environment = {
            "PYTHONPATH": os.pathsep.join(sys.path),
            "LAGOONTALLY_SETTINGS": str(path),
        }
        context.done = subprocess.run(
            [sys.executable, "-c", BALANCER_PROGRAM],
            env=environment,
            capture_output=True,
            text=True,
        )


@then("it exits with status {status:d} and reports every error in one line")
def step_errors(context, status):
    assert context.done.returncode == status, context.done
    (line,) = context.done.stdout.splitlines()
    for name in ("instance", "packet_address", "seeds[0]", "grace_s", "admission"):
        assert name in line, line


@when("the settings of a balancer change {how}")
def step_change_settings(context, how):
    """Write the settings file again, as the platform does."""
    balancer = first_balancer(context)
    balancer.settings["grace_s"] = "long" if "wrong" in how else 9
    balancer.write_settings()
    if "with a signal" in how:
        balancer.signal(signal.SIGHUP)


@then("its log reports that they were {outcome}")
def step_reload_logged(context, outcome):
    balancer = first_balancer(context)

    def logged():
        lines = [line for line in balancer.read_log() if line["event"] == "reload"]
        return any(line["outcome"] == outcome for line in lines)

    assert context.deployment.loop.run_until(logged, 8), balancer.read_log()[-3:]


@when("a balancer is paused for {duration_s:d} s")
def step_pause(context, duration_s):
    """Send SIGSTOP, then SIGCONT."""
    balancer = first_balancer(context)
    balancer.pause()
    context.deployment.loop.run_for(duration_s)
    balancer.resume()
    assert context.deployment.loop.run_until(context.deployment.all_ready, 5)


@then("its log reports the pause")
def step_pause_logged(context):
    lines = [
        line
        for line in first_balancer(context).read_log()
        if line["event"] == "resumed"
    ]
    assert lines
