"""Queries a balancer at its operator address."""

import json
from typing import Any, NamedTuple

import click
import pynng

from lagoontally_model import is_address

ANSWER_TIMEOUT_S = 3.0
MS_PER_S = 1000


class OperatorAddress(click.ParamType):
    """``IP:port`` of a balancer's operator port, given on the command line."""

    name = "IP:port"

    def convert(self, value, param, ctx):
        """Reject a value that isn't a numeric address and port."""
        if not is_address(value):
            self.fail(f"{value!r} is not IP:port in numbers", param, ctx)
        return value


class Unreachable(NamedTuple):
    """No usable answer was received."""

    reason: str


class Declined(NamedTuple):
    """The balancer answered with an error."""

    reason: str


def send_query(
    address: str, query: str, *, argument: str = "", timeout_s: float = ANSWER_TIMEOUT_S
) -> dict[str, Any] | Declined | Unreachable:
    """Send one query and wait for its answer.

    Args:
        address: ``IP:port`` of the balancer's operator port.
        query: ``status``, ``explain`` or ``drain``.
        argument: The subject of ``explain``, otherwise empty.
        timeout_s: Timeout for sending, and again for receiving the answer.

    Returns:
        The answer, or why there is none.
    """
    request = json.dumps({"query": query, "argument": argument}).encode()
    try:
        data = send_and_receive(address, request, round(timeout_s * MS_PER_S))
    except pynng.Timeout:
        return Unreachable(f"no answer from {address} within {timeout_s:g} s")
    except pynng.NNGException as error:
        return Unreachable(f"no connection to {address}: {error}")
    return decode_answer(address, data)


def send_and_receive(address: str, request: bytes, timeout_ms: int) -> bytes:
    """Send a request over a new connection and return the answer."""
    # A non-blocking dial lets the send timeout cover connecting too.
    with pynng.Req0(send_timeout=timeout_ms, recv_timeout=timeout_ms) as socket:
        socket.dial(f"tcp://{address}", block=False)
        socket.send(request)
        return socket.recv()


def decode_answer(address: str, data: bytes) -> dict[str, Any] | Declined | Unreachable:
    """Decode an answer, which must be a JSON object."""
    try:
        answer = json.loads(data)
    except (ValueError, RecursionError):
        return Unreachable(f"{address} sent an answer that isn't JSON")
    if not isinstance(answer, dict):
        return Unreachable(f"{address} sent an answer that isn't an object")
    if "error" in answer:
        return Declined(str(answer["error"]))
    return answer
