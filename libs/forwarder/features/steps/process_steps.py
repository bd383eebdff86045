"""Steps for real balancers in front of stand-ins."""

import itertools
import json
import os
import runpy
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from fixtures import SETTINGS

from lagoontally_standins.packets import (
    ANSWERING,
    BUSY,
    PASS,
    PEER_PORT,
    PROGRAM,
    Deployment,
    Outcome,
    free_network,
)

BUILD = Path(__file__).parents[4] / "deploy/build.py"
# The soak has the networks above, since both suites run at the same time.
NETWORKS = (30 + (os.getpid() * 13 + n) % 100 for n in itertools.count())
ANSWER_S = 4.0
LOCAL, OTHER = "tifton", "camilla"


@given("a running deployment")
def step_deployment(context):
    """Two data centres with two balancers and two targets of each service."""
    start(context)


@given("a running deployment with {count:d} foreign entries")
def step_crowded(context, count):
    """The store holds more than one page."""
    start(context, foreign=count)


def start(context, foreign=0):
    """Start a deployment that ends with the scenario."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = folder.name
    network = free_network(NETWORKS)
    context.deployment = Deployment(
        Path(folder.name), network, data_centres=(LOCAL, OTHER), balancers=2, targets=2
    )
    context.add_cleanup(context.deployment.stop)
    for number in range(foreign):
        context.deployment.store.put(f"servers/i-{number:04x}ffff", {"service": 5})
    assert context.deployment.start(), "the balancers didn't get into rotation"
    context.flows = []
    context.numbers = itertools.count()


def ask_all(context, flows):
    """Let flows ask and wait until all requests have ended."""
    for flow in flows:
        flow.ask(f"q{next(context.numbers)}")
    context.deployment.loop.run_until(
        lambda: all(flow.outcome is not Outcome.PENDING for flow in flows), ANSWER_S
    )


def open_flows(context, count):
    """Open flows to the routes in turn."""
    callers = context.deployment.callers[LOCAL]
    routes = itertools.cycle(context.deployment.routes)
    return [callers.open(next(routes)) for _ in range(count)]


@when("{count:d} flows ask for an answer")
def step_ask(context, count):
    """New flows with a request each."""
    context.flows = open_flows(context, count)
    ask_all(context, context.flows)


@when("{count:d} flows are opened one after the other and ask for an answer")
def step_ask_in_turn(context, count):
    """A caller that leaves SYNs unanswered for 5 ms is sent elsewhere by design."""
    routes = itertools.cycle(context.deployment.routes)
    context.flows = []
    for _ in range(count):
        flow = context.deployment.callers[LOCAL].open(next(routes))
        assert context.deployment.loop.run_until(
            lambda flow=flow: flow.opened, ANSWER_S
        )
        context.flows.append(flow)
    ask_all(context, context.flows)


@when("all flows ask again")
def step_ask_again(context):
    """The open flows send one more request."""
    ask_all(context, context.flows)


@then("every request is answered")
def step_answered(context):
    """No request has another outcome."""
    outcomes = {flow.outcome for flow in context.flows}
    assert outcomes == {Outcome.ANSWERED}, outcomes


@then("every flow gets an answer to its next request")
def step_next_answered(context):
    """The open flows go on."""
    ask_all(context, context.flows)
    step_answered(context)


@then("every target that answered is in the callers' data centre")
def step_local(context):
    """Local targets come first."""
    places = {context.deployment.targets[flow.target][0] for flow in context.flows}
    assert places == {0}, places


@then("no flow was reset")
def step_no_reset(context):
    """Planned work breaks nothing."""
    assert not any(flow.resets for flow in context.flows)


def first_balancer(context):
    """Return one of the callers' balancers."""
    return context.deployment.balancers[f"{LOCAL}-1"]


@when("a balancer is killed")
def step_kill(context):
    """SIGKILL, and routers that notice it."""
    first_balancer(context).kill()
    router = context.deployment.routers[LOCAL]
    assert context.deployment.loop.run_until(lambda: len(router.in_rotation()) == 1, 5)


