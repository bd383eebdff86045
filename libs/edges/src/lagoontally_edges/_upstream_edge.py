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
    encode_question,
    encode_upstream,
)
from ._coap_checks import Malformed
from ._datagrams import BindFailed, DatagramLoop, ignore_count
from ._pause import monotonic_ms

DEFAULT_PATH = 0
MAX_PATHS = 64
MAX_QUESTIONS = 4096
MAX_COUNTED_TARGETS = 4096
MESSAGE_ID_COUNT = 1 << 16
# The core's tokens have 8 bytes, so a length tells the two kinds apart.
QUESTION_TOKEN_BYTES = 6
QUESTION_REMAINING_MS = 1000
QUESTION_PATHS = (-1, -2)
QUESTION_PATH_MS = 10_000
IDENTITY_PATH = (".well-known", "lagoontally")


class Question(NamedTuple):
    """A question of this edge's own that waits for its answer."""

    target: str
    decoder: msgspec.json.Decoder
    reply_type: type


class _Identity(msgspec.Struct):
    workspace: str
    service: str


_IDENTITY_DECODER = msgspec.json.Decoder(_Identity)


class UpstreamEdge:
    """Sends requests and questions to targets and posts their replies.

    Args:
        address: IP number that the sockets are bound at.
        post: Takes events for the core.
        count: Takes ``Count``.
        clock_ms: Returns the monotonic clock in milliseconds.
    """

    def __init__(self, *, address, post, count=ignore_count, clock_ms=monotonic_ms):
        self.address = address
        self.clock_ms = clock_ms
        self.question_paths = deque(QUESTION_PATHS)
        self.question_path_due_ms = clock_ms()
        self.loop = DatagramLoop(
            name="upstream",
            handle=self.handle,
            post=post,
            count=count,
            clock_ms=clock_ms,
        )
        self.lock = Lock()
        self.paths = OrderedDict()
        self.questions = OrderedDict()
        self.message_ids = OrderedDict()

    def send(self, action):
        """Send the request of a ``SendUpstream``; it may be lost."""
        data = encode_upstream(action, self.next_message_id(action.target))
        if isinstance(data, Malformed):
            self.loop.add("unencodable")
            return
        self.send_by(action.path, data, action.target)

    def ask_identity(self, action):
        """Ask a target which workspace and service it serves."""
        self.ask(action, IDENTITY_PATH, _IDENTITY_DECODER, IdentityReply)

    def ask(self, action, path, decoder, reply_type):
        """Send a GET whose answer becomes a ``reply_type``."""
        token = secrets.token_bytes(QUESTION_TOKEN_BYTES)
        with self.lock:
            self.questions[token] = Question(action.target, decoder, reply_type)
            if len(self.questions) > MAX_QUESTIONS:
                self.questions.popitem(last=False)
        message_id = self.next_message_id(action.target)
        data = encode_question(
            path, action.host, token, message_id, QUESTION_REMAINING_MS
        )
        self.send_by(self.question_path(), data, action.target)

    def question_path(self):
        """Return the path for questions, a new socket every few seconds.

        A socket whose way to a target has gone silent would else keep the target
        unknown for good. Two take turns, so that late answers still arrive.
        """
        now_ms = self.clock_ms()
        if now_ms >= self.question_path_due_ms:
            self.question_path_due_ms = now_ms + QUESTION_PATH_MS
            self.question_paths.rotate()
            self.loop.retire(self.question_paths[0])
        return self.question_paths[0]

    def next_message_id(self, target):
        """Return a message id that this target hasn't seen for long.

        Targets take a message id that comes again within minutes for a
        duplicate, so each target has a sequence of its own.
        """
        last = self.message_ids.pop(target, None)
        if last is None:
            last = secrets.randbelow(MESSAGE_ID_COUNT)
        message_id = (last + 1) % MESSAGE_ID_COUNT
        self.message_ids[target] = message_id
        if len(self.message_ids) > MAX_COUNTED_TARGETS:
            self.message_ids.popitem(last=False)
        return message_id

    def send_by(self, path, data, target):
        """Send a datagram by a path, which is opened at its first use."""
        if path not in self.loop.sockets:
            opened = self.loop.open(path, self.address)
            if isinstance(opened, BindFailed):
                return
        self.touch(path)
        self.loop.send(path, data, target)

    def touch(self, path):
        """Note that a path is in use, and close the one unused for longest."""
        if path == DEFAULT_PATH or path in QUESTION_PATHS:
            return
        with self.lock:
            self.paths[path] = None
            self.paths.move_to_end(path)
            if len(self.paths) <= MAX_PATHS:
                return
            idle, _ = self.paths.popitem(last=False)
        self.loop.retire(idle)
        self.loop.add("path_closed")

    def handle(self, datagram):
        """Post what a target's datagram says."""
        decoded = decode_upstream(datagram.data)
        if isinstance(decoded, Malformed):
            self.loop.add("malformed")
            return
        host, port = datagram.sender
        target = f"{host}:{port}"
        if len(decoded.token) == QUESTION_TOKEN_BYTES:
            self.post_answer(decoded.token, target, datagram.data)
        else:
            self.note_use(datagram.key)
            self.post_reply(decoded, target, datagram)
        # A reply that a pause has made stale isn't acknowledged: it comes again.
        if decoded.confirmable and not self.loop.stale:
            ack = encode_empty(ACK, decoded.message_id)
            self.loop.send(datagram.key, ack, target)

    def post_reply(self, decoded, target, datagram):
        """Post a target's reply to one of the core's tokens."""
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

    def note_use(self, path):
        """Note that a path that is still open has received a datagram."""
        with self.lock:
            if path in self.paths:
                self.paths.move_to_end(path)

    def post_answer(self, token, target, data):
        """Post the answer to a question, or count it when it has another form."""
        with self.lock:
            question = self.questions.get(token)
            if question is None or question.target != target:
                question = None
            else:
                del self.questions[token]
        if question is None:
            self.loop.add("unasked_answer")
            return
        content = decode_content(data)
        if isinstance(content, Malformed):
            self.loop.add("question_refused")
            return
        try:
            document = question.decoder.decode(content)
        except (msgspec.MsgspecError, ValueError):
            self.loop.add("question_faulty_answer")
            return
        fields = msgspec.structs.astuple(document)
        self.loop.post(question.reply_type(target, *fields))

    def run(self, stop):
        """Read targets' datagrams until ``stop`` is set."""
        self.loop.run(stop)

    def close(self):
        """Close every socket; call it once ``run`` has returned."""
        self.loop.close()
