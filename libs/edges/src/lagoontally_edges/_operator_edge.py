"""The edge towards operators: JSON over a pynng ``Rep0`` socket."""

import itertools
import time
from queue import Empty, SimpleQueue
from typing import Literal

import msgspec
import pynng

from lagoontally_core import Count, OperatorQuery

from ._datagrams import ignore_count
from ._receive import NothingReceived, receive

RECEIVE_TIMEOUT_MS = 100
POLL_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 2.0
MAX_REQUEST_BYTES = 1 << 16


class _RequestDocument(msgspec.Struct):
    query: Literal["status", "explain", "drain"]
    argument: str = ""


_REQUEST_DECODER = msgspec.json.Decoder(_RequestDocument)


def decode_operator_request(data, query_id):
    """Decode an operator's request.

    Args:
        data: The encoded request.
        query_id: Id that the answer to the query carries.

    Returns:
        ``OperatorQuery``, or an error message.
    """
    try:
        document = _REQUEST_DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError) as error:
        return f"the request is invalid: {error}"
    return OperatorQuery(query_id, document.query, document.argument)


def encode_operator_answer(result):
    """Encode the answer to an operator, or an error if it isn't serializable."""
    try:
        return msgspec.json.encode(result)
    except (msgspec.MsgspecError, TypeError, ValueError, RecursionError) as error:
        return encode_error(f"the answer can't be encoded: {error}")


def encode_error(reason):
    """Encode an answer that states why a request failed."""
    return msgspec.json.encode({"error": reason})


class OperatorEdge:
    """Receives operators' queries and answers them one at a time.

    Args:
        address: ``IP:port`` to listen on; port 0 lets the system choose.
        post: Called with each event for the core.
        count: Called with each ``Count``.
        answer_timeout_s: Time limit for the core's answer.

    Raises:
        pynng.NNGException: If listening on the address fails.
    """

    def __init__(
        self, *, address, post, count=ignore_count, answer_timeout_s=ANSWER_TIMEOUT_S
    ):
        self.post = post
        self.count = count
        self.answer_timeout_s = answer_timeout_s
        self.query_ids = itertools.count(1)
        self.answers = SimpleQueue()
        self.socket = pynng.Rep0(
            recv_timeout=RECEIVE_TIMEOUT_MS, recv_max_size=MAX_REQUEST_BYTES
        )
        listener = self.socket.listen(f"tcp://{address}")
        self.listen_address = str(listener.local_address)

    def answer(self, action):
        """Queue the answer of an ``AnswerOperator`` for the waiting query."""
        self.answers.put(action)

    def run(self, stop):
        """Answer operators until ``stop`` is set."""
        while not stop.is_set():
            self.serve_one(stop)

    def serve_one(self, stop):
        """Wait briefly for a request and answer it."""
        data = receive(self.socket)
        if isinstance(data, NothingReceived):
            if data.failed:
                self.increment("receive_failed")
            return
        reply = self.handle_request(data, stop)
        try:
            self.socket.send(reply, block=False)
        except pynng.NNGException:
            self.increment("send_failed")

    def handle_request(self, data, stop):
        """Return the encoded answer to an encoded request."""
        query = decode_operator_request(data, next(self.query_ids))
        if isinstance(query, str):
            self.increment("faulty")
            return encode_error(query)
        self.post(query)
        return self.wait_for_answer(query.query_id, stop)

    def wait_for_answer(self, query_id, stop):
        """Return the encoded answer to a query, or an error on timeout."""
        deadline_s = time.monotonic() + self.answer_timeout_s
        while time.monotonic() < deadline_s and not stop.is_set():
            try:
                action = self.answers.get(timeout=POLL_INTERVAL_S)
            except Empty:
                continue
            # Answers to earlier queries that have timed out are dropped.
            if action.query_id == query_id:
                return encode_operator_answer(action.result)
        self.increment("unanswered")
        return encode_error(f"no answer within {self.answer_timeout_s} s")

    def increment(self, counter):
        """Increment a counter of this edge."""
        self.count(Count(f"operator_{counter}"))

    def close(self):
        """Close the socket; call it once ``run`` has returned."""
        self.socket.close()
