"""Hands changes from a control server's threads to the loop that owns the state."""

import socket
from collections.abc import Callable
from concurrent.futures import Future
from queue import SimpleQueue

WAKE_BYTES = 4096


class ControlInbox:
    """Changes that wait for a loop, with a socket that wakes its selector.

    Attributes:
        wake_in: Becomes readable when a change waits.
    """

    def __init__(self):
        self.changes: SimpleQueue = SimpleQueue()
        self.wake_in, self.wake_out = socket.socketpair()

    def submit(self, change: dict | None) -> Future:
        """Hand over a change, or None to end the loop.

        Args:
            change: New values by name.

        Returns:
            A future that is done once the change is in force; it holds a
            ``ValueError`` for a change that was refused.
        """
        done: Future = Future()
        self.changes.put((change, done))
        self.wake_out.send(b"w")
        return done

    def clear_wake(self) -> None:
        """Read what woke the selector."""
        self.wake_in.recv(WAKE_BYTES)

    def apply(self, change_state: Callable[[dict], None]) -> bool:
        """Apply the waiting changes.

        Args:
            change_state: Puts one change in force.

        Returns:
            False once the loop is to end.
        """
        while not self.changes.empty():
            change, done = self.changes.get()
            if change is None:
                done.set_result(None)
                return False
            try:
                change_state(change)
                done.set_result(None)
            except (ValueError, TypeError, AttributeError) as error:
                done.set_exception(ValueError(str(error)))
        return True

    def close(self) -> None:
        """Close the sockets."""
        self.wake_in.close()
        self.wake_out.close()
