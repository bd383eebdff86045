"""Shared fixtures: recorded events, tasks, UDP peers and fuzzing."""

import json
import socket
from collections import Counter
from contextlib import ExitStack
from queue import Empty, Queue
from threading import Event, Thread

import hypothesis

TIMEOUT_S = 20
COMMAND = bytes.fromhex("42020007 6162 b170")


class Recorder:
    """Records the events and counts of edges and runs their tasks."""

    def __init__(self):
        self.events = Queue()
        self.post = self.events.put
        self.counters = Counter()
        self.now_ms = 0
        self.cleanup = ExitStack()

    def count(self, action):
        """Add a ``Count``."""
        self.counters[action.name] += action.value

    def clock_ms(self):
        """Return the time of the virtual clock in milliseconds."""
        return self.now_ms

    def wait_for_event(self):
        """Wait for the next event."""
        return self.events.get(timeout=TIMEOUT_S)

    def drain_events(self):
        """Remove and return the events posted so far."""
        found = []
        while True:
            try:
                found.append(self.events.get_nowait())
            except Empty:
                return found

    def close_after_scenario(self, edge):
        """Close an edge after the scenario."""
        self.cleanup.callback(edge.close)
        return edge

    def start(self, run):
        """Run a task until the scenario ends; return its stop event and thread."""
        stop = Event()
        task = Thread(target=run, args=(stop,))
        task.start()
        self.cleanup.callback(task.join)
        self.cleanup.callback(stop.set)
        return stop, task

    def open_udp(self):
        """Open a UDP socket on loopback."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.cleanup.callback(sock.close)
        sock.settimeout(TIMEOUT_S)
        sock.bind(("127.0.0.1", 0))
        return sock

    def close(self):
        """Stop the tasks, then close the edges and sockets."""
        self.cleanup.close()


def address_of(sock):
    """Return the ``IP:port`` of a socket."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def template_document(version):
    """Return an encoded valid template."""
    target = {
        "name": "pivot-link-1",
        "address": "127.20.1.1:7001",
        "data_centre": "tifton",
        "state": "active",
        "slots": 2,
        "connections": 4300,
    }
    service = {
        "entry_port": 5701,
        "placement": "flow",
        "imbalance_weight": 0.3,
        "targets": [target],
    }
    workspace = {"tenant": "irrigation", "services": {"pivot-link": service}}
    document = {
        "format": 1,
        "version": version,
        "published_at": "2026-12-03T21:00:00Z",
        "quarantine_s": 600,
        "workspaces": {"pivot-command-relay": workspace},
        "retired": [],
    }
    return json.dumps(document).encode()


def mutations(samples):
    """Return a strategy of arbitrary bytes and of truncated or overwritten samples."""
    strategies = hypothesis.strategies
    edits = strategies.lists(
        strategies.tuples(strategies.integers(0, 500), strategies.binary(max_size=4)),
        max_size=4,
    )

    lengths = strategies.none() | strategies.integers(0, 400)

    def apply(sample, changes, length):
        data = bytearray(sample)
        for position, replacement in changes:
            data[position : position + len(replacement)] = replacement
        return bytes(data[:length])

    changed = strategies.builds(apply, strategies.sampled_from(samples), edits, lengths)
    return strategies.one_of(strategies.binary(max_size=64), changed)


def fuzz(check, samples):
    """Call ``check`` with many mutations of the samples, the same in each run."""
    examples = hypothesis.settings(
        max_examples=400, derandomize=True, database=None, deadline=None
    )
    examples(hypothesis.given(mutations(samples))(lambda data: check(data)))()


def run_until(loop, done):
    """Run iterations of a loop until a condition holds."""
    for _ in range(200):
        if done():
            return
        loop.run_once(0.1)
    raise AssertionError("the condition never held")
