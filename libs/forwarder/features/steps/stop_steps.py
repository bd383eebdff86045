"""Steps for a planned stop under load."""

import json
import signal
import socket

from behave import given, then, when
from deployments import first_balancer, open_flows, request_all, start

from lagoontally_standins.packets import PEER_PORT

FIRST_PORT = 10_000
STOP_AFTER = 10  # flows
CHUNK_BYTES = 2_048
SMALL_BUFFER_BYTES = 4_096
ROUNDS = 40


@when("{count:d} flows open while a balancer receives SIGTERM")
def step_stop(context, count):
    """Some SYNs wait in its socket; others come until routers notice."""
    first = open_flows(context, STOP_AFTER)
    first_balancer(context).signal(signal.SIGTERM)
    context.flows = first + open_flows(context, count - STOP_AFTER)
    request_all(context, context.flows)


@given("a running deployment with a configuration of {count:d} routes")
def step_large(context, count):
    """A large one."""
    start(context)
    deployment = context.deployment
    address = next(iter(deployment.routes))[0]
    for number in range(count):
        deployment.routes[(address, FIRST_PORT + number)] = "pivot-link"
    deployment.publish()
    version = deployment.published["version"]

    def in_force():
        lines = first_balancer(context).read_log()
        return any(line.get("version") == version for line in lines)

    assert deployment.loop.run_until(in_force, 10)


@when(
    "a peer asks for the configuration, reads for {duration_s:d} s,"
    " and the balancer receives SIGTERM"
)
def step_slow_peer(context, duration_s):
    """The peer's link is slow."""
    balancer = first_balancer(context)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.connect((balancer.settings["host"], PEER_PORT))
    sock.sendall(b"GET /configuration HTTP/1.1\r\nHost: x\r\n\r\n")
    context.received = sock.recv(CHUNK_BYTES)
    balancer.signal(signal.SIGTERM)
    for _ in range(ROUNDS):
        context.deployment.loop.run_for(duration_s / ROUNDS)
        context.received += sock.recv(CHUNK_BYTES)
    sock.settimeout(duration_s)
    while data := sock.recv(1 << 16):
        context.received += data
        if is_complete(context.received):
            break
    sock.close()


def is_complete(received):
    """Return whether a response has arrived to its last byte."""
    head, _, body = received.partition(b"\r\n\r\n")
    return len(body) == int(head.rpartition(b" ")[2])


@then("it gets the whole configuration")
def step_whole(context):
    """A part would be of no use to it."""
    body = context.received.partition(b"\r\n\r\n")[2]
    routes = len(context.deployment.routes)
    assert is_complete(context.received), len(body)
    assert len(json.loads(body)["routes"]) == routes
