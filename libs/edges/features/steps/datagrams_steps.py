"""Steps for the edges towards callers and targets."""

from aiocoap import Message
from aiocoap.numbers import codes
from aiocoap.numbers.types import NON
from behave import given, then, when
from fixtures import TIMEOUT_S, address_of

from lagoontally_core import (
    AnswerCaller,
    AskIdentity,
    CallerAck,
    CallerReset,
    Flow,
    IdentityReply,
    NeedEcho,
    ReplyTo,
    SendKind,
    SendUpstream,
)
from lagoontally_edges import CallerEdge, UpstreamEdge

COMMAND = bytes.fromhex("42020007 6162 b170")
TOKEN = b"12345678"


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


def request_to(target, path):
    """Return the action that sends a request to a target."""
    return SendUpstream(target, path, TOKEN, SendKind.REQUEST, "a.b", 4000, COMMAND)


def run_until(loop, done):
    """Run iterations of a loop until a condition holds."""
    for _ in range(200):
        if done():
            return
        loop.run_once(0.1)
    raise AssertionError("the condition never held")


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


@given("an upstream edge and a target")
def step_upstream_edge(context):
    """The target is a plain UDP socket."""
    recorder = context.recorder
    edge = UpstreamEdge(
        address="127.0.0.1",
        post=recorder.post,
        count=recorder.count,
        clock_ms=recorder.clock_ms,
    )
    context.edge = recorder.close_after_scenario(edge)
    context.target_socket = recorder.open_udp()
    context.target = address_of(context.target_socket)


@when("a request is sent on path {path:d} and the target replies confirmably")
def step_reply(context, path):
    """The reply goes to the socket that the request came from."""
    context.edge.send(request_to(context.target, path))
    data, context.path_address = context.target_socket.recvfrom(2000)
    assert Message.decode(data).token == TOKEN
    context.reply = bytes.fromhex("48450063") + TOKEN
    context.target_socket.sendto(context.reply, context.path_address)
    run_until(context.edge.loop, lambda: not context.recorder.events.empty())


@then("the reply is posted with the target and path {path:d}")
def step_reply_posted(context, path):
    """The event names the sender and the path of the reply."""
    event = context.recorder.wait_for_event()
    expected = (context.target, path, TOKEN, context.reply)
    assert (event.target, event.path, event.token, event.body) == expected


@then("the target receives an acknowledgement")
def step_target_acked(context):
    """The acknowledgement names the reply's message id."""
    data, sender = context.target_socket.recvfrom(100)
    assert (data, sender) == (bytes.fromhex("60000063"), context.path_address)


def receive_query(context):
    """Return the next query that the target receives, and its sender."""
    data, sender = context.target_socket.recvfrom(2000)
    return Message.decode(data), sender


def answer_query(sender_socket, query, sender, payload, code=codes.CONTENT):
    """Answer a query from a socket."""
    message = Message(code=code, payload=payload)
    message.mtype, message.mid, message.token = NON, 1, query.token
    sender_socket.sendto(message.encode(), sender)


@when("the target answers the identity query")
def step_answer_identity(context):
    """The paths and the host are those of the protocol."""
    replies = {
        (".well-known", "lagoontally"): b'{"workspace": "w", "service": "s"}',
    }
    context.edge.query_identity(AskIdentity(context.target, "s.w"))
    for _ in replies:
        query, sender = receive_query(context)
        assert query.opt.uri_host == "s.w"
        payload = replies[query.opt.uri_path]
        answer_query(context.target_socket, query, sender, payload)
    run_until(context.edge.loop, lambda: context.recorder.events.qsize() == 1)


@then("the identity is posted")
def step_identity_posted(context):
    """The event names the target, the workspace and the service."""
    expected = [IdentityReply(context.target, "w", "s")]
    assert context.recorder.drain_events() == expected


@when("{number:d} queries are sent 10 seconds apart")
def step_queries_apart(context, number):
    """The target records their senders."""
    context.senders = []
    for _ in range(number):
        context.edge.query_identity(AskIdentity(context.target, "s.w"))
        context.senders.append(receive_query(context)[1])
        context.recorder.now_ms += 10_000


@then("each came from a different socket, of which {number:d} are open")
def step_query_sockets(context, number):
    """The current socket and the previous one are open."""
    assert len(set(context.senders)) == len(context.senders)
    assert len(context.edge.loop.sockets) == number


@when("queries are answered by another sender, with an invalid document and with 4.04")
def step_invalid_answers(context):
    """Only the queried target may answer."""
    other_sender, target = context.recorder.open_udp(), context.target_socket
    good = b'{"workspace": "w", "service": "s"}'
    for sender_socket, payload, code in (
        (other_sender, good, codes.CONTENT),
        (target, b'{"workspace": 1}', codes.CONTENT),
        (target, good, codes.NOT_FOUND),
    ):
        context.edge.query_identity(AskIdentity(context.target, "s.w"))
        answer_query(sender_socket, *receive_query(context), payload, code)
    counters = context.recorder.counters
    run_until(context.edge.loop, lambda: sum(counters.values()) == 3)


@then("no answer is posted and each is counted")
def step_invalid_counted(context):
    """Each fault has its own counter."""
    assert context.recorder.drain_events() == []
    assert context.recorder.counters == {
        "upstream_unasked_answer": 1,
        "upstream_question_faulty_answer": 1,
        "upstream_question_refused": 1,
    }


@when("requests are sent on path 0 and on {number:d} others")
def step_many_paths(context, number):
    """Each path opens a socket."""
    for path in range(number + 1):
        context.edge.send(request_to(context.target, path))
    context.edge.loop.run_once(0)


@then("{number:d} sockets are open, path 0 among them")
def step_paths_bounded(context, number):
    """The paths unused for longest were closed."""
    open_paths = set(context.edge.loop.sockets)
    assert open_paths == {0, *range(7, 71)}, open_paths
    assert len(open_paths) == number
    # The selector also holds the loop's wakeup socket.
    assert len(context.edge.loop.selector.get_map()) == number + 1


@when("{number:d} requests are sent on alternating paths")
def step_many_requests(context, number):
    """The target records the message ids."""
    context.message_ids = []
    for index in range(number):
        context.edge.send(request_to(context.target, index % 3))
        context.message_ids.append(receive_query(context)[0].mid)


@then("their message ids are consecutive")
def step_message_ids(context):
    """Each is one above the last, with 0 after the highest."""
    first = context.message_ids[0]
    expected = [(first + index) % 65536 for index in range(len(context.message_ids))]
    assert context.message_ids == expected


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
