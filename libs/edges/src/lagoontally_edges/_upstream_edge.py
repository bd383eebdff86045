"""The edge towards targets: one UDP socket for each path."""

import secrets
from collections import OrderedDict, deque
from threading import Lock
from typing import NamedTuple

import msgspec
from aiocoap.numbers.types import ACK

from lagoontally_core import IdentityReply, UpstreamReply

from ._coap import (
    decode_content,
    decode_upstream,
    encode_empty,
    encode_get,
    encode_upstream,
)
from ._coap_validation import Malformed
from ._datagrams import BindFailed, DatagramLoop, ignore_count
from ._pause import monotonic_ms

DEFAULT_PATH = 0
MAX_PATHS = 64
MAX_PENDING_QUERIES = 4096
MAX_MESSAGE_ID_TARGETS = 4096
MESSAGE_ID_COUNT = 1 << 16
# The core's tokens have 8 bytes, so the length distinguishes the two kinds.
QUERY_TOKEN_BYTES = 6
QUERY_REMAINING_MS = 1000
QUERY_PATHS = (-1, -2)
QUERY_PATH_LIFETIME_MS = 10_000
IDENTITY_PATH = (".well-known", "lagoontally")


class PendingQuery(NamedTuple):
    """A query sent by this edge that waits for its answer."""

    target: str
    decoder: msgspec.json.Decoder
    reply_type: type


class _Identity(msgspec.Struct):
    workspace: str
    service: str


_IDENTITY_DECODER = msgspec.json.Decoder(_Identity)


class UpstreamEdge:
    """Sends requests and identity queries to targets and posts their replies.

    Args:
        address: IP address to bind the sockets to.
        post: Called with each event for the core.
        count: Called with each ``Count``.
        clock_ms: Returns the monotonic clock in milliseconds.
    """

    def __init__(self, *, address, post, count=ignore_count, clock_ms=monotonic_ms):
        self.address = address
        self.clock_ms = clock_ms
        self.query_paths = deque(QUERY_PATHS)
        self.query_path_expiry_ms = clock_ms()
        self.loop = DatagramLoop(
            name="upstream",
            handle=self.handle,
            post=post,
            count=count,
            clock_ms=clock_ms,
            discards_after_pause=False,
        )
        self.lock = Lock()
        self.paths = OrderedDict()
        self.pending_queries = OrderedDict()
        self.last_message_ids = OrderedDict()

    def send(self, action):
        """Send the request of a ``SendUpstream``; delivery isn't guaranteed."""
        data = encode_upstream(action, self.next_message_id(action.target))
        if isinstance(data, Malformed):
            self.loop.increment("unencodable")
            return
        self.send_on_path(action.path, data, action.target)

    def query_identity(self, action):
        """Query a target for the workspace and service that it serves."""
        self.send_query(action, IDENTITY_PATH, _IDENTITY_DECODER, IdentityReply)

    def send_query(self, action, path, decoder, reply_type):
        """Send a GET whose answer is posted as a ``reply_type``."""
        token = secrets.token_bytes(QUERY_TOKEN_BYTES)
        with self.lock:
            self.pending_queries[token] = PendingQuery(
                action.target, decoder, reply_type
            )
            if len(self.pending_queries) > MAX_PENDING_QUERIES:
                self.pending_queries.popitem(last=False)
        message_id = self.next_message_id(action.target)
        data = encode_get(path, action.host, token, message_id, QUERY_REMAINING_MS)
        self.send_on_path(self.current_query_path(), data, action.target)

    def current_query_path(self):
        """Return the path for queries, whose socket is replaced periodically.

        Otherwise a socket whose network path to a target drops packets would leave
        the target's identity unknown forever. Two paths alternate, so that late
        answers to the previous one still arrive.
        """
        now_ms = self.clock_ms()
        if now_ms >= self.query_path_expiry_ms:
            self.query_path_expiry_ms = now_ms + QUERY_PATH_LIFETIME_MS
            self.query_paths.rotate()
            self.loop.retire(self.query_paths[0])
        return self.query_paths[0]

    def next_message_id(self, target):
        """Return the next message id for a target.

        A target treats a message id that recurs within minutes as a duplicate, so
        each target has its own sequence.
        """
        last = self.last_message_ids.pop(target, None)
        if last is None:
            last = secrets.randbelow(MESSAGE_ID_COUNT)
        message_id = (last + 1) % MESSAGE_ID_COUNT
        self.last_message_ids[target] = message_id
        if len(self.last_message_ids) > MAX_MESSAGE_ID_TARGETS:
            self.last_message_ids.popitem(last=False)
        return message_id

    def send_on_path(self, path, data, target):
        """Send a datagram on a path, which is opened at its first use."""
        if path not in self.loop.sockets:
            bound = self.loop.open(path, self.address)
            if isinstance(bound, BindFailed):
                return
        self.track_path(path)
        self.loop.send(path, data, target)

    def track_path(self, path):
        """Mark a path as used and close the least recently used beyond the limit."""
        if path == DEFAULT_PATH or path in QUERY_PATHS:
            return
        with self.lock:
            self.paths[path] = None
            self.paths.move_to_end(path)
            if len(self.paths) <= MAX_PATHS:
                return
            idle, _ = self.paths.popitem(last=False)
        self.loop.retire(idle)
        self.loop.increment("path_closed")

    def handle(self, datagram):
        """Decode a target's datagram, post the event and acknowledge it."""
        decoded = decode_upstream(datagram.data)
        if isinstance(decoded, Malformed):
            self.loop.increment("malformed")
            return
        is_query = len(decoded.token) == QUERY_TOKEN_BYTES
        if self.loop.stale and (is_query or decoded.observed):
            # Notifications and answers to queries describe a state that may have
            # changed during the pause. The answer to a request stays valid.
            self.loop.increment("discarded_after_pause")
            return
        host, port = datagram.sender
        target = f"{host}:{port}"
        if is_query:
            self.post_query_answer(decoded.token, target, datagram.data)
        else:
            self.refresh_path(datagram.key)
            self.post_request_reply(decoded, target, datagram)
        if decoded.confirmable:
            ack = encode_empty(ACK, decoded.message_id)
            self.loop.send(datagram.key, ack, target)

    def post_request_reply(self, decoded, target, datagram):
        """Post a target's reply to a request of the core."""
        reply = UpstreamReply(
            target,
            datagram.key,
            decoded.token,
            decoded.status,
            decoded.observed,
            decoded.retry_after_s,
            datagram.data,
        )
        self.loop.post(reply)

    def refresh_path(self, path):
        """Mark a path as used if it is still open."""
        with self.lock:
            if path in self.paths:
                self.paths.move_to_end(path)

    def post_query_answer(self, token, target, data):
        """Post the answer to a query, or count it when it is invalid."""
        with self.lock:
            query = self.pending_queries.get(token)
            if query is None or query.target != target:
                query = None
            else:
                del self.pending_queries[token]
        if query is None:
            self.loop.increment("unasked_answer")
            return
        content = decode_content(data)
        if isinstance(content, Malformed):
            self.loop.increment("question_refused")
            return
        try:
            document = query.decoder.decode(content)
        except (msgspec.MsgspecError, ValueError):
            self.loop.increment("question_faulty_answer")
            return
        fields = msgspec.structs.astuple(document)
        self.loop.post(query.reply_type(target, *fields))

    def run(self, stop):
        """Read targets' datagrams until ``stop`` is set."""
        self.loop.run(stop)

    def close(self):
        """Close every socket; call it once ``run`` has returned."""
        self.loop.close()
