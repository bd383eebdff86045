"""The receiving thread: it owns the sockets, the calls and the lines."""

import functools
import logging
import queue
import selectors
import socket
import time
from collections import OrderedDict
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, NamedTuple

from ._codec import ACK, CON, GET, RST, Malformed, Request, decode_reply, encode_empty
from ._exchange import Exchange
from ._line import ChangeSocket, Deliver, SendDatagram
from ._path import PathSet
from ._results import NotRun, Unknown

WAIT_LIMIT_S = 1.0
LINE_CLOSE_S = 3.0
RETIRED_PATH_KEPT_S = 60.0
ENDED_TOKENS_LIMIT = 512
WAKE_BYTES = 4096

log = logging.getLogger("lagoontally.caller")


class StartCall(NamedTuple):
    """Run a call; ``build(echoes, now_s)`` returns its decisions."""

    build: Any
    future: Future


class OpenLine(NamedTuple):
    """Open a line."""

    line: Any


class CloseLine(NamedTuple):
    """Close a line."""

    line: Any


class StopLoop(NamedTuple):
    """End the thread."""


class _Call:
    """A call under way, on one path."""

    def __init__(self, machine, future, path, now_s, *, closes_line=False):
        self.closes_line = closes_line
        self.machine = machine
        self.future = future
        self.path = path
        self.started_s = now_s


