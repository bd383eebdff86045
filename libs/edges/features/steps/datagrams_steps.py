"""Steps for the edge towards callers."""

from aiocoap import Message
from aiocoap.numbers import codes
from behave import given, then, when
from fixtures import COMMAND, TIMEOUT_S, address_of, run_until

from lagoontally_core import (
    AnswerCaller,
    CallerAck,
    CallerReset,
    Flow,
    NeedEcho,
    ReplyTo,
)
from lagoontally_edges import CallerEdge


def caller_edge(context):
    """Return a caller edge on the virtual clock."""
    recorder = context.recorder
    edge = CallerEdge(
        address="127.0.0.1",
        post=recorder.post,
        count=recorder.count,
        clock_ms=recorder.clock_ms,
    )
    return recorder.close_after_scenario(edge)


@given("a caller edge that serves pivot-link")
def step_caller_edge(context):
    """The edge binds the entry port."""
    context.edge = caller_edge(context)
    assert context.edge.serve({"pivot-link": 0}) == ()
    context.edge.loop.run_once(0)
    context.entry_socket = context.edge.loop.sockets[0]
    context.caller = context.recorder.open_udp()
    context.caller.connect(context.entry_socket.getsockname())


@when("a caller sends a confirmable command")
def step_send_command(context):
    """The command waits at the entry port."""
    context.caller.send(COMMAND)
    context.edge.loop.run_once(TIMEOUT_S)


@then("its request is posted with the caller's address")
def step_request_posted(context):
    """The event names the flow."""
    (context.event,) = context.recorder.drain_events()
    assert context.event.flow == Flow("pivot-link", address_of(context.caller))
    assert context.event.request.body == COMMAND


@then("its request is posted for {service}")
def step_request_posted_for(context, service):
    """The event names the service that uses the port now."""
    run_until(context.edge.loop, lambda: not context.recorder.events.empty())
    assert context.recorder.wait_for_event().flow.service == service


@when("the edge answers it with NeedEcho")
def step_answer(context):
    """The answer is sent at once."""
    reply_to = ReplyTo(context.event.flow, b"ab", 7, True)
    context.edge.answer(AnswerCaller(reply_to, NeedEcho("none"), b"e"))


@then("the caller receives the answer from the entry port")
def step_answered(context):
    """A connected socket receives datagrams from the entry port only."""
    message = Message.decode(context.caller.recv(2000))
    assert (message.code, message.mid) == (codes.UNAUTHORIZED, 7)


@when("a caller sends an acknowledgement, a reset, a ping and a malformed datagram")
def step_send_others(context):
    """Four datagrams wait at the entry port."""
    for data in ("60000001", "70000002", "40000003", "ff"):
        context.caller.send(bytes.fromhex(data))
    context.edge.loop.run_once(TIMEOUT_S)


@then("the acknowledgement and the reset are posted, the malformed datagram counted")
def step_others_posted(context):
    """Each kind has its event or its counter."""
    flow = Flow("pivot-link", address_of(context.caller))
    assert context.recorder.drain_events() == [CallerAck(flow, 1), CallerReset(flow, 2)]
    assert context.recorder.counters["caller_malformed"] == 1


@then("the caller receives a reset for its ping")
def step_ping_reset(context):
    """The reset names the ping's message id."""
    assert context.caller.recv(100) == bytes.fromhex("70000003")


@when("its service is renamed to {service}")
def step_rename(context, service):
    """The port keeps its socket."""
    assert context.edge.serve({service: 0}) == ()


@when("no service is served any longer")
def step_serve_none(context):
    """The next iteration of the loop closes the socket."""
    context.edge.serve({})
    context.edge.loop.run_once(0)


@then("the socket of the entry port is closed")
def step_port_closed(context):
    """A closed socket has no descriptor."""
    assert context.entry_socket.fileno() == -1


@given("a caller edge whose entry port is in use")
def step_port_in_use(context):
    """Another socket is bound to the port."""
    context.other = context.recorder.open_udp()
    context.port = context.other.getsockname()[1]
    context.edge = caller_edge(context)
    context.failures = context.edge.serve({"pivot-link": context.port})


@then("the bind failure names the port")
def step_bind_failure(context):
    """The failure is returned and counted."""
    assert [item.port for item in context.failures] == [context.port]
    assert context.recorder.counters["caller_bind_failed"] == 1


@when("the port is free and the services are set again")
def step_serve_again(context):
    """The other socket is closed first."""
    context.other.close()
    context.failures = context.edge.serve({"pivot-link": context.port})


@then("no bind failure is reported")
def step_bound(context):
    """The port is bound."""
    assert context.failures == ()


@when("the edge answers flows of other services and addresses")
def step_answer_unsendable(context):
    """Flows may come from a peer, so they can have any service and address."""
    flows = [Flow("usage-ledger", "127.0.0.1:5")]
    flows += [Flow("pivot-link", caller) for caller in ("", "a", ":1", "127.0.0.1:x")]
    flows += [Flow("pivot-link", caller) for caller in ("127.0.0.1:99999", "\0:1")]
    flows.append(Flow("pivot-link", "localhost:5"))
    for flow in flows:
        reply_to = ReplyTo(flow, b"ab", 7, True)
        context.edge.answer(AnswerCaller(reply_to, NeedEcho("none"), b"e"))
    context.unsent = len(flows)


@then("each of those answers is counted as not sent")
def step_unsent(context):
    """Nothing raises."""
    counters = context.recorder.counters
    counted = counters["caller_send_unaddressed"] + counters["caller_send_failed"]
    assert counted == context.unsent, counters


@given("the clock advances by {gap:d} ms when the third event is posted")
def step_pause_in_batch(context, gap):
    """The pause falls between two datagrams of a batch."""
    recorder = context.recorder

    def post(event):
        recorder.post(event)
        if recorder.events.qsize() == 3:
            recorder.now_ms += gap

    context.edge.loop.post_event = post


@when("a caller sends {number:d} commands and the clock advances by {gap:d} ms")
def step_pause(context, number, gap):
    """The commands wait in the kernel while the clock moves."""
    for _ in range(number):
        context.caller.send(COMMAND)
    context.recorder.now_ms += gap
    for _ in range(3):
        context.edge.loop.run_once(0)


@then("{posted:d} commands are posted and {discarded:d} are counted as discarded")
def step_discarded(context, posted, discarded):
    """Nothing that waited during a pause is posted."""
    assert len(context.recorder.drain_events()) == posted
    counted = context.recorder.counters["caller_discarded_after_pause"]
    assert counted == discarded, counted


@when("the running edge is stopped")
def step_run_and_stop(context):
    """The task waits for datagrams when it is stopped."""
    stop, context.task = context.recorder.start(context.edge.run)
    stop.set()
    context.task.join(TIMEOUT_S)


@then("its task has ended")
def step_task_ended(context):
    """The thread of the task has ended."""
    assert not context.task.is_alive()
