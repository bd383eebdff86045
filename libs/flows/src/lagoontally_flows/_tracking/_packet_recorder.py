"""Learns from the packets of open flows how their targets respond."""

from .._effects import DealtAnew
from .._records import FIN, Answer
from .._targets import LONG_AGO_MS
from ._evidence import CONFIRMED
from ._flow_table import SEQUENCE_MASK

REHASH_NOTICE_INTERVAL_MS = 200  # answers in transit arrive in this time


class PacketRecorder:
    """Records packets of open flows.

    Args:
        view: The ``View``.
        health: The ``Health``.
        flows: The ``FlowTable``.
        stuck_targets: The ``StuckTargets``.
        on_answer: Function of an ``Answer`` and the current time.
        effects: List to which ``Probe``, ``Verdict`` and ``DealtAnew`` records are
            added.
    """

    def __init__(self, *, view, health, flows, stuck_targets, on_answer, effects):
        self.view = view
        self.health = health
        self.flows = flows
        self.stuck_targets = stuck_targets
        self.on_answer = on_answer
        self.effects = effects
        self._rehashed_ms = LONG_AGO_MS

    def record(self, packet, flow, holder, now_ms):
        """Record a packet that is forwarded on an open flow.

        Args:
            packet: The ``Packet``.
            flow: Its ``Flow``, None if it isn't known here.
            holder: The ``Holder`` that it goes to.
            now_ms: Current time.
        """
        cookie = holder.cookie
        if flow is not None and flow.cookie != cookie and flow.continues(packet):
            return  # sent to an alternative of its holder
        if flow is None or flow.cookie != cookie:
            self._on_rehashed_flow(packet, cookie, now_ms)
            flow = self.flows.add(packet.flow, cookie, now_ms)
            if holder.evidence < CONFIRMED:
                flow.told = (holder.cookie, holder.evidence)
        flow.holder = holder
        if flow.is_stalled(packet, now_ms):
            flow.last_packet_ms = now_ms
            flow.is_used, flow.data_sent_ms = True, now_ms
            self.flows.resume_request(packet.flow, flow, now_ms)
            self.effects.extend(self.stuck_targets.on_retransmission(flow, now_ms))
            probes = self.health.on_stall(cookie, flow.progress_ms, now_ms)
            self.effects.extend(probes)
            return
        acknowledged = flow.acknowledged
        if flow.record(packet, now_ms):
            self.health.on_response(cookie, now_ms)
            if flow.request_sent_ms is not None:
                answer = self._answer(packet, cookie, flow, acknowledged, now_ms)
                self.on_answer(answer, now_ms)
                self.flows.complete_request(packet.flow, flow)
                self.effects.extend(self.stuck_targets.on_answer(cookie, now_ms))
        if packet.flags & FIN:
            self.flows.complete_request(packet.flow, flow)
            self.flows.close(packet.flow, flow)
        elif packet.length:
            self.flows.start_request(packet.flow, flow, now_ms)

    def _answer(self, packet, cookie, flow, acknowledged, now_ms):
        """Return the ``Answer`` to a flow's pending request."""
        target = self.view.by_cookie.get(cookie)
        return Answer(
            packet.flow,
            cookie,
            target.service if target else "",
            now_ms - flow.request_sent_ms,
            (packet.acknowledgement - acknowledged) & SEQUENCE_MASK,
        )

    def on_flows_rehashed(self, now_ms):
        """Handle a peer's notice that routers rehashed the flows."""
        self._rehashed_ms = now_ms
        self.flows.set_pending_aside()

    def on_abandoned_request(self, packet, flow, now_ms):
        """Report a request that was pending when the caller ended the flow."""
        if flow is None or flow.request_sent_ms is None:
            return
        if packet.acknowledgement == flow.acknowledged:
            self.effects.extend(self.stuck_targets.on_abandoned_request(flow, now_ms))

    def _on_rehashed_flow(self, packet, cookie, now_ms):
        """Handle the first packet of a flow that came from another balancer.

        Routers have rehashed flows, so answers to pending requests may be acknowledged
        through other balancers. A bare acknowledgement follows an answer to a
        request sent through another balancer, so the rehash has just happened. The
        flow of a new request may have been rehashed long ago, while it was idle.
        """
        self.flows.set_pending_aside()
        if packet.length or packet.flags & FIN:
            return
        self.effects.extend(self.stuck_targets.on_answer(cookie, now_ms))
        if now_ms - self._rehashed_ms >= REHASH_NOTICE_INTERVAL_MS:
            self._rehashed_ms = now_ms
            self.effects.append(DealtAnew())
