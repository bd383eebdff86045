"""Executes the core's actions by passing them to the edges."""

import json
import sys
from functools import singledispatchmethod

from lagoontally_core import (
    PAUSE_MS,
    AnswerCaller,
    AnswerOperator,
    AskIdentity,
    Count,
    LogChange,
    NotifyCaller,
    ReadInstances,
    ReadTemplate,
    RecordLatency,
    SendDiscarded,
    SendPeer,
    SendUpstream,
    ServeEntries,
    Stop,
)
from lagoontally_edges import log_change, monotonic_ms


class ActionExecutor:
    """Passes each action to the edge that executes it.

    Args:
        edges: The edges, an ``Edges``.
        stop: Event that is set once the balancer has left.
        post: Called with each event for the core.

    Attributes:
        ready_printed: True once the readiness line has been printed.
    """

    def __init__(self, *, edges, stop, post):
        self.edges = edges
        self.stop = stop
        self.post = post
        self.ready_printed = False

    def execute(self, action, decided_ms):
        """Execute an action that was decided at ``decided_ms``.

        A request isn't sent to a target if the process paused after the decision:
        its caller may already have been answered that the outcome is unknown.
        """
        stale = monotonic_ms() - decided_ms >= PAUSE_MS
        if stale and isinstance(action, SendUpstream):
            self.edges.metrics.count(Count("upstream.discarded_after_pause"))
            self.post(SendDiscarded(action.token))
            return
        self.pass_to_edge(action)

    @singledispatchmethod
    def pass_to_edge(self, action):
        """Pass an action to its edge.

        Raises:
            TypeError: No edge executes this type of action.
        """
        raise TypeError(f"no edge for {type(action).__name__}")

    @pass_to_edge.register
    def _(self, action: AnswerCaller):
        self.edges.callers.answer(action)

    @pass_to_edge.register
    def _(self, action: NotifyCaller):
        self.edges.callers.notify(action)

    @pass_to_edge.register
    def _(self, action: SendUpstream):
        self.edges.upstreams.send(action)

    @pass_to_edge.register
    def _(self, action: AskIdentity):
        self.edges.upstreams.query_identity(action)

    @pass_to_edge.register
    def _(self, action: SendPeer):
        self.edges.peers.send(action)

    @pass_to_edge.register
    def _(self, action: ReadTemplate):
        self.edges.platform.request_template_read()

    @pass_to_edge.register
    def _(self, action: ReadInstances):
        self.edges.platform.request_instances_read()

    @pass_to_edge.register
    def _(self, action: Count):
        self.edges.metrics.count(action)

    @pass_to_edge.register
    def _(self, action: RecordLatency):
        self.edges.metrics.record(action)

    @pass_to_edge.register
    def _(self, action: LogChange):
        log_change(action)

    @pass_to_edge.register
    def _(self, action: AnswerOperator):
        if "members" in action.result:
            action.result.update(self.edges.metrics.snapshot())
        self.edges.operators.answer(action)

    @pass_to_edge.register
    def _(self, action: ServeEntries):
        failed = self.edges.callers.serve(action.ports)
        for item in failed:
            log_change(LogChange("ERROR", "entry port not bound", item._asdict()))
        if not self.ready_printed and not failed:
            self.ready_printed = True
            print(json.dumps({"ready": True}), flush=True)

    @pass_to_edge.register
    def _(self, action: Stop):
        # The last messages may still be in the sockets' buffers, so nothing is
        # closed here.
        sys.stdout.flush()
        self.stop.set()
