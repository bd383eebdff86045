"""Steps for the edge towards targets."""

from aiocoap import Message
from aiocoap.numbers import codes
from aiocoap.numbers.types import NON
from behave import given, then, when
from fixtures import COMMAND, address_of, run_until

from lagoontally_core import AskIdentity, IdentityReply, SendKind, SendUpstream
from lagoontally_edges import UpstreamEdge

TOKEN = b"12345678"
REPLY = bytes.fromhex("48450063") + TOKEN  # confirmable 2.05, no options
NOTIFICATION = REPLY + bytes.fromhex("6105")  # with Observe


def request_to(target, path):
    """Return the action that sends a request to a target."""
    return SendUpstream(target, path, TOKEN, SendKind.REQUEST, "a.b", 4000, COMMAND)


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
    context.reply = REPLY
    context.target_socket.sendto(context.reply, context.path_address)
    run_until(context.edge.loop, lambda: not context.recorder.events.empty())


@when(
    "a request is sent, the target sends a reply and the clock advances by {gap:d} ms"
)
def step_reply_in_pause(context, gap):
    """The reply waits in the kernel."""
    send_in_pause(context, REPLY, gap)


@when(
    "a request is sent, the target sends a notification "
    "and the clock advances by {gap:d} ms"
)
def step_notification_in_pause(context, gap):
    """A notification carries an Observe option."""
    send_in_pause(context, NOTIFICATION, gap)


def send_in_pause(context, data, gap):
    """Let a target's datagram wait while the clock moves."""
    context.edge.send(request_to(context.target, 0))
    _, sender = context.target_socket.recvfrom(2000)
    context.edge.loop.run_once(0)  # registers the socket of the path
    context.target_socket.sendto(data, sender)
    context.recorder.now_ms += gap
    for _ in range(3):
        context.edge.loop.run_once(0)


@then("{posted:d} replies are posted and {discarded:d} are counted as discarded")
def step_replies_posted(context, posted, discarded):
    """An answer that is ready is passed on, a former state isn't."""
    assert len(context.recorder.drain_events()) == posted
    counted = context.recorder.counters["upstream_discarded_after_pause"]
    assert counted == discarded, counted


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
