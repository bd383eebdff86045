"""Steps for the relays of a reader."""

from types import SimpleNamespace

from behave import given, then, when

from lagoontally_flows import RelayAck, Relayed, Relays
from lagoontally_flows._store._call_timing import fetch_delay_ms

CHANGE = ("a change",)
MAX_TRIES = 20


@given("a reader with {count:d} members")
def step_reader(context, count):
    """Each has a host."""
    context.relays, context.now_ms = Relays(), 1_000
    context.hosts = [f"10.0.0.{number}" for number in range(1, count + 1)]
    context.direct = []


@when("it sends a change")
def step_send(context):
    """To all members."""
    context.sent = context.relays.send(CHANGE, context.hosts, context.now_ms)
    relayed = [one for one in context.sent if isinstance(one[1], Relayed)]
    context.relayed = relayed
    context.first = getattr(context, "first", None) or (relayed[0] if relayed else None)


@when("all relays but the first acknowledge it")
def step_acknowledge(context):
    """At once."""
    for host, relayed in context.relayed[1:]:
        context.relays.on_ack(RelayAck(relayed.number), host)


@when("a member acknowledges what the first relay was sent")
def step_acknowledge_other(context):
    """All relays acknowledge the others."""
    step_acknowledge(context)
    _, relayed = context.first
    context.relays.on_ack(RelayAck(relayed.number), relayed.hosts[0])


@when("{duration_ms:d} ms go by for the reader")
def step_wait(context, duration_ms):
    """It sends what its relays may not have passed on."""
    context.now_ms += duration_ms
    context.direct += context.relays.on_tick(context.now_ms)


@when("no member acknowledges what it relays")
def step_silence(context):
    """Until all have been tried."""
    for _ in range(MAX_TRIES):
        step_send(context)
        step_wait(context, 150)


@then("each member gets it from the reader")
def step_direct(context):
    """Without a relay."""
    assert sorted(context.sent) == sorted((host, CHANGE) for host in context.hosts)


@then("the reader sends {count:d} messages")
def step_count(context, count):
    """One a group."""
    assert len(context.sent) == count, len(context.sent)


@then("each member is reached once")
def step_reached(context):
    """As a relay or by one."""
    reached = [host for host, _ in context.sent]
    for _, relayed in context.relayed:
        assert relayed.message == CHANGE
        reached += relayed.hosts
    assert sorted(reached) == sorted(context.hosts), reached


@then("the first relay's group gets the change from the reader")
def step_group(context):
    """The relay too."""
    relay, relayed = context.first
    expected = [(host, CHANGE) for host in (relay, *relayed.hosts)]
    assert sorted(context.direct) == sorted(expected), context.direct


@then("the first relay isn't used")
def step_unused(context):
    """Another member of its group is."""
    relay, relayed = context.first
    used = {host for host, _ in context.relayed}
    assert relay not in used and used & set(relayed.hosts), used


@then("the first relay is used")
def step_used(context):
    """Again."""
    assert context.first[0] in {host for host, _ in context.relayed}


@then("members of {count:d} wait {least:d} ms to {most:d} ms")
def step_fetch_delay(context, count, least, most):
    """Whatever is drawn."""
    for drawn, expected in ((0.0, least), (1.0, most)):
        random = SimpleNamespace(random=lambda drawn=drawn: drawn)
        assert fetch_delay_ms(count, random) == expected
