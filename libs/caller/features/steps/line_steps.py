"""Steps for the decisions of an open line."""

from behave import given, then, when
from fixtures import VirtualTime, decoded, reply

from lagoontally_caller import LineStatus
from lagoontally_caller._codec import NON
from lagoontally_caller._line import ChangeSocket, Deliver, LineState, SendDatagram


def act(context, actions):
    """Carry out a line's actions without a socket."""
    line, time = context.line, context.time
    for action in actions:
        if isinstance(action, SendDatagram):
            context.registrations.append(decoded(action.datagram))
        elif isinstance(action, Deliver):
            context.delivered.append(action.notification.sequence)
        elif isinstance(action, ChangeSocket):
            act(context, line.register(time.echo_store, time.now_s))


def receive(context, code, **options):
    """Let the line receive a reply with its token."""
    message = reply(code, context.line.token, **options)
    time = context.time
    act(context, context.line.on_reply(message, time.echo_store, time.now_s))


def answer_registration(context, code, **options):
    """Let the newest registration be answered."""
    receive(context, code, message_id=context.registrations[-1].mid, **options)


@given("a line that was never heard")
def step_new_line(context):
    """A line begins by registering."""
    time = context.time = VirtualTime()
    context.line = LineState("/pivot/1/status", identifiers=time.identifiers)
    context.registrations, context.delivered = [], []
    act(context, context.line.open(time.echo_store, time.now_s))


@given("a line that was last heard at {sequence:d}")
def step_heard_line(context, sequence):
    """A line is open and has a sequence number."""
    step_new_line(context)
    context.echo = b"first"
    answer_registration(context, "2.05", observe=sequence, echo=context.echo)


@when("notification {sequence:d} comes")
def step_notification(context, sequence):
    """A notification that answers nothing is handled."""
    context.before = len(context.delivered)
    receive(context, "2.05", type=NON, observe=sequence)


@when("its registration is answered by notification {sequence:d}")
def step_registered(context, sequence):
    """The newest registration is answered."""
    context.before = len(context.delivered)
    answer_registration(context, "2.05", observe=sequence)


@when("its registration is answered by 4.01 with an Echo")
def step_echo_asked(context):
    """The newest registration is answered by a wish for an Echo."""
    context.echo = b"asked"
    answer_registration(context, "4.01", echo=context.echo)


@when("its registration is refused for {seconds:d} s")
def step_refused(context, seconds):
    """The newest registration is answered by a refusal."""
    answer_registration(context, "5.03", max_age_s=seconds)


@when("a call on the same path is given another Echo")
def step_call_echo(context):
    """The path's newest Echo is a call's, not the line's."""
    context.call_echo = b"call"
    context.time.echo_store.keep(context.call_echo, now_s=context.time.now_s)


@when("{seconds:d} s pass")
def step_time(context, seconds):
    """The line's timers run; nothing is heard."""
    line, time = context.line, context.time
    time.pass_s(
        seconds, lambda: act(context, line.on_timer(time.echo_store, time.now_s))
    )


@when("{seconds:d} s pass in which renewals fail")
def step_time_only(context, seconds):
    """The clock alone goes on."""
    context.time.now_s += seconds


@then("it is delivered")
def step_delivered(context):
    """The caller gets the notification."""
    assert len(context.delivered) == context.before + 1


@then("it is ignored")
def step_ignored(context):
    """The caller gets nothing."""
    assert len(context.delivered) == context.before


@then("it registers with that Echo under a new token")
def step_new_token(context):
    """A registration after the handshake has its own token."""
    before, last = context.registrations[-2:]
    assert last.opt.echo == context.echo
    assert last.token == context.line.token != before.token
    assert last.opt.observe == 0


@then("it registers with that Echo under the same token")
def step_same_token(context):
    """A renewal goes on with the registration's token."""
    before, last = context.registrations[-2:]
    assert last.opt.echo == context.echo
    assert last.token == before.token
    assert last.mid != before.mid


@then("it registers with the line's Echo under the same token")
def step_line_echo(context):
    """Calls that have another home don't move the line's home."""
    step_same_token(context)


@then("it registers with the call's Echo under a new token")
def step_path_echo(context):
    """The home that the line's Echo names may be what is silent."""
    first, last = context.registrations[0], context.registrations[-1]
    assert last.opt.echo == context.call_echo
    assert last.token == context.line.token != first.token


@then("the line is {status}")
def step_status(context, status):
    """The line has this status."""
    assert context.line.status is LineStatus(status), context.line.status


@then("the line has moved {moves:d} times and has {breaks:d} breaks")
def step_counts(context, moves, breaks):
    """The line counts its moves and breaks."""
    counts = (context.line.moves, context.line.breaks)
    assert counts == (moves, breaks), counts


@then("it hasn't registered again")
def step_not_registered(context):
    """The first registration is the only one."""
    assert len(context.registrations) == 1


@then("it has registered again")
def step_registered_again(context):
    """Other registrations were sent, the later ones from a new socket."""
    assert len({item.mid for item in context.registrations}) > 1
