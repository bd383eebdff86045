"""A simulated world on a virtual clock, with real cores and codecs.

Each balancer is the core with the CoAP codec of the edges; each upstream is the
stand-in's logic and each caller the caller library's. Only sockets, processes
and time are simulated. The seed determines every run.
"""

import heapq
import itertools
from collections import Counter
from random import Random
from typing import Any, NamedTuple

from lagoontally_core import SendKind
from lagoontally_model import Findings, Timing, parse_template

from ._balancer_node import BalancerNode
from ._links import CALLER, PLATFORM, Links

TEMPLATE_READ_MS = 5
MAX_WATCH_DELAY_MS = 200
WATCH_TIMEOUT_MS = 10_000
LIST_POLL_INTERVAL_MS = 5_000
LIST_LAG_MS = 3_000
TICK_MS = 100


class Moment(NamedTuple):
    """A point in a run at which a fault can be injected.

    Attributes:
        name: What happened, such as ``relayed``.
        node: Name of the node that it happened at.
        subject: The request, action or other object concerned.
        target: Address of the upstream concerned, or empty.
    """

    name: str
    node: str
    subject: Any = None
    target: str = ""


class World:
    """Nodes, links and a virtual clock.

    Attributes:
        now_ms: The virtual time.
        random: Source of every random choice.
        links: The links between the nodes.
        balancers: The balancers by name, including those that have ended.
        upstreams: The upstreams by address.
        callers: The callers by address; a former address still maps to its caller.
        document: The document that the platform serves, None for none.
        platform_up: False while the platform doesn't answer.
        platform_stale: The document served instead while it is stale.
        late_watch_ms: Extra delay of a template, by balancer name.
        ledger: The requests that upstreams ran, in order, each a dictionary.
        outcomes: The ``RequestOutcome`` of each finished request.
        listeners: Called with each ``Moment``.
        versions: ``(time, balancer, version)`` of each template adopted.
        counts: The balancers' counters, added up.
        last_sender: Address and latest sender of work, by the target's name.
        sent: ``(time, target, kind)`` of each new request or line sent upstream.
        cut_off_callers: Callers' addresses whose packets are lost in both
            directions.
    """

    def __init__(self, seed, *, timing=None):
        self.seed = seed
        self.random = Random(seed)
        self.timing = timing or Timing()
        self.now_ms = 0
        self.queue = []
        self.order = itertools.count()
        self.links = Links(Random(self.random.random()))
        self.balancers = {}
        self.upstreams = {}
        self.callers = {}
        self.document = None
        self.platform_up = True
        self.platform_stale = None
        self.late_watch_ms = {}
        self.ledger = []
        self.outcomes = []
        self.listeners = []
        self.versions = []
        self.counts = Counter()
        self.cut_off_callers = set()
        self.sent = []
        self.sent_tokens = set()
        self.last_sender = {}
        self.listed_instances = []
        self.after(0, self._refresh_list)

    def after(self, delay_ms, action, *arguments):
        """Call ``action`` after a delay."""
        due_ms = self.now_ms + int(delay_ms)
        heapq.heappush(self.queue, (due_ms, next(self.order), action, arguments))

    def run_until(self, until_ms):
        """Run everything that is due until this time."""
        while self.queue and self.queue[0][0] <= until_ms:
            due_ms, _, action, arguments = heapq.heappop(self.queue)
            self.now_ms = max(self.now_ms, due_ms)
            action(*arguments)
        self.now_ms = until_ms

    def notify_listeners(self, name, node, subject=None, *, target=""):
        """Notify the listeners of a ``Moment``."""
        moment = Moment(name, node, subject, target)
        for listener in list(self.listeners):
            listener(moment)

    def add_balancer(self, name, data_centre, workspace):
        """Start a balancer."""
        node = BalancerNode(self, name, data_centre, workspace)
        self.balancers[name] = node
        self.after(0, self._tick, node)
        self.after(1, self._watch, node)
        self.after(1, self._poll_list, node)
        return node

    def _watch(self, node):
        """Read the template at regular intervals, as a watch that times out does."""
        if node.alive:
            self.read_template(node)
            self.after(WATCH_TIMEOUT_MS, self._watch, node)

    def _tick(self, node):
        if not node.alive:
            return
        node.tick()
        self.after(TICK_MS, self._tick, node)

    def live_balancers(self, workspace):
        """Return the balancers to which the fabric sends packets."""
        return [
            node
            for node in self.balancers.values()
            if node.alive and node.serving and node.workspace == workspace
        ]

    def publish(self, document):
        """Publish a document; each balancer's watch sees it after a random delay.

        Raises:
            ValueError: The document is invalid.
        """
        parsed = parse_template(document)
        if isinstance(parsed, Findings):
            raise ValueError(parsed.reason)
        self.document = document
        for node in self.balancers.values():
            delay_ms = self.random.randrange(MAX_WATCH_DELAY_MS)
            delay_ms += self.late_watch_ms.get(node.name, 0)
            self.after(delay_ms, self.read_template, node)

    def read_template(self, node):
        """Read the template for a balancer, if the platform answers."""
        document = self.platform_stale or self.document
        if not self.platform_up or document is None or not node.alive:
            return
        for delay_ms in self.links.delays(PLATFORM, ("platform",), node.places):
            self.after(delay_ms + TEMPLATE_READ_MS, node.receive_template, document)

    def _refresh_list(self):
        """Update the platform's list of instances, which lags behind the fleet."""
        listed_instances = [
            node.instance()
            for node in self.balancers.values()
            if node.alive or self.now_ms - node.ended_ms < LIST_LAG_MS
        ]
        self.after(LIST_LAG_MS, setattr, self, "listed_instances", listed_instances)
        self.after(1_000, self._refresh_list)

    def _poll_list(self, node):
        if not node.alive:
            return
        self.read_list(node)
        self.after(LIST_POLL_INTERVAL_MS, self._poll_list, node)

    def read_list(self, node):
        """Read the platform's list for a balancer, if the platform answers."""
        if not self.platform_up:
            return
        own = [
            item for item in self.listed_instances if item.workspace == node.workspace
        ]
        for delay_ms in self.links.delays(PLATFORM, ("platform",), node.places):
            self.after(delay_ms, node.receive_instances, own)

    def send_to_any_balancer(self, caller, workspace, service, datagram):
        """Send a caller's datagram to a random balancer of its workspace."""
        live = self.live_balancers(workspace)
        if not live or caller in self.cut_off_callers:
            return
        source = ("callers", caller)
        for delay_ms in self.links.delays(CALLER, source, ("fabric",)):
            node = self.random.choice(live)
            self.after(
                delay_ms, node.receive_caller_datagram, caller, service, datagram
            )

    def send_to_caller(self, node, address, datagram):
        """Send a balancer's datagram to a caller."""
        caller = self.callers.get(address)
        if caller is None or address in self.cut_off_callers:
            return
        for delay_ms in self.links.delays(CALLER, node.places, ("callers", address)):
            self.after(delay_ms, caller.receive_datagram, address, datagram)

    def record_sent(self, sender, action):
        """Record new work sent upstream; refreshing a line isn't new work."""
        if action.kind is SendKind.REQUEST:
            name = self.upstreams[action.target].name
            self.last_sender[name] = (action.target, sender)
        if action.kind is SendKind.LINE_CLOSE or action.token in self.sent_tokens:
            return
        self.sent_tokens.add(action.token)
        self.sent.append((self.now_ms, action.target, action.kind.name))

    def record_run(self, line):
        """Record an entry of an upstream's ledger."""
        self.ledger.append({**line, "at_ms": self.now_ms})
        if line["method"] == "POST":
            address, sender = self.last_sender.get(line["target"], ("", ""))
            self.notify_listeners("at the upstream", sender, line["id"], target=address)