@when("a balancer is told to stop")
def step_stop(context):
    """SIGTERM."""
    first_balancer(context).signal(signal.SIGTERM)


@then("the balancer ends by itself with status 0")
def step_ends(context):
    """It doesn't wait to be killed."""
    balancer = first_balancer(context)
    assert context.deployment.loop.run_until(lambda: not balancer.alive(), 6)
    assert balancer.process.returncode == 0, balancer.process.returncode


@when("a target ends while its entry stays")
def step_target_ends(context):
    """It crashes; the store doesn't know yet."""
    identity = context.flows[0].target
    context.ended = context.deployment.targets[identity][1]
    context.ended.close()


@then("new flows are answered within 1 s")
def step_new_answered(context):
    """They go to other targets."""
    flows = open_flows(context, 10)
    ask_all(context, flows)
    assert {flow.outcome for flow in flows} == {Outcome.ANSWERED}


@then("every flow of the ended target is reset")
def step_ended_reset(context):
    """Their callers may go elsewhere."""
    broken = [flow for flow in context.flows if flow.target == context.ended.identity]
    assert broken
    assert context.deployment.loop.run_until(
        lambda: all(one.resets for one in broken), 3
    )


@when("a target says that it leaves")
def step_leaves(context):
    """Its entry says so."""
    context.leaving = context.flows[0].target
    context.deployment.register(context.leaving, "draining")


def eventually(context, condition, timeout_s):
    """Open flows until a condition on the target that answered holds."""
    loop = context.deployment.loop
    end = loop.now + timeout_s
    while loop.now < end:
        flows = open_flows(context, 8)
        ask_all(context, flows)
        if condition({flow.target for flow in flows}):
            return True
        loop.run_for(0.1)
    return False


@then("new flows avoid it within {timeout_s:d} s")
def step_avoid(context, timeout_s):
    """It gets no new flows."""
    assert eventually(context, lambda found: context.leaving not in found, timeout_s)


@then("new flows reach the added target within {timeout_s:d} s")
def step_reach(context, timeout_s):
    """It gets new flows."""
    assert eventually(context, lambda found: context.added in found, timeout_s)


def add_target(context):
    """Add a target in the callers' data centre."""
    context.added = context.deployment.add_target(0, "pivot-link", 10).identity


@when("a route is added")
def step_route(context):
    """A new configuration."""
    context.route = (next(iter(context.deployment.routes))[0], 9_443)
    context.deployment.routes[context.route] = "usage-ledger"
    context.deployment.publish()


@then("flows to it are answered through every balancer within {timeout_s:d} s")
def step_route_served(context, timeout_s):
    """Whichever balancer gets the packets."""
    loop = context.deployment.loop
    loop.run_for(timeout_s)
    for data_centre in (LOCAL, OTHER):
        callers = context.deployment.callers[data_centre]
        flows = [callers.open(context.route) for _ in range(12)]
        ask_all(context, flows)
        assert {flow.outcome for flow in flows} == {Outcome.ANSWERED}


@when("every balancer finds the store {away}")
def step_away(context, away):
    """Calls fail, each in its way."""
    if away == "busy":
        context.deployment.store.mode = BUSY
        return
    for proxy in context.deployment.proxies.values():
        proxy.set_mode(away)


@when("a balancer is killed and started again")
def step_restart(context):
    """It starts without knowing anything."""
    step_kill(context)
    first_balancer(context).start()


@when("a balancer is started again from the built program")
def step_built(context):
    """As on an instance, but for the folder."""
    app = Path(context.folder) / "app"
    runpy.run_path(str(BUILD))["compile_program"](app)
    entry = str(app / "balancer.pyc")
    first_balancer(context).command = [sys.executable, "-I", "-S", entry]
    step_restart(context)


@then("it is back in rotation within {timeout_s:d} s")
def step_back(context, timeout_s):
    """It has what it needs."""
    router = context.deployment.routers[LOCAL]
    back = context.deployment.loop.run_until(
        lambda: len(router.in_rotation()) == 2, timeout_s
    )
    assert back, first_balancer(context).log()[-5:]


