"""Steps for the dispatcher: several cores that pass messages at once."""

import json
from collections import Counter
from random import Random

from behave import given, then, when

from lagoontally_core import (
    AnswerCaller,
    AskIdentity,
    CallerRequest,
    Flow,
    IdentityReply,
    MemberRecord,
    PeerMessage,
    Placed,
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
    Welcome,
    step,
)
from lagoontally_core._dispatch import dispatcher_of
from lagoontally_core._state import Phase
from lagoontally_core._step_context import StepContext
from lagoontally_core._target_selection import candidates, record_failure
from lagoontally_model import Timing, parse_template

TARGETS = [f"127.20.1.{number}:7001" for number in (1, 2, 3)]


def document(version, placement, leaving=()):
    """Return a template of one service."""
    targets = [
        {
            "name": f"desk-{number}",
            "address": address,
            "data_centre": "kgn-a",
            "state": "leaving" if address in leaving else "active",
        }
        for number, address in enumerate(TARGETS)
    ]
    service = {
        "entry_port": 5711,
        "placement": placement,
        "imbalance_weight": 0.7,
        "targets": targets,
    }
    workspace = {"tenant": "franchise", "services": {"desk": service}}
    return json.dumps(
        {
            "format": 1,
            "version": version,
            "published_at": "2026-12-03T21:00:00Z",
            "quarantine_s": 600,
            "workspaces": {"hub": workspace},
            "retired": [],
        }
    ).encode()


