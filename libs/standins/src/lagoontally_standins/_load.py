"""The load tool: seeded callers that record what they are told."""

import functools
import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import NamedTuple

from lagoontally_caller import (
    Answered,
    Caller,
    Failed,
    LineStatus,
    NotRun,
    Unknown,
)

from ._audit import CallRecord, LineRecord, Told
from ._content import resource_body

COMMAND_TIMEOUT_S = 6.0
FETCH_TIMEOUT_S = 10.0
RENEW_S = 5.0
SILENCE_S = 8.0
SEQUENCE_LIMIT = 1 << 24
SEQUENCE_HALF = 1 << 23


class Work(NamedTuple):
    """What callers of one service do.

    Attributes:
        line: Resource of a line, with ``{id}`` for the caller's own; or None.
        command: Resource of a command, or None.
        fetch: Resource that is fetched, or None.
        store: Resource that is stored, or None.
    """

    line: str | None = None
    command: str | None = None
    fetch: str | None = None
    store: str | None = None


WORK = {
    "pivot-link": Work(line="/pivot/{id}/status", command="/pivot/{id}/command"),
    "usage-ledger": Work(fetch="/report/{id}", store="/usage/{id}"),
    "dossier-desk": Work(line="/dossier/{id}/status", command="/dossier/{id}/signoff"),
    "pack-vault": Work(fetch="/pack/{id}"),
}


class LoadPlan(NamedTuple):
    """How much load there is.

    Attributes:
        seed: Seed of all choices.
        callers: Callers of each service.
        calls_s: Calls a second of each caller, on average.
    """

    seed: int = 1
    callers: int = 5
    calls_s: float = 3.0


class LoadResult(NamedTuple):
    """What all callers were told."""

    calls: tuple[CallRecord, ...]
    lines: tuple[LineRecord, ...]


class LoadCaller:
    """One caller of one service, with its line and its calls.

    Attributes:
        name: Its name, which is also the id of its resources.
        workspace: The workspace it calls.
        service: The service it calls.
        calls: What it was told so far.
    """

    def __init__(self, name, workspace, service, entry, *, plan):
        self.name = name
        self.workspace = workspace
        self.service = service
        self.plan = plan
        self.work = WORK[service]
        self.random = Random(f"{plan.seed} {name}")
        self.caller = Caller(
            entry=entry,
            renew_s=RENEW_S,
            silence_s=SILENCE_S,
            random=Random(f"{plan.seed} {name} tokens"),
        )
        self.calls = []
        self.line = None
        self.heard_s = []
        self.wrong_notifications = 0
        self.last_sequence = None

    def run(self, ended):
        """Open the line and call until ``ended`` is set."""
        if self.work.line:
            path = self._path(self.work.line)
            self.line = self.caller.open_line(path, self._on_notification)
        while not ended.wait(self.random.expovariate(self.plan.calls_s)):
            self._call()

    def close(self):
        """Return the line's record, or None, and end the caller."""
        record = self._line_record()
        if self.line is not None:
            self.line.close()
        self.caller.close()
        return record

    def path_address(self):
        """Return the ``IP:port`` that it sends from at present."""
        ip, port = self.caller.loop.paths.current.socket.getsockname()
        return f"{ip}:{port}"

    def _path(self, template):
        """Return a path with this caller's id."""
        return template.format(id=self.name)

    def _call(self):
        """Make one of the calls that this service has."""
        kinds = [kind for kind in ("command", "fetch", "store") if self._has(kind)]
        kind = self.random.choice(kinds)
        path = self._path(getattr(self.work, kind))
        getattr(self, f"_{kind}")(path)

    def _has(self, kind):
        """Return whether this service has a resource of a kind."""
        return getattr(self.work, kind) is not None

    def _command(self, path):
        """Send a command that may run only once."""
        id_ = f"{self.name}:{len(self.calls)}"
        payload = json.dumps({"id": id_, "command": "stop"}).encode()
        call = functools.partial(
            self.caller.command, path, payload, timeout_s=COMMAND_TIMEOUT_S
        )
        self._record("POST", path, id_, call, answers(path, id_))

    def _store(self, path):
        """Store a reading."""
        id_ = f"{self.name}:{len(self.calls)}"
        payload = json.dumps({"id": id_, "litres": self.random.randrange(10_000)})
        call = functools.partial(
            self.caller.store, path, payload.encode(), timeout_s=COMMAND_TIMEOUT_S
        )
        self._record("PUT", path, id_, call, answers(path, id_))

    def _fetch(self, path):
        """Fetch a report or a pack, all of its blocks."""
        call = functools.partial(self.caller.fetch, path, timeout_s=FETCH_TIMEOUT_S)
        body = resource_body(path)
        self._record("GET", path, None, call, lambda answer: answer.body == body)

    def _record(self, method, path, id_, call, is_own):
        """Make a call and note what was told."""
        began_s = time.monotonic()
        result = call()
        latency_ms = (time.monotonic() - began_s) * 1000
        self.calls.append(
            CallRecord(
                workspace=self.workspace,
                service=self.service,
                method=method,
                path=path,
                id=id_,
                told=told(result),
                wrong=isinstance(result, Answered) and not is_own(result),
                latency_ms=latency_ms,
                reason=reason(result),
                began_s=began_s,
            )
        )

    def _on_notification(self, notification):
        """Check a notification of the line."""
        self.heard_s.append(time.monotonic())
        last = self.last_sequence
        ahead = 1 if last is None else (notification.sequence - last) % SEQUENCE_LIMIT
        in_order = 0 < ahead < SEQUENCE_HALF
        self.last_sequence = notification.sequence
        own = json_field(notification.body, "path") == self._path(self.work.line)
        self.wrong_notifications += not (own and in_order)

    def _line_record(self):
        """Return what became of the line, None without one."""
        if self.line is None:
            return None
        registration = self.line.registration
        return LineRecord(
            workspace=self.workspace,
            service=self.service,
            path=self._path(self.work.line),
            opened=registration.opened,
            breaks=registration.breaks,
            moves=registration.moves,
            wrong=self.wrong_notifications,
            notifications=len(self.heard_s),
            heard_s=tuple(self.heard_s),
            open=self.line.state is not LineStatus.BROKEN,
        )