@when("the store answers again and a target is added")
def step_return(context):
    """The outage is over."""
    context.deployment.store.mode = ANSWERING
    for proxy in context.deployment.proxies.values():
        proxy.set_mode(PASS)
    add_target(context)


@when("the store forgets its history while a target is added")
def step_forget(context):
    """Watches from the past are refused."""
    add_target(context)
    context.deployment.store.forget_history()


@when("foreign writers and strangers send garbage everywhere")
def step_garbage(context):
    """Into the store, and at each port of each balancer."""
    store = context.deployment.store
    store.put("servers/i-00ff", b"\xff\xfe{")
    store.put("servers/", {"service": "pivot-link"})
    store.put("other/key", b"[]")
    stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(stranger.close)
    for router in context.deployment.routers.values():
        for packet_address, ready_address in router.balancers.values():
            for data in (b"", b"x", bytes(32), b"\xff" * 1_500, b'["Beacon",1]'):
                stranger.sendto(data, packet_address)
                stranger.sendto(data, (packet_address[0], PEER_PORT))
            for data in (b"\r\n\r\n", b"x" * 5_000, b"GET\r\n\r\n"):
                with socket.create_connection(ready_address) as sock:
                    sock.sendall(data)


@then("every balancer still runs")
def step_running(context):
    """No process has ended."""
    ended = [
        name for name, one in context.deployment.balancers.items() if not one.alive()
    ]
    assert not ended, ended


@then("the metrics count what was refused")
def step_metrics(context):
    """They are served at the peer address."""
    host = first_balancer(context).settings["host"]
    with socket.create_connection((host, PEER_PORT), timeout=3) as sock:
        sock.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        text = sock.recv(65_536).decode()
    assert 'lagoontally_dropped{kind="truncated"}' in text, text
    assert 'lagoontally_peer_messages_bad{kind="unreadable"}' in text, text
    assert "lagoontally_start_ms_count 1" in text, text


@when("a balancer is started with wrong settings")
def step_wrong_settings(context):
    """Several faults at once."""
    wrong = dict(SETTINGS, packet_address="nowhere", seeds=["x"], grace_s=0)
    del wrong["instance"]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(wrong))
        environment = {
            "PYTHONPATH": os.pathsep.join(sys.path),
            "LAGOONTALLY_SETTINGS": str(path),
        }
        context.done = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            env=environment,
            capture_output=True,
            text=True,
        )


@then("it ends with status {status:d} and names every fault in one line")
def step_faults(context, status):
    """Nothing has to be tried twice."""
    assert context.done.returncode == status, context.done
    (line,) = context.done.stdout.splitlines()
    for name in ("instance", "packet_address", "seeds[0]", "grace_s"):
        assert name in line, line


@when("the settings of a balancer change {how}")
def step_change_settings(context, how):
    """The platform renders the file again."""
    balancer = first_balancer(context)
    balancer.settings["grace_s"] = "long" if "wrong" in how else 9
    balancer.write_settings()
    if "with a signal" in how:
        balancer.signal(signal.SIGHUP)


@then("its log says that they were {outcome}")
def step_reload_logged(context, outcome):
    """One line for each reload."""
    balancer = first_balancer(context)

    def logged():
        lines = [line for line in balancer.log() if line["event"] == "reload"]
        return any(line["outcome"] == outcome for line in lines)

    assert context.deployment.loop.run_until(logged, 8), balancer.log()[-3:]


@when("a balancer is paused for {duration_s:d} s")
def step_pause(context, duration_s):
    """SIGSTOP and SIGCONT."""
    balancer = first_balancer(context)
    balancer.pause()
    context.deployment.loop.run_for(duration_s)
    balancer.resume()
    assert context.deployment.loop.run_until(context.deployment.all_ready, 5)


@then("its log says that it stood still")
def step_stood_still(context):
    """The pause is explained."""
    lines = [
        line for line in first_balancer(context).log() if line["event"] == "resumed"
    ]
    assert lines