class Cores:
    """Cores whose peer messages arrive at once, in order."""

    def __init__(self, count):
        self.random = Random(1)
        self.now_ms = 1_000
        self.numbers = 0
        self.silent = set()
        self.sent = []
        self.answers = []
        self.states = {}
        for number in range(1, count + 1):
            info = SelfInfo(
                number, f"b{number}", "hub", "kgn-a", f"b{number}:1", b"k" * 32, 0
            )
            self.states[number] = State(info, Timing())
        records = [
            MemberRecord(number, f"b{number}", "kgn-a", f"b{number}:1", 0, 0, 0, 1)
            for number in self.states
        ]
        for number, state in self.states.items():
            others = [item for item in records if item.incarnation != number]
            self.tell(
                number, PeerMessage(others[0].incarnation, Welcome(*welcome(others)))
            )
            state.phase = Phase.SERVING
        self.publish(1, "request", self.states)

    def publish(self, version, placement, numbers, leaving=()):
        """Put a template in force."""
        data = document(version, placement, leaving)
        for number in numbers:
            self.tell(number, TemplateRead(parse_template(data), data))

    def tell(self, number, event):
        """Let a core handle an event, and execute its actions."""
        for action in step(self.states[number], event, self.now_ms, self.random):
            self.execute(number, action)

    def execute(self, number, action):
        """Execute an action."""
        if isinstance(action, SendPeer):
            peer = int(action.peer_address[1])
            if peer not in self.silent:
                self.tell(peer, PeerMessage(number, action.message))
        elif isinstance(action, AskIdentity):
            self.tell(number, IdentityReply(action.target, "hub", "desk"))
        elif isinstance(action, SendUpstream):
            self.sent.append((number, action))
        elif isinstance(action, AnswerCaller):
            self.answers.append(action.answer)

    def request(self, number, count, caller=None):
        """Send idempotent requests to a balancer."""
        for _ in range(count):
            self.numbers += 1
            token = self.numbers.to_bytes(4, "big")
            request = Request(
                RequestKind.IDEMPOTENT, token, self.numbers, True, b"", 9_000, b"get"
            )
            flow = Flow("desk", caller or f"10.0.0.{self.numbers}:5")
            self.tell(number, CallerRequest(flow, request))

    def reply(self, number, sent, status):
        """Let a target reply."""
        reply = UpstreamReply(sent.target, 0, sent.token, status, False, 1, b"")
        self.tell(number, reply)

    def pass_time(self, duration_ms):
        """Advance the clock by ticks."""
        for _ in range(duration_ms // 100):
            self.now_ms += 100
            for number in self.states:
                if number not in self.silent:
                    self.tell(number, Tick())

    def step_context(self, number):
        """Return a step context of a core, to call its functions directly."""
        return StepContext(self.states[number], self.now_ms, self.random, [])

    def load(self):
        """Return the requests sent to each target."""
        return Counter(sent.target for _, sent in self.sent)


def welcome(records):
    """Return the fields of a welcome."""
    return records[0], records, []


@given("3 balancers that know each other and a service of 3 targets")
def step_cores(context):
    """The balancers serve and agree on the dispatcher."""
    context.cores = Cores(3)
    context.dispatcher = dispatcher_of(context.cores.step_context(1), "desk")
    context.other = next(n for n in (1, 2, 3) if n != context.dispatcher)


@given("the dispatcher is silent")
def step_silent(context):
    """It receives and sends nothing, and isn't suspected yet."""
    context.cores.silent.add(context.dispatcher)


@given("the other balancers have all but the last target as leaving")
def step_leaving(context):
    """The dispatcher's template is older than theirs."""
    others = [number for number in (1, 2, 3) if number != context.dispatcher]
    context.cores.silent.add(context.dispatcher)
    context.cores.publish(2, "request", others, TARGETS[:-1])
    context.cores.silent.clear()


@given("the service keeps flows on their targets")
def step_flow(context):
    """The template sets the placement to ``flow``."""
    context.cores.publish(2, "flow", (1, 2, 3))


@when("each balancer gets {count:d} requests")
def step_each(context, count):
    """Requests arrive everywhere."""
    for number in (1, 2, 3):
        context.cores.request(number, count)


@when("another balancer gets {count:d} requests")
def step_other(context, count):
    """Requests arrive at a balancer that isn't the dispatcher."""
    context.cores.request(context.other, count)


@when("the dispatcher gets {count:d} requests")
def step_own(context, count):
    """Requests arrive at the dispatcher itself."""
    context.before = context.cores.load()
    context.cores.request(context.dispatcher, count)


@when("one caller sends {count:d} requests at once")
def step_storm(context, count):
    """A burst of requests, spread over the balancers."""
    for number in range(count):
        context.cores.request(1 + number % 3, 1, caller="10.9.9.9:5")


@then("the requests of {count:d} other callers are all sent")
def step_others(context, count):
    """Other callers' requests are admitted after the burst."""
    before = len(context.cores.sent)
    for number in range(count):
        context.cores.request(1 + number % 3, 1)
    assert len(context.cores.sent) - before == count


@then("{count:d} of them are refused at once, with different retry delays")
def step_spread(context, count):
    """The retry delays of the refusals differ."""
    refused = [item for item in context.cores.answers if isinstance(item, Refused)]
    assert len(refused) == count, len(refused)
    assert len({item.retry_after_s for item in refused}) > 2


@then("all requests went to one target")
def step_one_target(context):
    """The flow is kept on its target."""
    assert len(context.cores.load()) == 1


@when("{duration:d} ms pass")
def step_pass(context, duration):
    """Time passes by ticks."""
    context.cores.pass_time(duration)


@when("it is paused for {duration:d} ms")
def step_pause(context, duration):
    """The clock jumps between two steps."""
    context.cores.now_ms += duration


@when("the dispatcher's placement arrives")
def step_choice(context):
    """The dispatcher's answer arrives late."""
    cores = context.cores
    (token,) = cores.states[context.other].exchanges
    message = PeerMessage(context.dispatcher, Placed(token, TARGETS[0], ""))
    cores.tell(context.other, message)


@when("the first target sheds and the others answer")
def step_shed(context):
    """One target refuses what it got; another answers its retry too."""
    cores = context.cores
    first = cores.sent[0][1].target
    context.first = first
    # The list grows by the retries while it is read.
    for number, sent in cores.sent:
        shed = sent.target == first
        status = ReplyStatus.SHED if shed else ReplyStatus.ANSWERED
        cores.reply(number, sent, status)


@when("every target but one fails repeatedly")
def step_failures(context):
    """Two of three targets would be closed."""
    step_context = context.cores.step_context(context.other)
    for address in TARGETS[1:]:
        for _ in range(5):
            record_failure(step_context.state.targets[address], step_context)


@then("{count:d} targets may be selected")
def step_open(context, count):
    """At most half are excluded."""
    step_context = context.cores.step_context(context.other)
    usable = candidates(step_context.state, "desk", step_context.now_ms)
    assert len(usable) == count, usable
    assert usable[0].address == TARGETS[0]


@then("each target has {count:d} requests")
def step_even(context, count):
    """No target has more than another."""
    assert context.cores.load() == dict.fromkeys(TARGETS, count)


@then("{count:d} requests have been sent")
def step_sent(context, count):
    """Count the datagrams sent to targets."""
    assert len(context.cores.sent) == count, context.cores.sent


@then("only the last target has requests")
def step_last(context):
    """A balancer's own template decides which targets may get requests."""
    assert set(context.cores.load()) == {TARGETS[-1]}


@then("the caller is answered that nothing was run")
def step_refused(context):
    """The answer is a refusal, since no datagram was sent."""
    assert isinstance(context.cores.answers[-1], Refused)


@then("the first target has got {what} requests")
def step_gain(context, what):
    """Compare with the load before the latest requests."""
    load = context.cores.load()
    gained = load[context.first] - context.before[context.first]
    assert (gained > 0) == (what == "more"), gained


@then("the dispatcher counts {count:d} requests")
def step_book(context, count):
    """Leases expire without a report."""
    table = context.cores.states[context.dispatcher].dispatch
    assert sum(table.placed.values()) == len(table.leases) == count


@given("an open line that its target never notifies")
def step_line(context):
    """The line is opened with its Echo and answered."""
    cores = context.cores
    flow = Flow("desk", "10.0.0.1:5")
    open_line = Request(RequestKind.LINE_OPEN, b"line", 1, True, b"", 9_000, b"get")
    actions = step(
        cores.states[1], CallerRequest(flow, open_line), cores.now_ms, cores.random
    )
    echo = next(item.echo for item in actions if isinstance(item, AnswerCaller))
    cores.tell(1, CallerRequest(flow, open_line._replace(echo=echo)))
    answer_registrations(cores)


def answer_registrations(cores):
    """Let the targets answer every registration sent since the last time."""
    pending, cores.sent = cores.sent, []
    for number, sent in pending:
        reply = UpstreamReply(
            sent.target, 0, sent.token, ReplyStatus.ANSWERED, True, 0, b""
        )
        cores.tell(number, reply)
    cores.answered = [*getattr(cores, "answered", []), *pending]


@when("{duration:d} ms pass and each registration is answered")
def step_refresh(context, duration):
    """Time passes by ticks, with prompt answers."""
    for _ in range(duration // 100):
        context.cores.pass_time(100)
        answer_registrations(context.cores)


@then("the line was refreshed once at its own target")
def step_refreshed(context):
    """Two registrations, the first one included, at one target."""
    targets = [sent.target for _, sent in context.cores.answered]
    assert len(targets) == 2, targets
    assert len(set(targets)) == 1, targets


@then("no target counts a failure")
def step_no_failure(context):
    """No failure was recorded for any target."""
    targets = context.cores.states[1].targets.values()
    assert all(target.failures == 0 for target in targets)
