"""The queueing model with real cores in place of modelled balancers."""

import json
from random import Random
from typing import NamedTuple

from lagoontally_core import (
    AnswerCaller,
    AskIdentity,
    CallerRequest,
    Flow,
    Forwarded,
    IdentityReply,
    Instance,
    InstancesRead,
    Limits,
    NeedEcho,
    PeerMessage,
    Received,
    Refused,
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

from ._queueing import NETWORK_DELAY_MS, RELAY_DELAY_RANGE_MS, Model
from ._queueing_parts import Job

WORKSPACE = "dossier-hub-balancing"
TICK_INTERVAL_MS = 100.0
JOIN_DURATION_MS = 10_000.0
REQUEST_REMAINING_MS = 9_000
MESSAGE_ID_MASK = 0xFFFF
TOKEN_BYTES = 4
STORM_CALLER = "10.9.9.9:5"
OPEN_LIMITS = Limits(1_000, 1_000, by_caller=False)
LIMITS_BY_POLICY = {
    "core": Limits(),
    "core-classes": Limits(by_caller=False),
    "core-open": OPEN_LIMITS,
}


class CallerJob(NamedTuple):
    """A caller's request."""

    arrived_ms: float
    balancer: object
    work_ms: float
    caller: str
    kind: RequestKind


class CoreModel(Model):
    """A run in which real cores make the decisions.

    Attributes:
        states: The cores' states, by the balancer's number.
        jobs: The unfinished requests, by the caller's token.
        dead: Numbers of the balancers that have died.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.counts |= {"commands_failed": 0, "storm_answered": 0}
        self.dead = set()
        self.jobs = {}
        self.last_number = 0
        self.random_sources = {}
        self.states = {}
        for balancer in self.balancers:
            number = balancer.number
            self.random_sources[number] = Random(self.random.random())
            state = State(self._info(balancer), Timing())
            state.dispatch.limits = LIMITS_BY_POLICY[self.policy]
            self.states[number] = state

    def _info(self, balancer):
        return SelfInfo(
            incarnation=self.random.getrandbits(64),
            name=f"b{balancer.number}",
            workspace=WORKSPACE,
            data_centre=f"dc{balancer.centre}",
            peer_address=f"b{balancer.number}:7946",
            echo_key=b"k" * 32,
            wall_offset_ms=0,
        )

    def run(self):
        """Run until the cores have joined, then until every request has ended."""
        document = self._document()
        template = parse_template(document)
        listed = tuple(
            Instance(f"b{number}", "dc0", f"b{number}:7946", False)
            for number in self.states
        )
        for number in self.states:
            self.deliver(number, TemplateRead(template, document))
            self.deliver(number, InstancesRead(listed))
            self.after(self.random.random() * TICK_INTERVAL_MS, self._tick, number)
        self.after(JOIN_DURATION_MS, self._start_load)
        while self.queue:
            self.now_ms, _, action, arguments = self.pop()
            action(*arguments)
        return self

    def _start_load(self):
        self.end_ms += self.now_ms
        self._schedule_condition()
        if self.condition.dispatcher_dies:
            self.after(
                self.experiment.requests * self.mean_interarrival_ms / 3,
                self._kill_dispatcher,
            )
        third_ms = (self.end_ms - self.now_ms) / 3
        if self.condition.storm:
            self.after(third_ms, self._storm, self.now_ms + 2 * third_ms)
        self._arrive()
        self._sample()

    def _kill_dispatcher(self):
        """Kill the dispatcher of the first balancer."""
        named, _ = self.states[0].dispatch.dispatchers[self.fleet.name]
        for number, state in self.states.items():
            if state.info.incarnation == named:
                self.dead.add(number)
                self.balancers = [b for b in self.balancers if b.number != number]

    def _document(self):
        targets = [
            {
                "name": f"target-{target.number}",
                "address": self._address(target),
                "data_centre": f"dc{target.centre}",
                "slots": target.slots,
            }
            for target in self.targets
        ]
        service = {
            "entry_port": 5711,
            "placement": "request",
            "imbalance_weight": 0.7,
            "targets": targets,
        }
        workspace = {"tenant": "franchise", "services": {self.fleet.name: service}}
        document = {
            "format": 1,
            "version": 1,
            "published_at": "2026-12-03T21:00:00Z",
            "quarantine_s": 600,
            "workspaces": {WORKSPACE: workspace},
            "retired": [],
        }
        return json.dumps(document).encode()

    def _address(self, target):
        return f"127.20.1.{target.number + 1}:7001"

    def _tick(self, number):
        if number in self.dead:
            return
        self.deliver(number, Tick())
        if self.remaining > 0 or self.jobs:
            self.after(TICK_INTERVAL_MS, self._tick, number)

    def deliver(self, number, event):
        """Pass an event to a core and execute the resulting actions."""
        if number in self.dead:
            return
        now_ms = int(self.now_ms)
        event = Received(now_ms, event)
        random = self.random_sources[number]
        for action in step(self.states[number], event, now_ms, random):
            self._execute(number, action)

    def _execute(self, number, action):
        if isinstance(action, SendPeer):
            self._send_peer(number, action)
        elif isinstance(action, SendUpstream):
            self._send_upstream(number, action)
        elif isinstance(action, AnswerCaller):
            self._answer_caller(action)
        elif isinstance(action, AskIdentity):
            reply = IdentityReply(action.target, WORKSPACE, self.fleet.name)
            self.after(2 * NETWORK_DELAY_MS, self.deliver, number, reply)

    def _send_peer(self, number, action):
        peer = int(action.peer_address.split(":")[0][1:])
        delay_ms = self.random.uniform(*RELAY_DELAY_RANGE_MS)
        if peer % self.fleet.centres != number % self.fleet.centres:
            delay_ms += self.fleet.hop_ms
        sender = self.states[number].info.incarnation
        self.after(delay_ms, self.deliver, peer, PeerMessage(sender, action.message))

    def _send_upstream(self, number, action):
        job = self.jobs[action.body[:TOKEN_BYTES]]
        target = self.targets[int(action.target.split(":")[0].split(".")[-1]) - 1]
        self.sends += 1
        far = number % self.fleet.centres != target.centre
        delay_ms = NETWORK_DELAY_MS + (self.fleet.hop_ms if far else 0.0)
        attempt = Job(action, job.arrived_ms, number, job.work_ms)
        self.after(delay_ms, self._reach_target, attempt, target)

    def _answer_caller(self, action):
        token = action.reply_to.token
        job = self.jobs.get(token)
        if job is None:
            return
        if isinstance(action.answer, NeedEcho):
            self._send_request(job, token, action.echo)
            return
        del self.jobs[token]
        latency_ms = self.now_ms - job.arrived_ms
        if job.caller == STORM_CALLER:
            self.counts["storm_answered"] += isinstance(action.answer, Forwarded)
            return
        if isinstance(action.answer, Forwarded):
            self.record_latency(latency_ms)
            if job.kind is RequestKind.COMMAND:
                self.command_latencies.append(latency_ms)
            return
        self.failure_times_ms.append(self.now_ms)
        refused = isinstance(action.answer, Refused)
        self.counts["refused" if refused else "timed_out"] += 1
        if job.kind is RequestKind.COMMAND:
            self.counts["commands_failed"] += 1

    def _arrive(self):
        self.remaining -= 1
        if self.remaining > 0:
            self.after(
                self.random.expovariate(1 / self.mean_interarrival_ms), self._arrive
            )
        command = self.random.random() < self.condition.commands
        kind = RequestKind.COMMAND if command else RequestKind.IDEMPOTENT
        self.last_number += 1
        self._start_request(f"10.0.{self.last_number % 200}.1:5", kind)

    def _storm(self, until_ms):
        if self.now_ms >= until_ms:
            return
        mean_interarrival_ms = self.mean_interarrival_ms / self.condition.storm
        self.after(
            self.random.expovariate(1 / mean_interarrival_ms), self._storm, until_ms
        )
        self.last_number += 1
        self._start_request(STORM_CALLER, RequestKind.IDEMPOTENT)

    def _start_request(self, caller, kind):
        """Send a new request from a caller to a random balancer."""
        balancer = self.random.choice(self.balancers)
        token = self.last_number.to_bytes(4, "big")
        job = CallerJob(self.now_ms, balancer, self._work_ms(), caller, kind)
        self.jobs[token] = job
        self._send_request(job, token, b"")

    def _send_request(self, job, token, echo):
        request = Request(
            job.kind,
            token,
            int.from_bytes(token, "big") & MESSAGE_ID_MASK,
            True,
            echo,
            REQUEST_REMAINING_MS,
            token + echo,
        )
        flow = Flow(self.fleet.name, job.caller)
        self.deliver(job.balancer.number, CallerRequest(flow, request))

    def _shed(self, job):
        self.counts["shed"] += 1
        self._reply(job, ReplyStatus.SHED)

    def _answer(self, job, _target):
        self._reply(job, ReplyStatus.ANSWERED)

    def _reply(self, job, status):
        action = job.flow
        reply = UpstreamReply(action.target, 0, action.token, status, False, 1, b"")
        self.deliver(job.balancer, reply)
