"""The edge towards the platform, which it only reads and watches."""

from functools import partial, singledispatchmethod
from threading import Event, Lock
from typing import Literal

import msgspec
import requests

from lagoontally_core import (
    Count,
    Instance,
    InstancesRead,
    TemplateRead,
    TemplateRejected,
)
from lagoontally_model import Findings, parse_template

from ._datagrams import ignore_count
from ._interruptible import call_until_stop
from ._platform_http import Document, Unavailable, Unchanged, read_document

WATCH_WAIT_S = 25
REJECTED_WATCH_WAIT_S = 8
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 8.0
BACKOFF_MAX_DOUBLINGS = 4
REREAD_DELAY_MAX_S = 2.0
INSTANCES_PERIOD_PER_ENTRY_S = 0.13
INSTANCES_PERIOD_S = 5.0
INSTANCES_JITTER_S = 1.0
MIN_READ_GAP_S = 0.5
WAIT_SLICE_S = 0.1


class _InstanceDocument(msgspec.Struct):
    name: str
    data_centre: str
    peer_address: str
    state: Literal["live", "leaving"]


class _InstancesDocument(msgspec.Struct):
    instances: list[_InstanceDocument]


class _VersionDocument(msgspec.Struct):
    version: int = 0


_INSTANCES_DECODER = msgspec.json.Decoder(_InstancesDocument)
_VERSION_DECODER = msgspec.json.Decoder(_VersionDocument)


def decode_instances(body):
    """Return ``InstancesRead``, or ``Unavailable`` if the body is invalid."""
    try:
        document = _INSTANCES_DECODER.decode(body)
    except (msgspec.MsgspecError, ValueError) as error:
        return Unavailable(f"the list of instances is invalid: {error}")
    return InstancesRead(
        tuple(
            Instance(
                item.name, item.data_centre, item.peer_address, item.state == "leaving"
            )
            for item in document.instances
        )
    )


def decode_version(body):
    """Return the version in a template's document, or 0 if there is none."""
    try:
        return max(0, _VERSION_DECODER.decode(body).version)
    except (msgspec.MsgspecError, ValueError):
        return 0


