"""Steps for lines."""

from behave import given, then, when
from fixtures import VirtualTime, decoded, reply

from lagoontally_caller import LineStatus
from lagoontally_caller._codec import NON, Block
from lagoontally_caller._line import ChangeSocket, Deliver, LineState, SendDatagram


def execute(context, actions):
    """Execute a line's actions without a socket."""
    line, time = context.line, context.time
    for action in actions:
        if isinstance(action, SendDatagram):
            context.registrations.append(decoded(action.datagram))
        elif isinstance(action, Deliver):
            context.delivered.append(action.notification.sequence)
            context.notification = action.notification
        elif isinstance(action, ChangeSocket):
            execute(context, line.register(time.echo_store, time.now_s))


def receive(context, code, **options):
    """Pass the line a reply with its token."""
    message = reply(code, context.line.token, **options)
    time = context.time
    execute(context, context.line.on_reply(message, time.echo_store, time.now_s))


def answer_registration(context, code, **options):
    """Answer the newest registration."""
    receive(context, code, message_id=context.registrations[-1].mid, **options)


@given("a line without notifications")
def step_new_line(context):
    """Open a line, which sends its first registration."""
    time = context.time = VirtualTime()
    context.line = LineState("/pivot/1/status", identifiers=time.identifiers)
    context.registrations, context.delivered = [], []
    execute(context, context.line.open(time.echo_store, time.now_s))


@given("a line with sequence number {sequence:d}")
def step_open_line(context, sequence):
    """Open a line and answer its registration."""
    step_new_line(context)
    context.echo = b"first"
    answer_registration(context, "2.05", observe=sequence, echo=context.echo)


@when("notification {sequence:d} arrives")
def step_notification(context, sequence):
    """Send a notification that doesn't answer a registration."""
    context.before = len(context.delivered)
    receive(context, "2.05", type=NON, observe=sequence)


@when("the first block of notification {sequence:d} arrives")
def step_first_block(context, sequence):
    """The body takes more blocks."""
    receive(context, "2.05", type=NON, observe=sequence, block=Block(0, True, 0))


@then("it is delivered as incomplete")
def step_incomplete(context):
    """The caller can fetch the whole."""
    assert not context.notification.complete, context.notification


@when("its registration is answered by notification {sequence:d}")
def step_registered(context, sequence):
    """Answer the newest registration with a notification."""
    context.before = len(context.delivered)
    answer_registration(context, "2.05", observe=sequence)


@when("its registration is answered by 4.01 with an Echo")
def step_echo_required(context):
    """Ask for an Echo in answer to the newest registration."""
    context.echo = b"asked"
    answer_registration(context, "4.01", echo=context.echo)


@when("its registration is refused for {seconds:d} s")
def step_refused(context, seconds):
    """Refuse the newest registration for a time."""
    answer_registration(context, "5.03", max_age_s=seconds)


@when("a call on the same path gets another Echo")
def step_call_echo(context):
    """Store an Echo of a call as the path's newest."""
    context.call_echo = b"call"
    context.time.echo_store.keep(context.call_echo, now_s=context.time.now_s)


@when("{seconds:d} s pass")
def step_time(context, seconds):
    """Advance the time and run the line's timers."""
    line, time = context.line, context.time
    time.advance(
        seconds, lambda: execute(context, line.on_timer(time.echo_store, time.now_s))
    )


@when("{seconds:d} s pass in which renewals fail")
def step_time_only(context, seconds):
    """Advance the time without running timers."""
    context.time.now_s += seconds


@then("it is delivered")
def step_delivered(context):
    """Check that the notification was delivered."""
    assert len(context.delivered) == context.before + 1


@then("it is ignored")
def step_ignored(context):
    """Check that nothing was delivered."""
    assert len(context.delivered) == context.before


@then("it registers with that Echo under a new token")
def step_new_token(context):
    """Check the newest registration after an Echo round."""
    before, last = context.registrations[-2:]
    assert last.opt.echo == context.echo
    assert last.token == context.line.token != before.token
    assert last.opt.observe == 0


@then("it registers with that Echo under the same token")
def step_same_token(context):
    """Check that the renewal has the token of the registration."""
    before, last = context.registrations[-2:]
    assert last.opt.echo == context.echo
    assert last.token == before.token
    assert last.mid != before.mid


@then("it registers with the line's Echo under the same token")
def step_line_echo(context):
    """Check that calls with another home don't change the line's Echo."""
    step_same_token(context)


@then("it registers with the call's Echo under a new token")
def step_path_echo(context):
    """Check the Echo: the home of the line's own one may have stopped answering."""
    first, last = context.registrations[0], context.registrations[-1]
    assert last.opt.echo == context.call_echo
    assert last.token == context.line.token != first.token


@then("the line is {status}")
def step_status(context, status):
    """Check the line's status."""
    assert context.line.status is LineStatus(status), context.line.status


@then("the line has moved {moves:d} times and has {breaks:d} breaks")
def step_counts(context, moves, breaks):
    """Check the line's counts."""
    counts = (context.line.moves, context.line.breaks)
    assert counts == (moves, breaks), counts


@then("it hasn't registered again")
def step_not_registered(context):
    """Check that only the first registration was sent."""
    assert len(context.registrations) == 1


@then("it has registered again")
def step_registered_again(context):
    """Check that another registration was sent."""
    assert len({item.mid for item in context.registrations}) > 1
