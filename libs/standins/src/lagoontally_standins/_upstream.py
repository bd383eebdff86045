"""Stand-in of an upstream: what it answers, without sockets or clocks."""

import heapq
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from itertools import count

from aiocoap import ACK, CON, EMPTY, GET, NON, RST, Code, Message
from aiocoap.error import UnparsableMessage

from ._content import resource_body
from ._load_report import LoadHistory
from ._resources import (
    IDENTITY_PATH,
    LOAD_PATH,
    Kind,
    block_number,
    block_of,
    find_resource,
    json_message,
    path_text,
    payload_id,
    time_left_ms,
)
from ._upstream_types import (
    Endpoint,
    Line,
    Outgoing,
    UpstreamMode,
    UpstreamSettings,
    Work,
)

EXCHANGE_LIFETIME_MS = 247_000
SHED_MAX_AGE_S = 1
COLD_START_SLOWDOWN = 5
SEQUENCE_MODULUS = 1 << 24


class Upstream:
    """The decisions of an upstream; the caller passes in datagrams and the time.

    Attributes:
        settings: The settings; the control may change ``work_ms`` and others.
        mode: How new work is treated.
        lines: Open lines by endpoint and token.
        running: Number of requests in slots.
        waiting: Requests that wait for a slot.
        loads: The load, as it is reported.
        counts: Datagrams and requests by what became of them.
    """

    def __init__(
        self,
        settings: UpstreamSettings,
        *,
        ledger: Callable[[dict], None],
        now_ms: float,
    ):
        self.settings = settings
        self.ledger = ledger
        self.started_at_ms = now_ms
        self.mode = UpstreamMode.UP
        self.loads = LoadHistory(now_ms=now_ms)
        self.lines: dict[tuple[Endpoint, bytes], Line] = {}
        self.running = 0
        self.waiting: deque[Work] = deque()
        self.timers: list[tuple] = []
        self.order = count()
        self.exchanges: OrderedDict[tuple, tuple[float, bytes]] = OrderedDict()
        self.next_mid = 0
        self.outgoing: list[Outgoing] = []
        self.counts: Counter[str] = Counter()

    def receive(
        self, data: bytes, endpoint: Endpoint, *, now_ms: float
    ) -> list[Outgoing]:
        """Handle one datagram.

        Args:
            data: The datagram.
            endpoint: IP address and port that it came from.
            now_ms: The present time.

        Returns:
            The datagrams to send.
        """
        if self.mode is UpstreamMode.SILENT:
            self.counts["ignored"] += 1
            return []
        try:
            message = Message.decode(data)
        except UnparsableMessage:
            self.counts["malformed"] += 1
            return []
        if message.code.is_request():
            self.handle_request(message, endpoint, now_ms)
        elif message.code is EMPTY:
            self.handle_empty(message, endpoint)
        return self.take_outgoing(now_ms)

    def advance(self, *, now_ms: float) -> list[Outgoing]:
        """Finish work and notify lines that are due.

        Args:
            now_ms: The present time.

        Returns:
            The datagrams to send.
        """
        while self.timers and self.timers[0][0] <= now_ms:
            _, _, action, subject = heapq.heappop(self.timers)
            action(subject, now_ms)
        return self.take_outgoing(now_ms)

    def next_due_ms(self) -> float | None:
        """Return when ``advance`` has something to do, None while it hasn't."""
        return self.timers[0][0] if self.timers else None

    def control(self, change: dict) -> None:
        """Set the mode, a fault of the load report, or a setting, where named.

        Args:
            change: New values by name, as JSON carries them.

        Raises:
            ValueError: A name or a value isn't known.
        """
        change = dict(change)
        mode = UpstreamMode(change.pop("mode", self.mode))
        load_lag_s = float(change.pop("load_lag_s", self.loads.lag_ms / 1000))
        load_lie = change.pop("load_lie", self.loads.lie)
        self.settings = self.settings._replace(**change)
        self.mode = mode
        self.loads.lag_ms = load_lag_s * 1000
        self.loads.lie = load_lie

    def handle_request(self, request: Message, endpoint: Endpoint, now_ms: float):
        """Answer a request, or queue it; a repeated one isn't run again."""
        if self.is_repeated(request, endpoint, now_ms):
            return
        host = request.opt.uri_host
        own = f"{self.settings.service}.{self.settings.workspace}"
        path = request.opt.uri_path
        if host is not None and host != own:
            self.record(request, foreign=True)
            self.answer(endpoint, request, Message(code=Code.NOT_FOUND))
        elif path == IDENTITY_PATH and request.code is GET:
            identity = {
                "workspace": self.settings.workspace,
                "service": self.settings.service,
            }
            self.answer(endpoint, request, json_message(Code.CONTENT, identity))
        elif path == LOAD_PATH and request.code is GET:
            report = json_message(Code.CONTENT, self.loads.report(now_ms=now_ms))
            self.answer(endpoint, request, report)
        else:
            self.handle_resource(request, endpoint, now_ms)

    def handle_resource(self, request: Message, endpoint: Endpoint, now_ms: float):
        """Answer or queue a request for a resource of the service."""
        resource = find_resource(self.settings.service, request.opt.uri_path)
        if resource is None:
            self.answer(endpoint, request, Message(code=Code.NOT_FOUND))
        elif resource.method is not request.code:
            self.answer(endpoint, request, Message(code=Code.METHOD_NOT_ALLOWED))
        elif resource.kind is Kind.LINE and request.opt.observe == 0:
            self.open_line(request, endpoint, now_ms)
        elif resource.kind is Kind.LINE and request.opt.observe == 1:
            self.close_line(request, endpoint, resource)
        elif resource.kind is Kind.BLOCKS and block_number(request) > 0:
            # Later blocks come from the body that the first one made ready.
            self.run(Work(endpoint, request, resource, float("inf")))
        else:
            deadline_ms = now_ms + time_left_ms(request)
            self.admit(Work(endpoint, request, resource, deadline_ms), now_ms)

    def handle_empty(self, message: Message, endpoint: Endpoint):
        """Close the line whose notification was reset; answer a ping."""
        if message.mtype is RST:
            for key, line in list(self.lines.items()):
                if line.endpoint == endpoint and line.last_mid == message.mid:
                    del self.lines[key]
        elif message.mtype is CON:
            reset = Message(code=EMPTY)
            reset.mtype, reset.mid, reset.token = RST, message.mid, b""
            self.outgoing.append(Outgoing(endpoint, reset.encode()))

    def is_repeated(self, request: Message, endpoint: Endpoint, now_ms: float) -> bool:
        """Return whether a request was seen before; repeat its answer if so.

        A copy of a non-confirmable request is ignored (RFC 7252, 4.3).
        """
        oldest = now_ms - EXCHANGE_LIFETIME_MS
        while self.exchanges and next(iter(self.exchanges.values()))[0] < oldest:
            self.exchanges.popitem(last=False)
        key = (endpoint, request.mid)
        if key not in self.exchanges:
            self.exchanges[key] = (now_ms, b"")
            return False
        self.counts["repeated"] += 1
        _, data = self.exchanges[key]
        if data:
            self.outgoing.append(Outgoing(endpoint, data))
        return True

    def admit(self, work: Work, now_ms: float):
        """Run work in a free slot, queue it, or shed it."""
        refuses = self.mode in (UpstreamMode.SHED, UpstreamMode.DRAINING)
        busy = self.running >= self.settings.slots
        if refuses or (busy and len(self.waiting) >= self.settings.queue):
            self.shed(work.endpoint, work.request)
            return
        self.waiting.append(work)
        self.fill_slots(now_ms)

    def fill_slots(self, now_ms: float):
        """Start waiting work while a slot is free."""
        while self.waiting and self.running < self.settings.slots:
            work = self.waiting.popleft()
            if work.deadline_ms <= now_ms:
                self.shed(work.endpoint, work.request)
                continue
            self.running += 1
            self.record(work.request)
            self.set_timer(now_ms + self.work_time_ms(now_ms), self.finish, work)

    def finish(self, work: Work, now_ms: float):
        """Answer finished work and start the next."""
        self.running -= 1
        self.answer(work.endpoint, work.request, self.result(work))
        self.fill_slots(now_ms)

    def run(self, work: Work):
        """Run work that needs no slot."""
        self.record(work.request)
        self.answer(work.endpoint, work.request, self.result(work))

    def result(self, work: Work) -> Message:
        """Return the answer to work that was run."""
        path = path_text(work.request.opt.uri_path)
        match work.resource.kind:
            case Kind.BLOCKS:
                return block_of(work.request, resource_body(path, self.settings.blocks))
            case Kind.LINE:
                status = {"path": path, "target": self.settings.target}
                return json_message(Code.CONTENT, status)
        done = {
            "id": payload_id(work.request.payload),
            "path": path,
            "result": "done",
            "target": self.settings.target,
        }
        return json_message(Code.CHANGED, done)

    def open_line(self, request: Message, endpoint: Endpoint, now_ms: float):
        """Register a line, or renew it, and answer with its state."""
        key = (endpoint, request.token)
        line = self.lines.get(key)
        if line is None:
            full = len(self.lines) >= self.settings.connections
            if full or self.mode is not UpstreamMode.UP:
                self.shed(endpoint, request)
                return
            line = Line(endpoint, request.token, request.opt.uri_path)
            self.lines[key] = line
            self.record(request, method="OBSERVE")
            self.set_timer(now_ms + self.settings.notify_ms, self.notify, line)
        self.answer(endpoint, request, self.next_state(line))

    def close_line(self, request: Message, endpoint: Endpoint, resource):
        """Close a line and answer with the resource; no slot is needed."""
        self.lines.pop((endpoint, request.token), None)
        self.record(request, method="CLOSE")
        work = Work(endpoint, request, resource, float("inf"))
        self.answer(endpoint, request, self.result(work))

    def notify(self, line: Line, now_ms: float):
        """Send a line's next notification, if it is still open."""
        if self.lines.get((line.endpoint, line.token)) is not line:
            return
        self.set_timer(now_ms + self.settings.notify_ms, self.notify, line)
        if self.mode is UpstreamMode.SILENT:
            return
        state = self.next_state(line)
        line.last_mid = self.send(line.endpoint, line.token, state)

    def next_state(self, line: Line) -> Message:
        """Return the next state of a line, with its sequence number."""
        line.sequence += 1
        path = path_text(line.path)
        target = self.settings.target
        state = {"path": path, "sequence": line.sequence, "target": target}
        message = json_message(Code.CONTENT, state)
        message.opt.observe = line.sequence % SEQUENCE_MODULUS
        return message

    def shed(self, endpoint: Endpoint, request: Message):
        """Refuse a request that was not run."""
        self.counts["shed"] += 1
        refusal = Message(code=Code.SERVICE_UNAVAILABLE)
        refusal.opt.max_age = SHED_MAX_AGE_S
        self.answer(endpoint, request, refusal)

    def answer(self, endpoint: Endpoint, request: Message, answer: Message):
        """Send the answer to a request, and keep it for a repeated one."""
        if request.mtype is not CON:
            self.send(endpoint, request.token, answer)
            return
        answer.mtype, answer.mid, answer.token = ACK, request.mid, request.token
        data = answer.encode()
        key = (endpoint, request.mid)
        if key in self.exchanges:
            self.exchanges[key] = (self.exchanges[key][0], data)
        self.outgoing.append(Outgoing(endpoint, data))

    def send(self, endpoint: Endpoint, token: bytes, message: Message) -> int:
        """Send a non-confirmable message and return its message id."""
        self.next_mid = (self.next_mid + 1) % (1 << 16)
        message.mtype, message.mid, message.token = NON, self.next_mid, token
        self.outgoing.append(Outgoing(endpoint, message.encode()))
        return self.next_mid

    def record(self, request: Message, *, method: str = "", foreign: bool = False):
        """Write a run, or a request for another upstream, to the ledger."""
        carries_id = request.code is not GET
        line = {
            "target": self.settings.target,
            "workspace": self.settings.workspace,
            "service": self.settings.service,
            "method": method or request.code.name,
            "path": path_text(request.opt.uri_path),
            "id": payload_id(request.payload) if carries_id else None,
            "foreign": foreign,
        }
        self.ledger(line)

    def work_time_ms(self, now_ms: float) -> float:
        """Return how long work takes that starts now."""
        age_ms = now_ms - self.started_at_ms
        if age_ms >= self.settings.cold_start_ms:
            return self.settings.work_ms
        cold = 1 - age_ms / self.settings.cold_start_ms
        return self.settings.work_ms * (1 + (COLD_START_SLOWDOWN - 1) * cold)

    def set_timer(self, due_ms: float, action: Callable, subject):
        """Call an action with its subject at a time."""
        heapq.heappush(self.timers, (due_ms, next(self.order), action, subject))

    def take_outgoing(self, now_ms: float) -> list[Outgoing]:
        """Return the datagrams to send and start a new list."""
        busy = self.running + len(self.waiting)
        self.loads.sample(busy, len(self.lines), now_ms=now_ms)
        taken, self.outgoing = self.outgoing, []
        return [] if self.mode is UpstreamMode.SILENT else taken