class Loop:
    """Runs calls and lines over UDP until told to stop.

    Attributes:
        inbox: Messages to the thread.
        paths: The sockets.
        routes: The call or line behind each token.
        malformed: Datagrams received that weren't CoAP.
    """

    def __init__(self, entry, *, local_ip, identifiers, clock=time.monotonic):
        self.clock = clock
        self.identifiers = identifiers
        self.inbox = queue.SimpleQueue()
        self.paths = PathSet(entry, local_ip=local_ip, now_s=clock())
        self.routes = {}
        self.calls = set()
        self.lines = {}
        self.ended_tokens = OrderedDict()
        self.malformed = 0
        self.stopping = False
        self.ended = False
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.wake_reader.setblocking(False)
        self.wake_writer.setblocking(False)
        self.paths.selector.register(self.wake_reader, selectors.EVENT_READ, None)
        self.notifier = ThreadPoolExecutor(1, thread_name_prefix="caller-lines")

    def post(self, message):
        """Pass a message to the thread."""
        self.inbox.put(message)
        if self.ended:
            self._refuse_messages()
            return
        try:
            self.wake_writer.send(b"\0")
        except OSError:
            # Full, so the thread is about to wake, or it has stopped.
            return

    def run(self):
        """Run until a ``StopLoop`` message."""
        try:
            self._run()
        finally:
            self._end()

    def _run(self):
        """Handle sockets, messages and timers in turn."""
        while not self.stopping:
            for key, _ in self.paths.selector.select(self._wait_s()):
                self._on_readable(key)
            self._take_messages()
            self._run_timers()
            self._discard_paths()

    def _wait_s(self):
        """Return how long nothing has to be done."""
        due = [call.machine.due_s for call in self.calls]
        due += [line.registration.due_s for line in self.lines]
        wait_s = min(due, default=self.clock() + WAIT_LIMIT_S) - self.clock()
        return min(max(wait_s, 0.0), WAIT_LIMIT_S)

    def _on_readable(self, key):
        """Read a socket that has something."""
        path = key.data
        if path is None:
            self.wake_reader.recv(WAKE_BYTES)
            return
        for datagram in path.receive():
            self._on_datagram(path, datagram)

    def _on_datagram(self, path, datagram):
        """Acknowledge a datagram and pass it to its call or line."""
        now_s = self.clock()
        reply = decode_reply(datagram)
        if isinstance(reply, Malformed):
            self.malformed += 1
            return
        path.received_s = now_s
        owner = self.routes.get((path, reply.token)) if reply.code else None
        self._acknowledge(path, reply, owner)
        if isinstance(owner, _Call):
            self._advance(owner, owner.machine.on_reply(reply, now_s))
        elif owner is not None:
            actions = owner.registration.on_reply(reply, path.echo_store, now_s)
            self._do_line(owner, actions)

    def _acknowledge(self, path, reply, owner):
        """Answer a confirmable message as its token deserves."""
        if reply.type != CON:
            return
        known = owner is not None or (path, reply.token) in self.ended_tokens
        answer = ACK if known and reply.code else RST
        path.send(encode_empty(answer, reply.message_id))

    def _take_messages(self):
        """Handle what was posted."""
        while True:
            try:
                message = self.inbox.get_nowait()
            except queue.Empty:
                return
            self._handle(message)

    @functools.singledispatchmethod
    def _handle(self, message):
        """Handle one message by its type."""
        raise TypeError(f"unknown message {message!r}")

    @_handle.register
    def _(self, message: StartCall):
        if not message.future.set_running_or_notify_cancel():
            return
        now_s = self.clock()
        path = self.paths.current
        machine = message.build(path.echo_store, now_s)
        call = _Call(machine, message.future, path, now_s)
        self.calls.add(call)
        self._advance(call, machine.start(now_s))

    @_handle.register
    def _(self, message: OpenLine):
        line = message.line
        self.lines[line] = self.paths.current
        actions = line.registration.open(self.paths.current.echo_store, self.clock())
        self._do_line(line, actions)

    @_handle.register
    def _(self, message: CloseLine):
        line = message.line
        path = self.lines.pop(line, None)
        if path is None:
            return
        self._forget(line)
        now_s = self.clock()
        machine = Exchange(
            Request(GET, line.registration.request.path, observe=1),
            deadline_s=now_s + LINE_CLOSE_S,
            identifiers=self.identifiers,
            echo_store=line.registration.echo_store(path.echo_store, now_s),
            token=line.registration.token,
        )
        call = _Call(machine, Future(), path, now_s, closes_line=True)
        self.calls.add(call)
        self._advance(call, machine.start(now_s))

    @_handle.register
    def _(self, _message: StopLoop):
        for line in list(self.lines):
            self._handle(CloseLine(line))
        self.stopping = True

    def _advance(self, call, datagrams):
        """Send what a call wants to send, and end it when it is done."""
        for token in call.machine.tokens:
            self.routes[(call.path, token)] = call
        for datagram in datagrams:
            call.path.send(datagram)
        outcome = call.machine.outcome
        if outcome is None:
            return
        self.calls.discard(call)
        self._forget(call)
        if isinstance(outcome, Unknown) and call.path.received_s < call.started_s:
            # Nothing came back at all: the path itself may be lost.
            self.paths.replace(call.path, now_s=self.clock())
        call.future.set_result(outcome)

    def _forget(self, owner):
        """Drop the tokens of a call or line."""
        ended = [key for key, value in self.routes.items() if value is owner]
        for key in ended:
            del self.routes[key]
            if isinstance(owner, _Call) and not owner.closes_line:
                self.ended_tokens[key] = None
        while len(self.ended_tokens) > ENDED_TOKENS_LIMIT:
            self.ended_tokens.popitem(last=False)

    def _do_line(self, line, actions):
        """Carry out what a line decided."""
        for action in actions:
            self._do(action, line)
        self._route_line(line)

    def _route_line(self, line):
        """Route the line's current token to it, and no older one."""
        key = (self.lines[line], line.registration.token)
        if self.routes.get(key) is line:
            return
        self._forget(line)
        self.routes[key] = line

    @functools.singledispatchmethod
    def _do(self, action, line):
        """Carry out one action of a line by its type."""
        raise TypeError(f"unknown action {action!r}")

    @_do.register
    def _(self, action: SendDatagram, line):
        self.lines[line].send(action.datagram)

    @_do.register
    def _(self, action: ChangeSocket, line):
        now_s = self.clock()
        path = self.paths.replace(self.lines[line], now_s=now_s)
        self.lines[line] = path
        log.info("line %s moves: %s", line.registration.request.path, action.reason)
        self._do_line(line, line.registration.register(path.echo_store, now_s))

    @_do.register
    def _(self, action: Deliver, line):
        self.notifier.submit(_deliver, line, action.notification)

    def _run_timers(self):
        """Let calls and lines act on the time."""
        now_s = self.clock()
        for call in [call for call in self.calls if call.machine.due_s <= now_s]:
            self._advance(call, call.machine.on_timer(now_s))
        for line in [line for line in self.lines if line.registration.due_s <= now_s]:
            actions = line.registration.on_timer(self.lines[line].echo_store, now_s)
            self._do_line(line, actions)

    def _discard_paths(self):
        """Close retired paths that nothing has used for a while."""
        if len(self.paths.paths) == 1:
            return
        used = {call.path for call in self.calls} | set(self.lines.values())
        limit_s = self.clock() - RETIRED_PATH_KEPT_S
        for path in list(self.paths.paths):
            retired = path.retired_s is not None and path.retired_s < limit_s
            if retired and path not in used:
                self.paths.discard(path)

    def _refuse_messages(self):
        """End the calls that were posted too late."""
        while True:
            try:
                message = self.inbox.get_nowait()
            except queue.Empty:
                return
            if isinstance(message, StartCall):
                message.future.set_result(NotRun(0.0, "the caller was closed"))

    def _end(self):
        """End what is under way, and close the sockets."""
        self.ended = True
        self._refuse_messages()
        for call in self.calls:
            call.future.set_result(Unknown("the caller was closed"))
        self.paths.selector.unregister(self.wake_reader)
        self.paths.close()
        self.notifier.shutdown(wait=True, cancel_futures=True)
        self.wake_reader.close()
        self.wake_writer.close()


def _deliver(line, notification):
    """Hand a notification to the caller's function."""
    try:
        line.on_notification(notification)
    except Exception:
        log.exception(
            "a notification of %s wasn't taken", line.registration.request.path
        )
