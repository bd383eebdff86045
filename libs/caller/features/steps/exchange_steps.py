"""Steps for one request and its outcome."""

from behave import given, then, when
from fixtures import RESULTS, VirtualTime, decoded, reply

from lagoontally_caller._codec import POST, PUT, TIME_LEFT_OPTION, Block, Request
from lagoontally_caller._exchange import Exchange


def start(context, code, seconds):
    """Start an exchange and record its datagrams."""
    time = context.time = getattr(context, "time", None) or VirtualTime()
    context.exchange = Exchange(
        Request(code, "/pivot/1/command", b"stop"),
        deadline_s=time.now_s + float(seconds),
        identifiers=time.identifiers,
        echo_store=time.echo_store,
        retry=True,
    )
    context.sent = []
    collect(context, context.exchange.start(time.now_s))


def collect(context, datagrams):
    """Record datagrams with the time of sending."""
    context.sent += [(context.time.now_s, datagram) for datagram in datagrams]


def answer(context, code, *, round_=-1, **options):
    """Answer a round, the current one by default."""
    context.refused_s = context.time.now_s
    message = reply(code, context.exchange.tokens[round_], **options)
    collect(context, context.exchange.on_reply(message, context.time.now_s))


@given("a command with {seconds} s to its deadline")
def step_command(context, seconds):
    """Start an exchange for a command."""
    start(context, POST, seconds)


@given("a store with {seconds} s to its deadline")
def step_store(context, seconds):
    """Start an exchange for a store."""
    start(context, PUT, seconds)


@given('a stored Echo "{echo}"')
def step_stored_echo(context, echo):
    """Store an Echo as if an earlier answer had carried it."""
    context.time = getattr(context, "time", None) or VirtualTime()
    context.time.echo_store.keep(echo.encode(), now_s=context.time.now_s)


@when("the current round is answered by {code:S}")
def step_answered(context, code):
    """Answer the current round."""
    answer(context, code)


@when("the current round is answered by {code:S} with the {which} block")
@when("the current round is answered by {code:S} with the {which} of more blocks")
def step_answered_block(context, code, which):
    """Answer with a block of 16 bytes."""
    block = Block(int(which == "last"), which == "first", 0)
    answer(context, code, block=block, payload=bytes(16))


@when('the current round is answered by {code:S} with Echo "{echo}"')
def step_answered_echo(context, code, echo):
    """Answer the current round with an Echo."""
    answer(context, code, echo=echo.encode())


@when('the current round is answered by {code:S} with Echo ""')
def step_answered_no_echo(context, code):
    """Answer the current round without an Echo."""
    answer(context, code)
    context.time.echo_store.current(now_s=context.time.now_s)


@when("the current round is answered by {code:S} with Max-Age {seconds:d}")
def step_answered_max_age(context, code, seconds):
    """Refuse the current round for a time."""
    answer(context, code, max_age_s=seconds)


@when("the first round is answered by {code:S}")
def step_first_answered(context, code):
    """Answer the first round."""
    answer(context, code, round_=0, echo=b"late")


@when("{count:d} rounds are answered by 4.01 with an Echo")
def step_rounds(context, count):
    """Ask for an Echo in each round."""
    for number in range(count):
        answer(context, "4.01", echo=b"echo%d" % number)


@when("an answer with an unknown token arrives")
def step_wrong_token(context):
    """Send an answer that belongs to another exchange."""
    message = reply("2.04", b"other")
    collect(context, context.exchange.on_reply(message, context.time.now_s))


@when("{seconds:d} s pass without an answer")
def step_pass(context, seconds):
    """Advance the time and run the timers."""
    time = context.time
    time.advance(
        seconds, lambda: collect(context, context.exchange.on_timer(time.now_s))
    )


@then("the outcome is {name}")
def step_outcome(context, name):
    """Check the type of the outcome."""
    outcome = context.exchange.outcome
    assert isinstance(outcome, RESULTS[name]), outcome


@then("{count:d} equal datagrams were sent")
def step_equal(context, count):
    """Check that all datagrams are the same, byte for byte."""
    datagrams = [datagram for _, datagram in context.sent]
    assert len(datagrams) == count, len(datagrams)
    assert len(set(datagrams)) == 1


@then("{count:d} datagrams with different tokens and message ids were sent")
def step_different(context, count):
    """Check that each datagram belongs to another round."""
    messages = [decoded(datagram) for _, datagram in context.sent]
    assert len(messages) == count, len(messages)
    assert len({message.token for message in messages}) == count
    assert len({message.mid for message in messages}) == count


@then('the last datagram carries Echo "{echo}" and a time left of {left:d} ms')
def step_last(context, echo, left):
    """Check the Echo and time left options."""
    options = decoded(context.sent[-1][1]).opt
    (time_left,) = options.get_option(TIME_LEFT_OPTION)
    assert options.echo == echo.encode()
    assert int.from_bytes(time_left.encode(), "big") == left


@then("nothing more is sent")
def step_quiet(context):
    """Check that a finished exchange sends nothing."""
    before = len(context.sent)
    step_pass(context, 60)
    assert len(context.sent) == before


@then("the stored Echo is empty")
def step_no_echo(context):
    """Check that the next request carries no Echo."""
    assert context.time.echo_store.echo == b""


@then("the second was sent {low:d} to {high:d} s after the refusal")
def step_waited(context, low, high):
    """Check that the wait is Max-Age with jitter."""
    waited_s = context.sent[1][0] - context.refused_s
    assert low <= waited_s <= high + 0.1, waited_s
