"""Steps for what readers tell members of changed targets."""

from behave import given, then, when

from lagoontally_flows import Delta
from lagoontally_platform import ENTRY_PREFIX

SETTLE_MS = 1_000


@given("{count:d} more targets that warm up for {warm_up_ms:d} ms")
def step_targets(context, count, warm_up_ms):
    """All balancers know them."""
    run = context.run
    before = set(run.targets)
    for number in range(1, count + 1):
        run.started += 1
        entry = run.new_target() | {"warmup-left-ms": warm_up_ms}
        run.write_target(f"{ENTRY_PREFIX}i-{number:016x}", entry)
    context.keys = sorted(set(run.targets) - before)
    context.fleet.run(SETTLE_MS)
    assert not run.lacking(), run.lacking()
    count_bytes(context)


def count_bytes(context):
    """Count the bytes of changes and of answers that are sent from now on."""
    fleet = context.fleet
    usual, context.sent_bytes, context.answered_bytes = fleet.broadcast, 0, 0
    usual_answer = fleet._answer_peer

    def broadcast(sender, message, data):
        if isinstance(message, Delta):
            context.sent_bytes += len(data)
        usual(sender, message, data)

    def answer(peer, process, client, number, path):
        context.answered_bytes += len(path) + len(peer.serve(path).body)
        usual_answer(peer, process, client, number, path)

    fleet.broadcast, fleet._answer_peer = broadcast, answer


@when("each of them tells that {warm_up_ms:d} ms are left")
def step_warm_up(context, warm_up_ms):
    """Their entries are written again."""
    change(context, {"warmup-left-ms": warm_up_ms})


@when("each of them tells that it is leaving")
@when("that target tells that it is leaving")
def step_leaving(context):
    """The same."""
    change(context, {"state": "draining"})


@when("each of them tells that it has {slots:d} slots")
def step_slots(context, slots):
    """The same."""
    change(context, {"max-concurrency": slots})


def change(context, fields):
    """Change the entries of the targets."""
    for key in context.keys:
        context.run.write_target(key, context.run.targets[key] | fields)


@when("a target starts whose entry doesn't reach a member")
def step_missed(context):
    """The message to that member is lost; the next change comes before a fetch."""
    fleet, run = context.fleet, context.run
    before = set(run.targets)
    fleet.draw_loss = lambda _sender, receiver, message: (
        isinstance(message, Delta) and receiver.name == context.members[0]
    )
    run.start_target()
    fleet.run(200)
    fleet.draw_loss = lambda *_: False
    context.keys = sorted(set(run.targets) - before)


@then("the reader has sent at most {most:d} bytes to each member for each target")
def step_sent(context, most):
    """Headers of the messages are included."""
    each = context.sent_bytes / len(context.keys)
    assert 0 < each <= most, each
