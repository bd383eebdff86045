"""Steps for one request and its outcome."""

from behave import given, then, when
from fixtures import RESULTS, VirtualTime, decoded, reply

from lagoontally_caller._codec import POST, PUT, TIME_LEFT_OPTION, Request
from lagoontally_caller._exchange import Exchange


def start(context, code, seconds):
    """Start an exchange and collect what it sends with its time."""
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
    """Note datagrams with the time of sending."""
    context.sent += [(context.time.now_s, datagram) for datagram in datagrams]


def answer(context, code, *, round_=-1, **options):
    """Answer a round."""
    context.refused_s = context.time.now_s
    message = reply(code, context.exchange.tokens[round_], **options)
    collect(context, context.exchange.on_reply(message, context.time.now_s))


@given("a command with {seconds} s to its deadline")
def step_command(context, seconds):
    """A command begins by sending one datagram."""
    start(context, POST, seconds)


@given("a store with {seconds} s to its deadline")
def step_store(context, seconds):
    """A store begins by sending one datagram."""
    start(context, PUT, seconds)


@given('an Echo "{echo}" from now')
def step_echo_kept(context, echo):
    """An Echo in store belongs to an earlier answer."""
    context.time = getattr(context, "time", None) or VirtualTime()
    context.time.echo_store.keep(echo.encode(), now_s=context.time.now_s)


@when("the current round is answered by {code:S}")
def step_answered(context, code):
    """An answer with the newest token is handled."""
    answer(context, code)


@when('the current round is answered by {code:S} with Echo "{echo}"')
def step_answered_echo(context, code, echo):
    """An answer that carries an Echo is handled."""
    answer(context, code, echo=echo.encode())


@when('the current round is answered by {code:S} with Echo ""')
def step_answered_no_echo(context, code):
    """An answer without an Echo leaves the store as it is."""
    answer(context, code)
    context.time.echo_store.current(now_s=context.time.now_s)


@when("the current round is answered by {code:S} with Max-Age {seconds:d}")
def step_answered_max_age(context, code, seconds):
    """A refusal says when to come back."""
    answer(context, code, max_age_s=seconds)


@when("the first round is answered by {code:S}")
def step_first_answered(context, code):
    """An answer to an earlier round is handled."""
    answer(context, code, round_=0, echo=b"late")


@when("{count:d} rounds are answered by 4.01 with an Echo")
def step_rounds(context, count):
    """Each round asks for an Echo again."""
    for number in range(count):
        answer(context, "4.01", echo=b"echo%d" % number)


@when("an answer with an unknown token comes")
def step_wrong_token(context):
    """An answer to something else is ignored."""
    message = reply("2.04", b"other")
    collect(context, context.exchange.on_reply(message, context.time.now_s))


@when("{seconds:d} s pass without an answer")
def step_pass(context, seconds):
    """Timers run while nothing comes back."""
    time = context.time
    time.pass_s(
        seconds, lambda: collect(context, context.exchange.on_timer(time.now_s))
    )


@then("the outcome is {name}")
def step_outcome(context, name):
    """The caller is told the outcome of this type."""
    outcome = context.exchange.outcome
    assert isinstance(outcome, RESULTS[name]), outcome


@then("{count:d} equal datagrams were sent")
def step_equal(context, count):
    """Every datagram is the same, byte for byte."""
    datagrams = [datagram for _, datagram in context.sent]
    assert len(datagrams) == count, len(datagrams)
    assert len(set(datagrams)) == 1


@then("{count:d} datagrams with different tokens and message ids were sent")
def step_different(context, count):
    """Each datagram belongs to a round of its own."""
    messages = [decoded(datagram) for _, datagram in context.sent]
    assert len(messages) == count, len(messages)
    assert len({message.token for message in messages}) == count
    assert len({message.mid for message in messages}) == count


@then('the last datagram carries Echo "{echo}" and a time left of {left:d} ms')
def step_last(context, echo, left):
    """The Echo and the time left travel as options."""
    options = decoded(context.sent[-1][1]).opt
    (time_left,) = options.get_option(TIME_LEFT_OPTION)
    assert options.echo == echo.encode()
    assert int.from_bytes(time_left.encode(), "big") == left


@then("nothing is sent any more")
def step_quiet(context):
    """A finished exchange sends nothing."""
    before = len(context.sent)
    step_pass(context, 60)
    assert len(context.sent) == before


@then("the Echo in store is empty")
def step_no_echo(context):
    """No Echo is returned to the entry address."""
    assert context.time.echo_store.echo == b""


@then("the second was sent {low:d} to {high:d} s after the refusal")
def step_waited(context, low, high):
    """The wait follows Max-Age with jitter."""
    waited_s = context.sent[1][0] - context.refused_s
    assert low <= waited_s <= high + 0.1, waited_s
