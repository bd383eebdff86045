"""Steps for reading and watching the platform."""

import json
import re
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from queue import Queue
from threading import Event, Thread
from urllib.parse import parse_qs, urlsplit

from behave import given, then, when
from fixtures import TIMEOUT_S, fuzz, template_document

from lagoontally_core import Instance, InstancesRead, TemplateRead, TemplateRejected
from lagoontally_edges import PlatformEdge
from lagoontally_edges._platform_edge import decode_instances

TOO_LARGE_BYTES = 1_000_001
HOLD = "hold"
BREAK_OFF = "break off"
WATCH_S = 0.05


class RecordedDelays:
    """Returns 0 for each draw and records the requested bounds."""

    def __init__(self):
        self.bounds = []

    def uniform(self, low, high):
        """Return 0."""
        self.bounds.append((low, high))
        return 0


class PlatformHandler(BaseHTTPRequestHandler):
    """Answers from a script; HOLD leaves a request open until the scenario ends."""

    def do_GET(self):  # noqa: N802
        """Answer a GET."""
        platform = self.server.platform
        url = urlsplit(self.path)
        query = parse_qs(url.query)
        after = query.get("after", [None])[0]
        is_watch = url.path == "/v1/template" and (
            after or not platform.watch_held.is_set()
        )
        if is_watch:
            platform.requested_versions.append(after and int(after))
        status, body = platform.answer(url.path, is_watch, after)
        if status == HOLD:
            platform.watch_held.set()
            platform.release_held.wait(TIMEOUT_S)
            return
        length = len(body) + (status == BREAK_OFF)
        self.send_response(200 if status == BREAK_OFF else status)
        self.send_header("Content-Length", str(length))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Log nothing."""


class ScriptedPlatform:
    """A platform whose answers are scripted in order."""

    def __init__(self, script, instances=b"{}", last_version=None):
        self.script = Queue()
        for step in script:
            self.script.put(step)
        self.instances = instances
        self.last_version = last_version
        self.requested_versions = []
        self.watch_held, self.release_held = Event(), Event()
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), PlatformHandler)
        self.server.platform = self
        self.server.daemon_threads = True
        Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
        self.url = f"http://127.0.0.1:{self.server.server_address[1]}"

    def answer(self, path, is_watch, after):
        """Return the status and body of the next answer."""
        if path == "/v1/instances":
            return 200, self.instances
        if not is_watch:
            return 200, template_document(2)
        if not self.script.empty():
            return self.script.get()
        return (HOLD, b"") if self.last_version is None else self.compare(after)

    def compare(self, after):
        """Return the last version, or no content to a watch that names it."""
        if after == str(self.last_version):
            time.sleep(WATCH_S)
            return 204, b""
        return 200, template_document(self.last_version)

    def close(self):
        """Release the held requests and stop the server."""
        self.release_held.set()
        self.server.shutdown()
        self.server.server_close()


def scripted_answer(text):
    """Return the scripted answer for the text of a feature."""
    if text == "nothing new":
        return 204, b""
    if text == "failure":
        return 503, b""
    if text.startswith("broken"):
        return 200, json.dumps({"version": int(text.split()[1])}).encode()
    return 200, template_document(int(text))


def split_list(text):
    """Split a list such as ``2, broken 3 and 4``."""
    return re.split(r", | and ", text)


def open_platform(context, script, **options):
    """Start a platform and an edge that reads it."""
    context.platform = ScriptedPlatform(script, **options)
    context.recorder.cleanup.callback(context.platform.close)
    context.delays = RecordedDelays()
    recorder = context.recorder
    context.edge = PlatformEdge(
        url=context.platform.url,
        workspace="pivot-command-relay",
        post=recorder.post,
        random=context.delays,
        count=recorder.count,
    )


@given("a platform that serves templates {versions} and then never answers the watch")
def step_serve_then_hold(context, versions):
    """The watch waits after the last scripted answer."""
    open_platform(context, [scripted_answer(item) for item in split_list(versions)])


@given(
    "a platform that serves templates {versions}, and then {version:d} unless the"
    " watch names it"
)
def step_serve_last(context, versions, version):
    """The watch can't tell another document with the version that it names."""
    script = [scripted_answer(item) for item in split_list(versions)]
    open_platform(context, script, last_version=version)


@given("a platform that serves templates {versions}")
def step_serve_templates(context, versions):
    """Each read gets the next template."""
    open_platform(context, [scripted_answer(item) for item in split_list(versions)])


@given(
    "a platform that fails {number:d} times, answers with too large a body"
    " and then serves 2"
)
def step_failing(context, number):
    """Every kind of status but 200 and 204 is a failure."""
    statuses = [500, 503, 404, 403, 302, 201][:number]
    script = [(status, b"") for status in statuses]
    script.append((200, template_document(2).ljust(TOO_LARGE_BYTES)))
    open_platform(context, [*script, scripted_answer("2")])


