"""The state of the at-most-once model, as immutable data."""

from typing import Any, NamedTuple

from ._snapshots import Balancer, digest_of


class Budget(NamedTuple):
    """How often each thing may still happen.

    Attributes:
        copies: Arrivals of one datagram of the caller.
        attempts: Datagrams of one command, each with another Echo.
        rebinds: Arrivals from the rebound address.
        ticks: Short passages of time.
        jumps: Long passages of time.
        leaves: Planned leaves.
        crashes: Crashes.
        freezes: Freezes.
        declares: Balancers that one other declares dead, rightly or not.
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
    """A message on its way.

    Attributes:
        what: ``request``, ``peer``, ``upstream``, ``reply`` or ``answer``.
        to: Name of the balancer that it goes to; empty where it goes elsewhere.
        payload: What it carries.
        text: How traces name it.
        copies: How often it may still arrive.
    """

    kind: str
    to: str
    payload: Any
    text: str
    copies: int = 1

    def key(self):
        """Return what equal messages have in common."""
        return digest_of((self.kind, self.to, self.payload))


class Command(NamedTuple):
    """What the caller holds of one command.

    Attributes:
        status: ``idle``, ``waiting`` or what it was told in the end.
        attempt: Number of the latest datagram, from 1.
    """

    status: str = "idle"
    attempt: int = 0


class World(NamedTuple):
    """One state of the model.

    Attributes:
        now_ms: The time.
        balancers: The balancers.
        messages: What is on its way, by key.
        commands: The caller's commands.
        budget: What may still happen.
        echo: The newest Echo that the caller holds.
        runs: ``(command, attempt)`` of each datagram that a target ran.
        denied: ``(command, attempt)`` of those that were answered as not run.
        fault: A broken promise that was seen at once, or empty.
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
        """Return the state with one copy of a message less."""
        return self._replace(messages=without_copy(self.messages, key))


def without_copy(messages, key):
    """Return messages with one copy of one of them less."""
    messages = dict(messages)
    message = messages.pop(key)
    if message.copies > 1:
        messages[key] = message._replace(copies=message.copies - 1)
    return messages


def body_of(command, attempt, echo):
    """Return the datagram of a command's attempt; it holds its Echo."""
    return bytes([command, attempt]) + echo


def datagram_of(body):
    """Return the command and attempt that a datagram is of."""
    return body[0], body[1]
