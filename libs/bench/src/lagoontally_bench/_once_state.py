"""Immutable state of the at-most-once model."""

from typing import Any, NamedTuple

from ._snapshots import Balancer, digest_of


class Budget(NamedTuple):
    """How often each event may still happen.

    Attributes:
        copies: Arrivals of one datagram of the caller.
        attempts: Datagrams of one command, each with another Echo.
        rebinds: Arrivals from the rebound address.
        ticks: Short time steps.
        jumps: Long time steps.
        leaves: Planned leaves.
        crashes: Crashes.
        freezes: Freezes.
        declares: Declarations of one balancer as dead by another, right or wrong.
        sheds: Requests that a target sheds.
    """

    copies: int = 2
    attempts: int = 2
    rebinds: int = 0
    ticks: int = 0
    jumps: int = 0
    leaves: int = 0
    crashes: int = 0
    freezes: int = 0
    declares: int = 0
    sheds: int = 0


class Message(NamedTuple):
    """A message in flight.

    Attributes:
        kind: ``request``, ``peer``, ``upstream``, ``reply`` or ``answer``.
        to: Name of the receiving balancer; empty for other receivers.
        payload: Its content.
        text: Its description in traces.
        copies: How often it may still arrive.
    """

    kind: str
    to: str
    payload: Any
    text: str
    copies: int = 1

    def key(self):
        """Return a key that is the same for equal messages."""
        return digest_of((self.kind, self.to, self.payload))


class Command(NamedTuple):
    """The caller's state of one command.

    Attributes:
        status: ``idle``, ``waiting`` or its outcome.
        attempt: Number of the latest datagram, from 1.
    """

    status: str = "idle"
    attempt: int = 0


class World(NamedTuple):
    """One state of the model.

    Attributes:
        now_ms: The time.
        balancers: The balancers.
        messages: The messages in flight, by key.
        commands: The caller's commands.
        budget: What may still happen.
        echo: The caller's newest Echo.
        runs: ``(command, attempt)`` of each datagram that a target ran.
        denied: ``(command, attempt)`` of those that were answered as not run.
        fault: A promise broken by the last move, or empty.
    """

    now_ms: int
    balancers: tuple[Balancer, ...]
    messages: dict[bytes, Message]
    commands: tuple[Command, ...]
    budget: Budget
    echo: bytes = b""
    runs: tuple = ()
    denied: frozenset = frozenset()
    fault: str = ""

    def index_of(self, name):
        """Return the position of a balancer."""
        return next(
            number
            for number, item in enumerate(self.balancers)
            if item.info.name == name
        )

    def with_command(self, number, command):
        """Return the state with one command changed."""
        commands = list(self.commands)
        commands[number] = command
        return self._replace(commands=tuple(commands))

    def with_message(self, message):
        """Return the state with a message added."""
        return self._replace(messages={**self.messages, message.key(): message})

    def without(self, key):
        """Return the state without one copy of a message."""
        return self._replace(messages=without_copy(self.messages, key))


def without_copy(messages, key):
    """Return the messages without one copy of one of them."""
    messages = dict(messages)
    message = messages.pop(key)
    if message.copies > 1:
        messages[key] = message._replace(copies=message.copies - 1)
    return messages


def body_of(command, attempt, echo):
    """Return the datagram of a command's attempt, which includes its Echo."""
    return bytes([command, attempt]) + echo


def datagram_of(body):
    """Return the command and the attempt of a datagram."""
    return body[0], body[1]