@given("a platform that interrupts an answer and then serves 2")
def step_break_off(context):
    """A byte of the body is missing."""
    open_platform(context, [(BREAK_OFF, template_document(2)), scripted_answer("2")])


@given("a platform that never answers the watch")
def step_hold(context):
    """The first read waits."""
    open_platform(context, [])


@given("a platform that lists instances tifton-1 live and tifton-2 leaving")
def step_instances(context):
    """The list has the format of the protocol."""
    common = {"data_centre": "tifton", "peer_address": "127.0.0.1:1"}
    states = {"tifton-1": "live", "tifton-2": "leaving"}
    items = [{"name": n, "state": s, **common} for n, s in states.items()]
    open_platform(context, [], instances=json.dumps({"instances": items}).encode())


@when("the template is watched until {version:d} is read")
def step_watch_until(context, version):
    """The events are kept in order."""
    context.recorder.start(context.edge.run_template_watch)
    context.events = []
    while True:
        event = context.recorder.wait_for_event()
        context.events.append(event)
        if isinstance(event, TemplateRead) and event.template.version == version:
            return


@when("the template is watched until {number:d} documents are read")
def step_watch_documents(context, number):
    """Each document is posted, also one with a version that was posted before."""
    context.recorder.start(context.edge.run_template_watch)
    context.events = [context.recorder.wait_for_event() for _ in range(number)]


@then("{expected} were posted")
def step_templates_posted(context, expected):
    """Rejected templates have their version and a reason."""
    found = []
    for event in context.events:
        if isinstance(event, TemplateRejected):
            assert event.reason
            found.append(f"rejected {event.version}")
            continue
        assert event.document == template_document(event.template.version)
        found.append(str(event.template.version))
    assert found == split_list(expected), found


@then("the watch requested templates after {expected}")
def step_asked(context, expected):
    """Each request names the version that was served last."""
    versions = [
        None if item == "nothing" else int(item) for item in split_list(expected)
    ]
    assert context.platform.requested_versions[: len(versions)] == versions, (
        context.platform.requested_versions
    )


@then("{number:d} older template was counted")
def step_older_counted(context, number):
    """It wasn't posted."""
    assert context.recorder.counters["platform_older_templates"] == number


@then("the delays were drawn up to {bounds} seconds")
def step_delays(context, bounds):
    """Full jitter draws each delay from 0 up to its bound."""
    expected = [(0, float(item)) for item in split_list(bounds)]
    assert context.delays.bounds == expected, context.delays.bounds


@then("{number:d} failures were counted")
def step_failures_counted(context, number):
    """Each failed read has been counted."""
    assert context.recorder.counters["platform_failures"] == number


@when("the waiting watch is stopped")
def step_stop_watch(context):
    """The platform still withholds its answer."""
    stop, context.task = context.recorder.start(context.edge.run_template_watch)
    assert context.platform.watch_held.wait(TIMEOUT_S)
    stop.set()
    context.task.join(TIMEOUT_S)


@then("the task of the watch has ended")
def step_watch_ended(context):
    """The platform hasn't answered."""
    assert not context.task.is_alive()
    assert not context.platform.release_held.is_set()


@when("a read of the template is requested")
def step_read_now(context):
    """The watch has read once and waits."""
    context.recorder.start(context.edge.run_template_watch)
    assert isinstance(context.recorder.wait_for_event(), TemplateRead)
    assert context.platform.watch_held.wait(TIMEOUT_S)
    context.edge.request_template_read()
    context.recorder.start(context.edge.run_instances_poll)


@then("it is posted while the watch still waits")
def step_read_posted(context):
    """The version in force is posted again."""
    assert context.recorder.wait_for_event().template.version == 2
    assert not context.platform.release_held.is_set()


@when("the list of instances is polled")
def step_poll(context):
    """The first poll is made at once."""
    context.recorder.start(context.edge.run_instances_poll)
    context.event = context.recorder.wait_for_event()


@then("both instances are posted with their states")
def step_instances_posted(context):
    """The states become flags."""
    expected = (
        Instance("tifton-1", "tifton", "127.0.0.1:1", False),
        Instance("tifton-2", "tifton", "127.0.0.1:1", True),
    )
    assert context.event == InstancesRead(expected)


@when("the platform answers with arbitrary bytes")
def step_platform_fuzz(context):
    """Decoding never raises."""
    open_platform(context, [])
    item = {"name": "a", "data_centre": "b", "peer_address": "c", "state": "live"}
    samples = [json.dumps({"instances": [item]}).encode(), template_document(2)]
    context.kinds = set()

    def check(body):
        context.kinds.add(type(decode_instances(body)).__name__)
        context.edge.post_template(body)

    fuzz(check, samples)


@then("each list of instances and template is posted, or dropped with a reason")
def step_platform_fuzzed(context):
    """The generated bytes covered valid and invalid answers."""
    assert context.kinds == {"InstancesRead", "Unavailable"}, context.kinds
    posted = {type(event) for event in context.recorder.drain_events()}
    assert posted == {TemplateRead, TemplateRejected}, posted
