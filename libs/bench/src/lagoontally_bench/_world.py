"""A world on a virtual clock: real cores and codecs, small fakes around them.

Each balancer is the core with the CoAP codec of the edges; each upstream is the
stand-in's logic and each caller the caller library's. Only sockets, processes
and time are replaced. Everything follows from the seed.
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
WATCH_SPREAD_MS = 200
WATCH_WAIT_MS = 10_000
LIST_INTERVAL_MS = 5_000
LIST_LAG_MS = 3_000
TICK_MS = 100


class Moment(NamedTuple):
    """Something that has happened, for faults to be tied to.

    Attributes:
        name: What happened, such as ``relayed``.
        node: Name of the node that it happened at.
        subject: What it was about.
        target: Address of the upstream that has to do with it, or empty.
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
        balancers: The balancers by name, also those that are gone.
        upstreams: The upstreams by address.
        callers: The callers by address; an address stays with its caller.
        document: The document that the platform serves, None for none.
        platform_up: False while the platform doesn't answer.
        platform_stale: The document served instead while it is stale.
        late_watch_ms: Extra delay of a template, by balancer name.
        ledger: What the upstreams ran, in order, each a dictionary.
        told: What the callers were told, each a ``Told``.
        listeners: Called with each ``Moment``.
        versions: ``(time, balancer, version)`` of each template put in force.
        counts: The balancers' counters, added up.
        last_sender: Address and latest sender of work, by the target's name.
        sent: ``(time, target, kind)`` of each new piece of work sent upstream.
        silenced: Callers' addresses that no packet reaches or leaves any more.
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
        """Let time pass."""
        while self.queue and self.queue[0][0] <= until_ms:
            due_ms, _, action, arguments = heapq.heappop(self.queue)
            self.now_ms = max(self.now_ms, due_ms)
            action(*arguments)
        self.now_ms = until_ms

    def moment(self, name, node, subject=None, *, target=""):
        """Tell the listeners what has happened."""
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
        """Read the template again and again, as a watch that times out does."""
        if node.alive:
            self.read_template(node)
            self.after(WATCH_WAIT_MS, self._watch, node)

    def _tick(self, node):
        if not node.alive:
            return
        node.tick()
        self.after(TICK_MS, self._tick, node)

    def live_balancers(self, workspace):
        """Return the balancers that the fabric knows of."""
        return [
            node
            for node in self.balancers.values()
            if node.alive and node.serving and node.workspace == workspace
        ]

    def publish(self, document):
        """Publish a document; each balancer's watch sees it at its own time.

        Raises:
            ValueError: The document has faults.
        """
        parsed = parse_template(document)
        if isinstance(parsed, Findings):
            raise ValueError(parsed.reason)
        self.document = document
        for node in self.balancers.values():
            delay_ms = self.random.randrange(WATCH_SPREAD_MS)
            delay_ms += self.late_watch_ms.get(node.name, 0)
            self.after(delay_ms, self.read_template, node)

    def read_template(self, node):
        """Let a balancer read the template, where the platform answers it."""
        document = self.platform_stale or self.document
        if not self.platform_up or document is None or not node.alive:
            return
        for delay_ms in self.links.delays(PLATFORM, ("platform",), node.places):
            self.after(delay_ms + TEMPLATE_READ_MS, node.take_template, document)

    def _refresh_list(self):
        """Let the platform's list follow the fleet, with its lag."""
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
        self.after(LIST_INTERVAL_MS, self._poll_list, node)

    def read_list(self, node):
        """Let a balancer read the platform's list, where the platform answers."""
        if not self.platform_up:
            return
        own = [
            item for item in self.listed_instances if item.workspace == node.workspace
        ]
        for delay_ms in self.links.delays(PLATFORM, ("platform",), node.places):
            self.after(delay_ms, node.take_list, own)

    def spray(self, caller, workspace, service, datagram):
        """Hand a caller's datagram to any balancer of its workspace."""
        live = self.live_balancers(workspace)
        if not live or caller in self.cut_off_callers:
            return
        source = ("callers", caller)
        for delay_ms in self.links.delays(CALLER, source, ("fabric",)):
            node = self.random.choice(live)
            self.after(delay_ms, node.take_datagram, caller, service, datagram)

    def to_caller(self, node, address, datagram):
        """Bring a balancer's datagram to a caller."""
        caller = self.callers.get(address)
        if caller is None or address in self.cut_off_callers:
            return
        for delay_ms in self.links.delays(CALLER, node.places, ("callers", address)):
            self.after(delay_ms, caller.take, address, datagram)

    def note_sent(self, sender, action):
        """Note new work on its way upstream; a line's refresh is none."""
        if action.kind is SendKind.REQUEST:
            name = self.upstreams[action.target].name
            self.last_sender[name] = (action.target, sender)
        if action.kind is SendKind.LINE_CLOSE or action.token in self.sent_tokens:
            return
        self.sent_tokens.add(action.token)
        self.sent.append((self.now_ms, action.target, action.kind.name))

    def record_run(self, line):
        """Take a line of an upstream's ledger."""
        self.ledger.append({**line, "at_ms": self.now_ms})
        if line["method"] == "POST":
            address, sender = self.last_sender.get(line["target"], ("", ""))
            self.moment("at the upstream", sender, line["id"], target=address)
