"""Stand-in of the platform: templates and instance lists, read and watched."""

import json
import threading
import time
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

from ._http import HttpReply, HttpRequest, HttpServer, json_reply

LONGEST_WAIT_S = 300.0
UNREADABLE_VERSION = "unreadable"


class PlatformMode(StrEnum):
    """How the platform answers its readers."""

    UP = "up"
    DOWN = "down"
    STALE = "stale"


class Published(NamedTuple):
    """A value and the time from which readers without a lag see it."""

    time_s: float
    value: Any


class History:
    """The values published under one name, oldest first.

    The first value is visible at once to every reader.

    Attributes:
        entries: The published values.
    """

    def __init__(self):
        self.entries: list[Published] = []

    def publish(self, value: Any, *, now_s: float) -> None:
        """Add a value that becomes visible now."""
        time_s = now_s if self.entries else float("-inf")
        self.entries.append(Published(time_s, value))

    def visible(self, time_s: float) -> Any:
        """Return the value visible at a time, None before the first one."""
        seen = [entry.value for entry in self.entries if entry.time_s <= time_s]
        return seen[-1] if seen else None

    def next_change_s(self, time_s: float) -> float:
        """Return when the value visible at a time is replaced."""
        later = [entry.time_s for entry in self.entries if entry.time_s > time_s]
        return min(later, default=float("inf"))


class Platform:
    """State of the platform and its decisions about each read.

    Attributes:
        clock: Returns the present time in seconds.
        mode: How readers are answered.
        lag_s: Age of the instance lists that readers see.
        late_readers: Extra age of what a reader's IP address sees.
        stale_since_s: The time at which a stale platform stopped.
        calls: Number of calls by name and reader.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self.clock = clock
        self.mode = PlatformMode.UP
        self.lag_s = 0.0
        self.late_readers: dict[str, float] = {}
        self.stale_since_s = 0.0
        self.calls: Counter[tuple[str, str]] = Counter()
        self.templates = History()
        self.instances: dict[str, History] = {}
        self.changed = threading.Condition()

    def publish_template(self, document: bytes) -> None:
        """Publish any bytes, also faulty ones, as the template document."""
        with self.changed:
            self.templates.publish(document, now_s=self.clock())
            self.changed.notify_all()

    def publish_instances(self, workspace: str, instances: list) -> None:
        """Publish the list of instances of a workspace."""
        with self.changed:
            history = self.instances.setdefault(workspace, History())
            history.publish(instances, now_s=self.clock())

    def control(self, change: dict) -> None:
        """Set the mode, the lag or the late readers, where named."""
        mode = PlatformMode(change.get("mode", self.mode))
        with self.changed:
            if mode is PlatformMode.STALE and self.mode is not PlatformMode.STALE:
                self.stale_since_s = self.clock()
            self.mode = mode
            self.lag_s = float(change.get("lag_s", self.lag_s))
            self.late_readers = dict(change.get("late_readers", self.late_readers))
            self.changed.notify_all()

    def read_template(self, reader: str) -> HttpReply:
        """Return the document that a reader sees."""
        with self.changed:
            self.calls["template", reader] += 1
            return self.template_reply(reader)

    def watch_template(self, reader: str, after: str, wait_s: float) -> HttpReply:
        """Wait until the version a reader sees differs from the one it has.

        Args:
            reader: IP address of the reader.
            after: Version that the reader has.
            wait_s: How long to wait at most.

        Returns:
            The document, 204 when the time is up, or 503 when the platform is
            down or goes down.
        """
        deadline_s = self.clock() + min(wait_s, LONGEST_WAIT_S)
        with self.changed:
            self.calls["watch", reader] += 1
            while True:
                reply = self.template_reply(reader)
                if reply.status == 503 or self.differs(reply, after):
                    return reply
                now_s = self.clock()
                if now_s >= deadline_s:
                    return HttpReply(204)
                until_s = min(deadline_s, now_s + self.next_change_in_s(reader))
                self.changed.wait(until_s - now_s)

    def read_instances(self, reader: str, workspace: str) -> HttpReply:
        """Return the lagging list of a workspace's instances."""
        with self.changed:
            self.calls["instances", reader] += 1
            if self.mode is PlatformMode.DOWN:
                return HttpReply(503)
            history = self.instances.get(workspace, History())
            time_s = self.view_time_s(reader) - self.lag_s
            return json_reply({"instances": history.visible(time_s) or []})

    def count_report(self) -> dict:
        """Return the calls counted so far, in all, by name and by reader."""
        by_call: Counter[str] = Counter()
        by_reader: Counter[str] = Counter()
        with self.changed:
            for (call, reader), count in self.calls.items():
                by_call[call] += count
                by_reader[reader] += count
        total = sum(by_call.values())
        return {"total": total, "by_call": by_call, "by_reader": by_reader}

    def template_reply(self, reader: str) -> HttpReply:
        """Return the answer to a read, without counting it."""
        if self.mode is PlatformMode.DOWN:
            return HttpReply(503)
        document = self.templates.visible(self.view_time_s(reader))
        return HttpReply(404) if document is None else HttpReply(200, document)

    def differs(self, reply: HttpReply, after: str) -> bool:
        """Return whether an answer carries another version than a reader has."""
        return reply.status == 200 and document_version(reply.body) != after

    def view_time_s(self, reader: str) -> float:
        """Return the time whose state a reader sees."""
        stale = self.mode is PlatformMode.STALE
        time_s = self.stale_since_s if stale else self.clock()
        return time_s - float(self.late_readers.get(reader, 0.0))

    def next_change_in_s(self, reader: str) -> float:
        """Return how long a reader's view stays the same without publications."""
        if self.mode is PlatformMode.STALE:
            return float("inf")
        time_s = self.view_time_s(reader)
        return self.templates.next_change_s(time_s) - time_s


def document_version(document: bytes) -> str:
    """Return the version that a document names, as it stands in a query."""
    try:
        return str(json.loads(document)["version"])
    except (ValueError, KeyError, TypeError):
        return UNREADABLE_VERSION


def serve_platform(address: str, platform: Platform) -> HttpServer:
    """Start to serve a platform over HTTP.

    Args:
        address: ``IP:port`` to listen at.
        platform: The platform to serve.

    Returns:
        The running server.
    """
    server = HttpServer(address, lambda request: answer(platform, request))
    server.start()
    return server


def answer(platform: Platform, request: HttpRequest) -> HttpReply:
    """Answer one HTTP request, of a reader or of an operator."""
    match request.method, request.path:
        case "GET", "/v1/template":
            return _answer_template(platform, request)
        case "GET", "/v1/instances":
            return platform.read_instances(request.reader, request.query["workspace"])
        case "PUT", "/publish/template":
            platform.publish_template(request.body)
            return HttpReply(200)
        case "PUT", "/publish/instances":
            instances = json.loads(request.body)["instances"]
            platform.publish_instances(request.query["workspace"], instances)
            return HttpReply(200)
        case "PUT", "/control":
            platform.control(json.loads(request.body))
            return HttpReply(200)
        case "GET", "/control/calls":
            return json_reply(platform.count_report())
    return HttpReply(404)


def _answer_template(platform, request):
    if "after" not in request.query:
        return platform.read_template(request.reader)
    wait_s = float(request.query.get("wait", 0))
    return platform.watch_template(request.reader, request.query["after"], wait_s)
