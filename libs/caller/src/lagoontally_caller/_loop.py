"""The thread that owns the sockets, the calls and the lines."""

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

MAX_WAIT_S = 1.0
LINE_CLOSE_TIMEOUT_S = 3.0
RETIRED_PATH_RETENTION_S = 60.0
MAX_ENDED_TOKENS = 512
WAKEUP_READ_BYTES = 4096

log = logging.getLogger("lagoontally.caller")


class StartCall(NamedTuple):
    """Run a call; ``build(echo_store, now_s)`` returns its state machine."""

    build: Any
    future: Future


class OpenLine(NamedTuple):
    """Open a line."""

    line: Any


class CloseLine(NamedTuple):
    """Close a line."""

    line: Any


class StopLoop(NamedTuple):
    """Stop the thread."""


class _Call:
    """A call in progress on one path."""

    def __init__(self, state_machine, future, path, now_s, *, closes_line=False):
        self.closes_line = closes_line
        self.state_machine = state_machine
        self.future = future
        self.path = path
        self.started_s = now_s


class Loop:
    """Runs calls and lines over UDP until it gets a ``StopLoop`` message.

    Attributes:
        inbox: Messages to the thread.
        paths: The ``PathSet``.
        routes: The call or line of each path and token.
        malformed: Number of received datagrams that weren't valid CoAP.
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
        self.stopped = False
        self.wakeup_reader, self.wakeup_writer = socket.socketpair()
        self.wakeup_reader.setblocking(False)
        self.wakeup_writer.setblocking(False)
        self.paths.selector.register(self.wakeup_reader, selectors.EVENT_READ, None)
        self.notifier = ThreadPoolExecutor(1, thread_name_prefix="caller-lines")

    def post(self, message):
        """Post a message to the thread."""
        self.inbox.put(message)
        if self.stopped:
            self._reject_queued_calls()
            return
        try:
            self.wakeup_writer.send(b"\0")
        except OSError:
            # The buffer is full, so the thread will wake up, or it has stopped.
            return

    def run(self):
        """Run until a ``StopLoop`` message arrives."""
        try:
            self._run()
        finally:
            self._shut_down()

    def _run(self):
        """Handle sockets, messages and timers in turn."""
        while not self.stopping:
            for key, _ in self.paths.selector.select(self._time_to_next_timer_s()):
                self._on_readable(key)
            self._handle_messages()
            self._run_timers()
            self._close_unused_paths()

    def _time_to_next_timer_s(self):
        """Return the time to the next timer, at most ``MAX_WAIT_S``."""
        due = [call.state_machine.due_s for call in self.calls]
        due += [line.registration.due_s for line in self.lines]
        wait_s = min(due, default=self.clock() + MAX_WAIT_S) - self.clock()
        return min(max(wait_s, 0.0), MAX_WAIT_S)

    def _on_readable(self, key):
        """Read a socket that is readable."""
        path = key.data
        if path is None:
            self.wakeup_reader.recv(WAKEUP_READ_BYTES)
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
            self._advance(owner, owner.state_machine.on_reply(reply, now_s))
        elif owner is not None:
            actions = owner.registration.on_reply(reply, path.echo_store, now_s)
            self._execute_actions(owner, actions)

    def _acknowledge(self, path, reply, owner):
        """Acknowledge a confirmable message, or reset it if its token is unknown."""
        if reply.type != CON:
            return
        known = owner is not None or (path, reply.token) in self.ended_tokens
        answer = ACK if known and reply.code else RST
        path.send(encode_empty(answer, reply.message_id))

    def _handle_messages(self):
        """Handle the posted messages."""
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
        state_machine = message.build(path.echo_store, now_s)
        call = _Call(state_machine, message.future, path, now_s)
        self.calls.add(call)
        self._advance(call, state_machine.start(now_s))

    @_handle.register
    def _(self, message: OpenLine):
        line = message.line
        self.lines[line] = self.paths.current
        actions = line.registration.open(self.paths.current.echo_store, self.clock())
        self._execute_actions(line, actions)

    @_handle.register
    def _(self, message: CloseLine):
        line = message.line
        path = self.lines.pop(line, None)
        if path is None:
            return
        self._remove_routes(line)
        now_s = self.clock()
        state_machine = Exchange(
            Request(GET, line.registration.request.path, observe=1),
            deadline_s=now_s + LINE_CLOSE_TIMEOUT_S,
            identifiers=self.identifiers,
            echo_store=line.registration.choose_echo_store(path.echo_store, now_s),
            token=line.registration.token,
        )
        call = _Call(state_machine, Future(), path, now_s, closes_line=True)
        self.calls.add(call)
        self._advance(call, state_machine.start(now_s))

    @_handle.register
    def _(self, _message: StopLoop):
        for line in list(self.lines):
            self._handle(CloseLine(line))
        self.stopping = True

    def _advance(self, call, datagrams):
        """Send a call's datagrams, and complete its future if it has an outcome."""
        for token in call.state_machine.tokens:
            self.routes[(call.path, token)] = call
        for datagram in datagrams:
            call.path.send(datagram)
        outcome = call.state_machine.outcome
        if outcome is None:
            return
        self.calls.discard(call)
        self._remove_routes(call)
        if isinstance(outcome, Unknown) and call.path.received_s < call.started_s:
            # The path received nothing during the call, so it may be broken.
            self.paths.replace(call.path, now_s=self.clock())
        call.future.set_result(outcome)

    def _remove_routes(self, owner):
        """Remove the routes of a call or line."""
        keys = [key for key, value in self.routes.items() if value is owner]
        for key in keys:
            del self.routes[key]
            if isinstance(owner, _Call) and not owner.closes_line:
                self.ended_tokens[key] = None
        while len(self.ended_tokens) > MAX_ENDED_TOKENS:
            self.ended_tokens.popitem(last=False)

    def _execute_actions(self, line, actions):
        """Execute a line's actions."""
        for action in actions:
            self._execute(action, line)
        self._route_line(line)

    def _route_line(self, line):
        """Route only the line's current token to it."""
        key = (self.lines[line], line.registration.token)
        if self.routes.get(key) is line:
            return
        self._remove_routes(line)
        self.routes[key] = line

    @functools.singledispatchmethod
    def _execute(self, action, line):
        """Execute one action of a line by its type."""
        raise TypeError(f"unknown action {action!r}")

    @_execute.register
    def _(self, action: SendDatagram, line):
        self.lines[line].send(action.datagram)

    @_execute.register
    def _(self, action: ChangeSocket, line):
        now_s = self.clock()
        path = self.paths.replace(self.lines[line], now_s=now_s)
        self.lines[line] = path
        log.info(
            "line %s moves to a new socket: %s",
            line.registration.request.path,
            action.reason,
        )
        self._execute_actions(line, line.registration.register(path.echo_store, now_s))

    @_execute.register
    def _(self, action: Deliver, line):
        self.notifier.submit(_call_on_notification, line, action.notification)

    def _run_timers(self):
        """Run the timers of calls and lines that are due."""
        now_s = self.clock()
        for call in [call for call in self.calls if call.state_machine.due_s <= now_s]:
            self._advance(call, call.state_machine.on_timer(now_s))
        for line in [line for line in self.lines if line.registration.due_s <= now_s]:
            actions = line.registration.on_timer(self.lines[line].echo_store, now_s)
            self._execute_actions(line, actions)

    def _close_unused_paths(self):
        """Close unused paths retired more than ``RETIRED_PATH_RETENTION_S`` ago."""
        if len(self.paths.paths) == 1:
            return
        used = {call.path for call in self.calls} | set(self.lines.values())
        limit_s = self.clock() - RETIRED_PATH_RETENTION_S
        for path in list(self.paths.paths):
            retired = path.retired_s is not None and path.retired_s < limit_s
            if retired and path not in used:
                self.paths.discard(path)

    def _reject_queued_calls(self):
        """End queued calls as ``NotRun`` because the loop has stopped."""
        while True:
            try:
                message = self.inbox.get_nowait()
            except queue.Empty:
                return
            if isinstance(message, StartCall):
                message.future.set_result(NotRun(0.0, "the caller was closed"))

    def _shut_down(self):
        """End pending calls and close the sockets."""
        self.stopped = True
        self._reject_queued_calls()
        for call in self.calls:
            call.future.set_result(Unknown("the caller was closed"))
        self.paths.selector.unregister(self.wakeup_reader)
        self.paths.close()
        self.notifier.shutdown(wait=True, cancel_futures=True)
        self.wakeup_reader.close()
        self.wakeup_writer.close()


def _call_on_notification(line, notification):
    """Call ``on_notification`` and log any exception."""
    try:
        line.on_notification(notification)
    except Exception:
        log.exception(
            "on_notification of line %s raised an exception",
            line.registration.request.path,
        )
