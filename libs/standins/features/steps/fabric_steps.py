"""Steps for the fabric: its seeded decisions and its sockets."""

import json
import socket
import threading
from collections import Counter
from random import Random

import requests
from behave import fixture, given, then, use_fixture, when

from lagoontally_standins import (
    Entry,
    Fabric,
    FabricRules,
    FabricSettings,
    changed_rules,
    serve_fabric_control,
    to_balancers,
    to_caller,
)

WAIT_S = 30.0
FABRIC_IP = "127.0.0.1"
BALANCER_IPS = ["127.0.0.2", "127.0.0.3"]
END = b"end"


def udp(ip, port=0):
    """Return a UDP socket that gives up after a while."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((ip, port))
    sock.settimeout(WAIT_S)
    return sock


def echo_back(sock, seen):
    """Send each datagram back to where it came from, until told to end."""
    while True:
        data, source = sock.recvfrom(100)
        if data == END:
            return
        seen.append((sock.getsockname()[0], source))
        sock.sendto(data, source)


@fixture
def running_fabric(context):
    """Run a fabric in front of balancers that echo."""
    balancers = {"relay": BALANCER_IPS}
    entries = (Entry("relay", "link", 0),)
    context.fabric = Fabric(
        FabricSettings(FABRIC_IP, f"{FABRIC_IP}:0", 1, entries, balancers)
    )
    context.control = serve_fabric_control(context.fabric)
    port = context.fabric.entry_ports["relay", "link"]
    context.entry = (FABRIC_IP, port)
    context.seen = []
    context.callers = []
    socks = [udp(ip, port) for ip in BALANCER_IPS]
    threads = [
        threading.Thread(target=echo_back, args=(s, context.seen)) for s in socks
    ]
    threads.append(threading.Thread(target=context.fabric.run))
    for thread in threads:
        thread.start()
    yield
    context.fabric.inbox.submit(None).result(WAIT_S)
    for sock in socks:
        sock.sendto(END, sock.getsockname())
    for thread in threads:
        thread.join(WAIT_S)
    for sock in socks + context.callers:
        sock.close()
    context.control.stop()


@given('a fabric\'s rules with {number:d} balancers of "{workspace}" and {change}')
def step_rules(context, number, workspace, change):
    """The rules know the balancers of one workspace."""
    ips = [f"10.0.0.{index + 1}" for index in range(number)]
    rules = changed_rules(FabricRules(), {"balancers": {workspace: ips}})
    context.rules = changed_rules(rules, json.loads(change))


@given("a running fabric with 2 balancers that echo")
def step_running(context):
    """A fabric runs."""
    use_fixture(running_fabric, context)


@when('{number:d} datagrams for "{workspace}" are decided twice with seed {seed:d}')
def step_decide(context, number, workspace, seed):
    """The same datagrams are decided in two runs, both ways."""
    context.runs = []
    for _ in range(2):
        random = Random(seed)
        there = [to_balancers(context.rules, workspace, random) for _ in range(number)]
        back = to_caller(context.rules._replace(loss=0.0), "10.0.0.1", random)
        context.runs.append((there, back if context.rules.blocked else ()))


@when("{callers:d} callers send {number:d} datagrams each")
def step_send(context, callers, number):
    """Each caller waits for each datagram to come back."""
    context.callers = [udp(FABRIC_IP) for _ in range(callers)]
    context.received = {sock: [] for sock in context.callers}
    context.number = number
    for index in range(number):
        for sock in context.callers:
            data = f"{sock.getsockname()[1]} {index}".encode()
            sock.sendto(data, context.entry)
            context.received[sock].append((data, *sock.recvfrom(100)))


@when("the control leaves only the second balancer")
def step_control(context):
    """The list of balancers is replaced over HTTP."""
    url = context.control.url + "/control"
    change = {"balancers": {"relay": BALANCER_IPS[1:]}}
    requests.put(url, json=change, timeout=WAIT_S).raise_for_status()


@when("the control mutes the first caller")
def step_mute(context):
    """One caller's address is named over HTTP."""
    ip, port = context.callers[0].getsockname()
    url = context.control.url + "/control"
    change = {"muted": [f"{ip}:{port}"]}
    requests.put(url, json=change, timeout=WAIT_S).raise_for_status()


@when("the second caller's datagram comes back after one of the first")
def step_after_muted(context):
    """The fabric has handled the first caller's datagram by then."""
    first, second = context.callers
    first.sendto(b"first", context.entry)
    second.sendto(b"second", context.entry)
    assert second.recvfrom(100)[0] == b"second"


@then("the fabric has counted {number:d} muted datagrams")
def step_muted(context, number):
    """Nothing of the first caller went on."""
    url = context.control.url + "/control"
    counts = requests.get(url, timeout=WAIT_S).json()["counts"]
    assert counts["muted"] == number, counts


@then("both runs chose alike")
def step_alike(context):
    """The choices follow from the seed."""
    first, second = context.runs
    assert first == second


@then("each balancer was chosen at least {number:d} times")
def step_spread(context, number):
    """No balancer is left out."""
    chosen = Counter(one.balancer for there in context.runs[0][0] for one in there)
    assert len(chosen) == 3, chosen
    assert min(chosen.values()) >= number, chosen


@then("nothing was delivered")
def step_nothing(context):
    """No copy goes either way."""
    there, back = context.runs[0]
    assert not any(there)
    assert not back


@then("between {least:d} and {most:d} copies were delivered")
def step_copies(context, least, most):
    """The share of lost or doubled datagrams is about right."""
    copies = sum(len(there) for there in context.runs[0][0])
    assert least <= copies <= most, copies


@then("between {least:d} and {most:d} copies were held back")
def step_held(context, least, most):
    """The share of delayed datagrams is about right."""
    copies = [one for there in context.runs[0][0] for one in there]
    held = sum(one.delay_ms > 0 for one in copies)
    assert least <= held <= most, held


@then('the rule "{name}" is refused')
def step_refused(context, name):
    """A misspelt rule changes nothing."""
    try:
        changed_rules(context.rules, {name: 0.5})
    except ValueError as error:
        assert name in str(error)
    else:
        raise AssertionError("the rule was taken")


@then("each caller gets its own datagrams from the entry address")
def step_own(context):
    """No answer reaches another caller, and each has the entry's address."""
    for received in context.received.values():
        assert len(received) == context.number
        for sent, data, source in received:
            assert (data, source) == (sent, context.entry)


@then('the balancers "{ips}" took part')
def step_took_part(context, ips):
    """Exactly these balancers got datagrams."""
    assert {ip for ip, _ in context.seen} == set(ips.split())


@then("the balancers saw {number:d} callers")
def step_distinct(context, number):
    """Each caller has an address of its own behind the fabric."""
    assert len({source for _, source in context.seen}) == number
