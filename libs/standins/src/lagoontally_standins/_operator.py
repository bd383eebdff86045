"""Asks a balancer at its operator address."""

import json

import pynng

from ._fleet import OPERATOR_PORT

ANSWER_WAIT_MS = 2_000


def ask_balancer(address: str, query: str, *, argument: str = "") -> dict:
    """Send one query and wait for its answer.

    Args:
        address: IP address of the balancer.
        query: ``status``, ``explain`` or ``drain``.
        argument: What to explain.

    Returns:
        The answer, or ``{"error": reason}`` where none came.
    """
    request = json.dumps({"query": query, "argument": argument}).encode()
    waits = {"send_timeout": ANSWER_WAIT_MS, "recv_timeout": ANSWER_WAIT_MS}
    try:
        with pynng.Req0(**waits) as socket:
            socket.dial(f"tcp://{address}:{OPERATOR_PORT}", block=False)
            socket.send(request)
            return json.loads(socket.recv())
    except (pynng.NNGException, ValueError) as error:
        return {"error": f"no answer from {address}: {error}"}
