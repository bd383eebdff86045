"""Places new flows, and moves those whose target doesn't answer their SYN."""

from .._records import Forward, Reset

STALL_AFTER_MS = 150  # less than a caller's first retransmission at 200 ms


class FlowPlacer:
    """Decides which target gets a SYN.

    Args:
        view: The ``View``.
        health: The ``Health``.
        flows: The ``FlowTable``.
        half_open_flows: The ``HalfOpenFlows``.
        target_selector: The ``TargetSelector``.
        demand: The ``Demand`` that counts SYNs.
        answer_log: The ``AnswerLog`` that counts them for the reader.
        effects: List to which ``Probe`` records are added.
    """

    def __init__(
        self,
        *,
        view,
        health,
        flows,
        half_open_flows,
        target_selector,
        demand,
        answer_log,
        effects,
    ):
        self.view = view
        self.health = health
        self.flows = flows
        self.half_open_flows = half_open_flows
        self.target_selector = target_selector
        self.demand = demand
        self.answer_log = answer_log
        self.effects = effects

    def on_syn(self, packet, route, now_ms):
        """Decide on a SYN or a copy of one.

        Args:
            packet: The ``Packet``.
            route: The ``Route`` of its flow.
            now_ms: Current time.

        Returns:
            A ``Forward`` or a ``Reset``.
        """
        flow = self.flows.flows.get(packet.flow)
        if flow is None:
            return self._place_flow(packet, route, now_ms)
        # Copies that were queued here together are no evidence against the target.
        waited_here = now_ms - flow.last_packet_ms < STALL_AFTER_MS
        if flow.established or waited_here or not packet.acknowledgement:
            return self._on_repeated_syn(packet, flow, route, now_ms)
        silent, since_ms = flow.cookie, flow.last_packet_ms
        flow.last_packet_ms = now_ms
        self.effects.extend(self.health.on_stall(silent, since_ms, now_ms))
        target = self.target_selector.select(route, now_ms, avoid=flow.tried)
        if target is None:
            target = self.view.by_cookie.get(silent)
        else:
            self.flows.move(flow, target.cookie)
        if target is None:
            self.flows.remove(packet.flow)
            return Reset("no_target", packet.acknowledgement)
        return Forward(target, "silent_target")

    def _on_repeated_syn(self, packet, flow, route, now_ms):
        if now_ms - flow.last_packet_ms < STALL_AFTER_MS or packet.acknowledgement:
            target = self.view.by_cookie.get(flow.cookie)
            if target is not None:
                return Forward(target, "repeated_syn")
        return self._place_flow(packet, route, now_ms)

    def _place_flow(self, packet, route, now_ms):
        caller = packet.flow[0]
        target = self.target_selector.select(
            route,
            now_ms,
            avoid=self.half_open_flows.possibly_refused_by(caller, now_ms),
        ) or self.target_selector.select(route, now_ms)
        self.demand.on_syn(route.shares, served=target is not None)
        self.answer_log.on_arrival(target.service if target else route.shares[0][0])
        if target is None:
            return Reset("no_target", packet.acknowledgement)
        flow = self.flows.add(packet.flow, target.cookie, now_ms)
        self.half_open_flows.add(packet.flow, flow, now_ms)
        self.probe_overdue(now_ms)
        return Forward(target, "placed")

    def probe_overdue(self, now_ms):
        """Probe the targets that haven't answered a SYN in time."""
        for cookie, placed_ms in self.half_open_flows.overdue(now_ms):
            self.effects.extend(self.health.on_stall(cookie, placed_ms, now_ms))
