"""Fixtures: a balancer's core on a virtual clock, and records of peers."""

import json
from random import Random

from lagoontally_core import (
    AnswerCaller,
    CallerRequest,
    Flow,
    IdentityReply,
    MemberRecord,
    PeerMessage,
    Ping,
    ReplyStatus,
    Request,
    RequestKind,
    SelfInfo,
    SendPeer,
    SendUpstream,
    State,
    TemplateRead,
    Tick,
    UpstreamReply,
    step,
)
from lagoontally_model import Timing, parse_template

WORKSPACE = "dossier-hub-balancing"
SERVICE = "dossier-desk"
OTHER_SERVICE = "pack-vault"
TARGETS = {SERVICE: "127.20.2.1:7001", OTHER_SERVICE: "127.20.3.1:7001"}
CALLER = "127.30.0.1:40000"
REBOUND = "127.30.0.1:40001"
OWN = 1_000_001
PEER = 3_000_003
OTHER_PEER = 4_000_004
TICK_MS = 100
JOIN_MS = 5_100


def document(version, *, targets=1, leaving=0):
    """Return a document with some targets for each of two services.

    Args:
        version: The template's version.
        targets: Number of targets of each service.
        leaving: How many of them are leaving, the first ones.
    """
    services = {
        service: {
            "entry_port": 5711 + number,
            "placement": "flow",
            "imbalance_weight": 0.5,
            "targets": [
                {
                    "name": f"{service}-{index + 1}",
                    "address": nth_address(address, index),
                    "data_centre": "kgn-a",
                    "state": "leaving" if index < leaving else "active",
                    "slots": 2,
                    "connections": 100,
                }
                for index in range(targets)
            ],
        }
        for number, (service, address) in enumerate(TARGETS.items())
    }
    return json.dumps(
        {
            "format": 1,
            "version": version,
            "published_at": "2026-12-03T21:00:00Z",
            "quarantine_s": 600,
            "workspaces": {WORKSPACE: {"tenant": "dossiers", "services": services}},
            "retired": [],
        }
    ).encode()


def nth_address(first, index):
    """Return the address of a service's target by that of the first one."""
    ip, _, port = first.rpartition(":")
    return f"{ip}:{int(port) + index}"


def record(incarnation, *, status=0, pause_count=0, version=1, revision=0):
    """Return a peer's member record."""
    name = f"kgn-{incarnation}"
    return MemberRecord(
        incarnation,
        name,
        "kgn-a",
        f"{name}:7946",
        status,
        revision,
        pause_count,
        version,
    )


class Core:
    """A core, its clock and its latest actions.

    Attributes:
        state: Its state.
        now_ms: Its clock.
        actions: The actions of the latest call.
    """

    def __init__(self, incarnation=OWN):
        info = SelfInfo(
            incarnation,
            f"kgn-{incarnation}",
            WORKSPACE,
            "kgn-a",
            f"kgn-{incarnation}:7946",
            incarnation.to_bytes(32, "big"),
            0,
        )
        self.state = State(info, Timing())
        self.random = Random(incarnation)
        self.now_ms = 1_000
        self.actions = []
        self.handle_event(Tick())

    def handle_event(self, event):
        """Handle an event; keep and return the actions."""
        self.actions = step(self.state, event, self.now_ms, self.random)
        return self.actions

    def read_template(self, version, **content):
        """Read a template from the platform; see ``document``."""
        data = document(version, **content)
        return self.handle_event(TemplateRead(parse_template(data), data))

    def serve(self):
        """Start serving as the only balancer, with confirmed targets."""
        self.read_template(1)
        for service, address in TARGETS.items():
            self.handle_event(IdentityReply(address, WORKSPACE, service))
        self.wait(JOIN_MS)
        return self

    def wait(self, duration_ms):
        """Advance the clock by ticks; keep the actions of all of them."""
        until_ms = self.now_ms + duration_ms
        found = []
        while self.now_ms < until_ms:
            self.now_ms += TICK_MS
            found += self.handle_event(Tick())
        self.actions = found

    def receive_ping(self, peer, *, updates=()):
        """Receive a ping of a peer."""
        ping = Ping(0, peer, list(updates), [])
        return self.receive_message(peer, ping)

    def receive_message(self, peer, message):
        """Receive a message of a peer."""
        return self.handle_event(PeerMessage(peer.incarnation, message))

    def command(self, echo, *, caller=CALLER, service=SERVICE):
        """Receive a command of a caller."""
        return self.handle_event(CallerRequest(Flow(service, caller), command(echo)))

    def open_line(self):
        """Receive a caller's registration; return what is sent to a target."""
        echo = self.echo()
        request = command(echo)._replace(kind=RequestKind.LINE_OPEN, token=b"\x02")
        self.handle_event(CallerRequest(Flow(SERVICE, CALLER), request))
        (sent,) = self.sent_upstream()
        return sent

    def confirm_targets(self, count):
        """Let each service's first targets tell who they are."""
        for service, address in TARGETS.items():
            for index in range(count):
                own = nth_address(address, index)
                self.handle_event(IdentityReply(own, WORKSPACE, service))

    def shed(self, sent, retry_after_s=1):
        """Receive a target's refusal of a registration."""
        status, target = ReplyStatus.SHED, sent.target
        self.handle_event(
            UpstreamReply(
                target, sent.path, sent.token, status, False, retry_after_s, b""
            )
        )

    def notify(self, sent, body=b"state"):
        """Receive a target's answer to a registration, or a notification."""
        answered = ReplyStatus.ANSWERED
        self.handle_event(
            UpstreamReply(sent.target, sent.path, sent.token, answered, True, 0, body)
        )

    def echo(self, *, service=SERVICE):
        """Return an Echo issued by this core."""
        self.command(b"", service=service)
        return self.answers()[-1].echo

    def actions_of_type(self, kind):
        """Return the latest actions of one type."""
        return [item for item in self.actions if isinstance(item, kind)]

    def answers(self):
        """Return the answers to callers among the latest actions."""
        return self.actions_of_type(AnswerCaller)

    def sent_upstream(self):
        """Return what was sent to targets among the latest actions."""
        return self.actions_of_type(SendUpstream)

    def sent_to(self, peer):
        """Return the messages to a peer among the latest actions."""
        return [
            item.message
            for item in self.actions_of_type(SendPeer)
            if item.peer_address == peer.peer_address
        ]


def command(echo):
    """Return a command's datagram, which contains its Echo."""
    return Request(
        RequestKind.COMMAND, b"\x01", 7, True, echo, 5_000, b"sign off" + echo
    )
