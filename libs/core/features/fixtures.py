"""A balancer's core on a virtual clock, and peers that only send messages."""

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
TICK_MS = 100
JOIN_MS = 5_100


def document(version):
    """Return a document with one target for each of two services."""
    services = {
        service: {
            "entry_port": 5711 + number,
            "placement": "flow",
            "imbalance_weight": 0.5,
            "targets": [
                {
                    "name": f"{service}-1",
                    "address": address,
                    "data_centre": "kgn-a",
                    "state": "active",
                    "slots": 2,
                    "connections": 100,
                }
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


def record(incarnation, *, status=0, pause_count=0, version=1, revision=0):
    """Return what a peer says of itself."""
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
    """A core, its clock and what it decided last.

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
        self.take(Tick())

    def take(self, event):
        """Take an event; keep and return the actions."""
        self.actions = step(self.state, event, self.now_ms, self.random)
        return self.actions

    def read(self, version):
        """Read a template from the platform."""
        data = document(version)
        return self.take(TemplateRead(parse_template(data), data))

    def serve(self):
        """Come to serve alone, with confirmed targets."""
        self.read(1)
        for service, address in TARGETS.items():
            self.take(IdentityReply(address, WORKSPACE, service))
        self.wait(JOIN_MS)
        return self

    def wait(self, duration_ms):
        """Let time pass in ticks; keep the actions of all of them."""
        until_ms = self.now_ms + duration_ms
        found = []
        while self.now_ms < until_ms:
            self.now_ms += TICK_MS
            found += self.take(Tick())
        self.actions = found

    def hear(self, peer, *, updates=()):
        """Take a ping of a peer."""
        ping = Ping(0, peer, list(updates), [])
        return self.tell(peer, ping)

    def tell(self, peer, message):
        """Take a message of a peer."""
        return self.take(PeerMessage(peer.incarnation, message))

    def command(self, echo, *, caller=CALLER, service=SERVICE):
        """Take a command of a caller."""
        return self.take(CallerRequest(Flow(service, caller), command(echo)))

    def open_line(self):
        """Take a caller's registration; return what is sent to a target."""
        echo = self.echo()
        request = command(echo)._replace(kind=RequestKind.LINE_OPEN, token=b"\x02")
        self.take(CallerRequest(Flow(SERVICE, CALLER), request))
        (sent,) = self.sent_upstream()
        return sent

    def notify(self, sent, body=b"state"):
        """Take a target's answer to a registration, or a notification."""
        answered = ReplyStatus.ANSWERED
        self.take(
            UpstreamReply(sent.target, sent.path, sent.token, answered, True, 0, body)
        )

    def echo(self, *, service=SERVICE):
        """Return an Echo that this core issues."""
        self.command(b"", service=service)
        return self.answers()[-1].echo

    def of(self, kind):
        """Return the latest actions of one type."""
        return [item for item in self.actions if isinstance(item, kind)]

    def answers(self):
        """Return the answers to callers among the latest actions."""
        return self.of(AnswerCaller)

    def sent_upstream(self):
        """Return what was sent to targets among the latest actions."""
        return self.of(SendUpstream)

    def sent_to(self, peer):
        """Return the messages to a peer among the latest actions."""
        return [
            item.message
            for item in self.of(SendPeer)
            if item.peer_address == peer.peer_address
        ]


def command(echo):
    """Return a command's datagram, which holds its Echo."""
    return Request(
        RequestKind.COMMAND, b"\x01", 7, True, echo, 5_000, b"sign off" + echo
    )