class Load:
    """All callers of a deployment, each in a thread.

    Attributes:
        callers: The callers.
        ended: Set once no new call is to be made.
    """

    def __init__(self, entry, *, plan):
        self.ended = threading.Event()
        self.callers = [
            LoadCaller(f"{service}-{number}", workspace, service, address, plan=plan)
            for (workspace, service), address in split_entry(entry)
            for number in range(plan.callers)
        ]
        self.pool = ThreadPoolExecutor(len(self.callers), thread_name_prefix="load")
        self.futures = []

    def __enter__(self):
        return self

    def __exit__(self, *_exception):
        # Otherwise the threads would keep the process from ending.
        self.ended.set()

    def start(self):
        """Start every caller."""
        self.futures = [self.pool.submit(c.run, self.ended) for c in self.callers]

    def finish(self):
        """Let calls under way end, and return what callers were told."""
        self.ended.set()
        for future in self.futures:
            future.result()
        lines = list(self.pool.map(LoadCaller.close, self.callers))
        self.pool.shutdown()
        return LoadResult(
            calls=tuple(call for caller in self.callers for call in caller.calls),
            lines=tuple(line for line in lines if line is not None),
        )


def split_entry(entry):
    """Return ``((workspace, service), address)`` for each entry address."""
    return [(tuple(name.split("/")), address) for name, address in entry.items()]


def answers(path, id_):
    """Return a check that an answer is the one to a path and an id."""

    def is_own(answer):
        own_path = json_field(answer.body, "path") == path
        return own_path and json_field(answer.body, "id") == id_

    return is_own


def json_field(body, name):
    """Return a field of a JSON body, None where there is none."""
    try:
        return json.loads(body).get(name)
    except (ValueError, AttributeError):
        return None


@functools.singledispatch
def told(result):
    """Return the ``Told`` of a result."""
    raise TypeError(f"not a result: {result!r}")


@told.register
def _(_result: Answered):
    return Told.ANSWERED


@told.register
def _(_result: NotRun):
    return Told.REFUSED


@told.register
def _(_result: Unknown):
    return Told.UNKNOWN


@told.register
def _(_result: Failed):
    return Told.FAILED


def reason(result):
    """Return the code of an answer, or why there is none."""
    return result.code if isinstance(result, Answered) else result.reason
