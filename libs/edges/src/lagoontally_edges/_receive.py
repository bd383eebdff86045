"""Receiving from pynng sockets."""

from typing import NamedTuple

import pynng


class NothingReceived(NamedTuple):
    """No message was received.

    Attributes:
        failed: True if the socket failed, False on timeout.
    """

    failed: bool


def receive(socket):
    """Wait for a message until the socket's receive timeout.

    Args:
        socket: A pynng socket.

    Returns:
        The message, or ``NothingReceived``.
    """
    try:
        return socket.recv()
    except pynng.Timeout:
        return NothingReceived(failed=False)
    except pynng.NNGException:
        return NothingReceived(failed=True)
    except RuntimeError:
        # pynng 0.9 raises it for an empty message, which has no buffer.
        return b""
