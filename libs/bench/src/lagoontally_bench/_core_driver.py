"""Drives one real core and the edges' codec without sockets, for measurements."""

import json
from random import Random

import aiocoap

from lagoontally_core import (
    AnswerCaller,
    AskIdentity,
    CallerRequest,
    Flow,
    IdentityReply,
    Instance,
    InstancesRead,
    MemberRecord,
    PeerMessage,
    SelfInfo,
    SendUpstream,
    State,
    TemplateRead,
    Tick,
    UpstreamReply,
    Welcome,
    step,
)
from lagoontally_edges import (
    decode_caller_datagram,
    decode_upstream,
    encode_answer,
    encode_upstream,
)
from lagoontally_model import Timing, parse_template

WORKSPACE = "pivot-command-relay"
SERVICE = "pivot-link"
OWN_ADDRESS = "127.10.1.1:7946"
STARTUP_MS = 6_000
TICK_MS = 100
START_MS = 1_000_000
MESSAGE_ID_MASK = 0xFFFF


def make_document(targets, *, version=1, services=1):
    """Return a template of one workspace with this many targets."""
    per_service = targets // services
    named = {
        f"{SERVICE}-{number}" if number else SERVICE: _service(number, per_service)
        for number in range(services)
    }
    workspace = {"tenant": "irrigation", "services": named}
    document = {
        "format": 1,
        "version": version,
        "published_at": "2026-12-03T21:00:00Z",
        "quarantine_s": 600,
        "workspaces": {WORKSPACE: workspace},
        "retired": [],
    }
    return json.dumps(document).encode()


def _service(number, targets):
    return {
        "entry_port": 5701 + number,
        "placement": "request",
        "imbalance_weight": 0.5,
        "targets": [_target(number, item) for item in range(targets)],
    }


def _target(service, number):
    return {
        "name": f"pivot-link-{service}-{number}",
        "address": f"127.20.{service * 8 + number // 250}.{number % 250 + 1}:7001",
        "data_centre": "tifton",
        "state": "active",
        "slots": 2,
        "connections": 4300,
    }


def member_record(number):
    """Return the record of a live balancer."""
    address = f"127.11.{number // 250}.{number % 250 + 1}:7946"
    return MemberRecord(number + 1, f"tifton-{number}", "tifton", address, 0, 0, 0, 1)


class CoreDriver:
    """Drives one serving core.

    Attributes:
        state: Its state.
        now_ms: Its clock.
        message_id: Latest used message id.
    """

    def __init__(self, *, targets=7, members=0, seed=1):
        self.random = Random(seed)
        self.now_ms = START_MS
        self.message_id = 0
        info = SelfInfo(
            incarnation=1 << 63,
            name="tifton-own",
            workspace=WORKSPACE,
            data_centre="tifton",
            peer_address=OWN_ADDRESS,
            echo_key=self.random.randbytes(32),
            wall_offset_ms=0,
        )
        self.state = State(info, Timing())
        self._start(targets, members)

    def _start(self, targets, members):
        document = make_document(targets)
        self.step(Tick())
        for action in self.step(TemplateRead(parse_template(document), document)):
            if isinstance(action, AskIdentity):
                self.step(IdentityReply(action.target, WORKSPACE, SERVICE))
        own = Instance("tifton-own", "tifton", OWN_ADDRESS, False)
        self.step(InstancesRead((own,)))
        if members:
            records = [member_record(number) for number in range(members)]
            self.step(PeerMessage(1, Welcome(records[0], records, [])))
        for _ in range(STARTUP_MS // TICK_MS):
            self.advance(TICK_MS)

    def step(self, event):
        """Pass an event to the core; return its actions."""
        return step(self.state, event, self.now_ms, self.random)

    def advance(self, duration_ms):
        """Advance the clock and pass a ``Tick`` to the core; return its actions."""
        self.now_ms += duration_ms
        return self.step(Tick())

    def receive(self, caller, datagram):
        """Pass a caller's datagram to the core; return its actions."""
        request = decode_caller_datagram(datagram)
        return self.step(CallerRequest(Flow(SERVICE, caller), request))

    def encode(self, actions):
        """Encode the messages to callers and targets, as the edges do."""
        for action in actions:
            self.message_id = (self.message_id + 1) & MESSAGE_ID_MASK
            if isinstance(action, AnswerCaller):
                encode_answer(action, self.message_id)
            elif isinstance(action, SendUpstream):
                encode_upstream(action, self.message_id)

    def reply(self, target, datagram):
        """Pass a target's datagram to the core; return its actions."""
        decoded = decode_upstream(datagram)
        reply = UpstreamReply(
            target,
            0,
            decoded.token,
            decoded.status,
            decoded.observed,
            decoded.retry_after_s,
            datagram,
        )
        return self.step(reply)


def request_datagram(code, number, *, echo=b"", observe=None):
    """Return a caller's request of typical size."""
    message = aiocoap.Message(code=code, payload=b"")
    message.mtype = aiocoap.CON
    message.mid = number & MESSAGE_ID_MASK
    message.token = number.to_bytes(4, "big")
    message.opt.uri_path = ("pivot", str(number), "status")
    message.opt.observe = observe
    if echo:
        message.opt.echo = echo
    if code == aiocoap.POST:
        message.payload = b"stop %d" % number
    return message.encode()


def reply_datagram(token, number, *, observe=None):
    """Return a target's answer of typical size."""
    message = aiocoap.Message(code=aiocoap.CONTENT, payload=b"moving " * 8)
    message.mtype = aiocoap.NON
    message.mid = number & MESSAGE_ID_MASK
    message.token = token
    message.opt.observe = observe
    return message.encode()


def first_of(actions, kind):
    """Return the first action of a type."""
    return next(action for action in actions if isinstance(action, kind))