class PlatformEdge:
    """Watches the template and polls the list of instances.

    Args:
        url: URL of the platform without a path.
        workspace: The balancer's workspace.
        post: Called with each event for the core.
        random: A ``random.Random`` that adds jitter to delays.
        count: Called with each ``Count``.
    """

    def __init__(self, *, url, workspace, post, random, count=ignore_count):
        self.url = url.rstrip("/")
        self.workspace = workspace
        self.post = post
        self.random = random
        self.count = count
        self.lock = Lock()
        self.accepted_version = 0
        self.served_version = 0
        self.served_rejected = False
        self.rejected_document = b""
        self.failures = 0
        self.template_read_requested = Event()
        self.list_read_requested = Event()
        self.listed_count = 0

    def request_template_read(self):
        """Request a read of the template that doesn't wait for the watch."""
        self.template_read_requested.set()

    def request_instances_read(self):
        """Request a read of the list of instances before the next poll is due."""
        self.list_read_requested.set()

    def run_template_watch(self, stop):
        """Read the template and wait for each newer one until ``stop`` is set."""
        with self.open_session() as session:
            while not stop.is_set():
                outcome = call_until_stop(partial(self.watch_once, session), stop)
                if outcome is not None:
                    stop.wait(self.handle_template_outcome(outcome))

    def watch_once(self, session):
        """Read the template once; wait while it is the version served last."""
        url = f"{self.url}/v1/template"
        self.increment("reads")
        with self.lock:
            version, rejected = self.served_version, self.served_rejected
        if not version:
            return read_document(session, url)
        wait_s = REJECTED_WATCH_WAIT_S if rejected else WATCH_WAIT_S
        params = {"after": version, "wait": wait_s}
        return read_document(session, url, params=params, wait_s=wait_s)

    @singledispatchmethod
    def handle_template_outcome(self, outcome):
        """Post the outcome of a read of the template.

        Args:
            outcome: ``Document``, ``Unchanged`` or ``Unavailable``.

        Returns:
            Delay before the next read, in seconds.
        """
        raise TypeError(f"{type(outcome).__name__} isn't the outcome of a read")

    @handle_template_outcome.register
    def _(self, outcome: Unchanged):
        self.failures = 0
        with self.lock:
            if self.served_rejected:
                # A repaired document may keep the version of the rejected one.
                self.served_version = 0
        return 0.0

    @handle_template_outcome.register
    def _(self, outcome: Unavailable):
        self.increment("failures")
        with self.lock:
            # A platform that was restored may serve another document under the version.
            self.served_version = 0
        if outcome.interrupted:
            return self.random.uniform(0, REREAD_DELAY_MAX_S)
        return self.back_off()

    @handle_template_outcome.register
    def _(self, outcome: Document):
        # Servers of the platform may hold different versions, so without a delay
        # the next read could return such a document at once.
        if not self.post_template(outcome.body):
            return self.back_off()
        self.failures = 0
        return 0.0

    def back_off(self):
        """Return a random delay whose bound doubles with each failure in a row."""
        doublings = min(self.failures, BACKOFF_MAX_DOUBLINGS)
        self.failures += 1
        return self.random.uniform(0, min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**doublings))

    def post_template(self, body):
        """Post a document as read or rejected unless its version is older.

        Args:
            body: The encoded document.

        Returns:
            True if its version is newer than any accepted one, or it was rejected
            and posted.
        """
        parsed = parse_template(body)
        if isinstance(parsed, Findings):
            return self.post_rejected(body, parsed.reason)
        with self.lock:
            accepted = self.accepted_version
            self.accepted_version = max(accepted, parsed.version)
            self.served_version = parsed.version
            self.served_rejected = False
        if parsed.version < accepted:
            self.increment("older_templates")
        else:
            # The version in force is posted too, as it has been read again.
            self.post(TemplateRead(parsed, body))
        return parsed.version > accepted

    def post_rejected(self, body, reason):
        """Post a rejected document unless it repeats; return True if it was posted."""
        version = decode_version(body)
        with self.lock:
            # Only the watch uses its version; lower ones can still be accepted later.
            self.served_version = version
            self.served_rejected = True
            repeated = body == self.rejected_document
            self.rejected_document = body
        if not repeated:
            self.post(TemplateRejected(version, reason))
        return not repeated

    def run_instances_poll(self, stop):
        """Poll the list of instances until ``stop`` is set.

        Template reads requested by ``request_template_read`` run here too, so
        that they don't wait for the watch.
        """
        with self.open_session() as session:
            while not stop.is_set():
                read = partial(self.read_instances, session)
                call_until_stop(read, stop)
                self.serve_requested_reads(session, stop)

    def read_instances(self, session):
        """Read the list of instances once and post it."""
        self.increment("reads")
        params = {"workspace": self.workspace}
        outcome = read_document(session, f"{self.url}/v1/instances", params=params)
        decoded = outcome
        if isinstance(outcome, Document):
            decoded = decode_instances(outcome.body)
        if isinstance(decoded, InstancesRead):
            self.listed_count = len(decoded.instances)
            self.post(decoded)
        else:
            self.increment("failures")

    def serve_requested_reads(self, session, stop):
        """Make requested template reads until the next poll is due or requested."""
        jitter_s = self.random.uniform(-INSTANCES_JITTER_S, INSTANCES_JITTER_S)
        slices = int((self.list_period_s() + jitter_s) / WAIT_SLICE_S)
        for _ in range(slices):
            if stop.is_set() or self.list_read_requested.is_set():
                self.list_read_requested.clear()
                return
            if self.template_read_requested.wait(WAIT_SLICE_S):
                self.template_read_requested.clear()
                call_until_stop(partial(self.read_template, session), stop)
                stop.wait(MIN_READ_GAP_S)

    def list_period_s(self):
        """Return the seconds between two reads of the list.

        The period grows with the list, which bounds the bytes per second. Members
        notify each other of changes much sooner.
        """
        return max(INSTANCES_PERIOD_S, self.listed_count * INSTANCES_PERIOD_PER_ENTRY_S)

    def read_template(self, session):
        """Read the template once without waiting and post it."""
        self.increment("reads")
        outcome = read_document(session, f"{self.url}/v1/template")
        if isinstance(outcome, Document):
            self.post_template(outcome.body)
        else:
            self.increment("failures")

    def open_session(self):
        """Create an HTTP session that ignores proxies set in the environment."""
        session = requests.Session()
        session.trust_env = False
        return session

    def increment(self, counter):
        """Increment a counter of this edge."""
        self.count(Count(f"platform_{counter}"))

    def close(self):
        """Do nothing: each task closes its own session."""
