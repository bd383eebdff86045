"""Places new flows, and moves those whose target doesn't answer their SYN."""

from .._records import Drop, Forward, Reset
from .._tracking import STALL_AFTER_MS
from ._target_selector import EVACUATED, WARMING_UP

PLACED = "placed"  # reason of forwarding a SYN to its flow's first target
LATE_COPY_MS = 2_000  # a copy of a SYN may arrive this long after it


class FlowPlacer:
    """Decides which target gets a SYN.

    Args:
        view: The ``View``.
        health: The ``Health``.
        flows: The ``FlowTable``.
        half_open_flows: The ``HalfOpenFlows``.
        target_selector: The ``TargetSelector``.
        warm_up_budgets: The ``WarmUpBudgets`` that count the SYNs of cold targets.
        admission: The ``Admission``, asked before a target is selected.
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
        warm_up_budgets,
        admission,
        demand,
        answer_log,
        effects,
    ):
        self.view = view
        self.health = health
        self.flows = flows
        self.half_open_flows = half_open_flows
        self.target_selector = target_selector
        self.warm_up_budgets = warm_up_budgets
        self.admission = admission
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
            A ``Forward``, a ``Reset``, or a ``Drop`` of a copy for a target that gets
            no more for now.
        """
        action = self._decide(packet, route, now_ms)
        if not isinstance(action, Forward):
            return action
        admitted = self.warm_up_budgets.take(action.target, now_ms)
        return action if admitted else Drop(WARMING_UP)

    def _decide(self, packet, route, now_ms):
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
            target = self._usable(silent)
        else:
            self.flows.move(packet.flow, flow, target.cookie)
        if target is None:
            self.flows.remove(packet.flow)
            reason = self.target_selector.refusal(route, now_ms, avoid=flow.tried)
            return Reset(reason, packet.acknowledgement)
        return Forward(target, "silent_target")

    def _on_repeated_syn(self, packet, flow, route, now_ms):
        recent = now_ms - flow.last_packet_ms < STALL_AFTER_MS
        if recent or packet.acknowledgement:
            target = self.view.by_cookie.get(flow.cookie)
            if target is not None and not self.target_selector.is_evacuated(target):
                return Forward(target, "repeated_syn")
            late = flow.established and now_ms - flow.last_packet_ms < LATE_COPY_MS
            if target is not None and (recent or late):
                return Drop("evacuated")  # the SYN before has reached the target
        return self._place_flow(packet, route, now_ms)

    def _place_flow(self, packet, route, now_ms):
        reason = self.admission.refusal(
            packet, route, now_ms, self.target_selector.usable
        )
        if reason is not None:
            self.answer_log.on_arrival(route.shares[0][0], refused=True)
            return Reset(reason, packet.acknowledgement)
        caller = packet.flow[0]
        target = self.target_selector.select(
            route,
            now_ms,
            avoid=self.half_open_flows.possibly_refused_by(caller, now_ms),
        ) or self.target_selector.select(route, now_ms)
        self.answer_log.on_arrival(target.service if target else route.shares[0][0])
        if target is None:
            return self._refuse(packet, route, now_ms)
        self.demand.on_syn(route.shares, served=True)
        flow = self.flows.add(packet.flow, target.cookie, now_ms)
        self.flows.in_hand.begin(packet.flow, target.cookie, now_ms)
        self.half_open_flows.add(packet.flow, flow, now_ms)
        self.probe_overdue(now_ms)
        return Forward(target, PLACED)

    def _usable(self, cookie):
        """Return the target of a cookie unless its data centre is emptied."""
        target = self.view.by_cookie.get(cookie)
        if target is None or self.target_selector.is_evacuated(target):
            return None
        return target

    def _refuse(self, packet, route, now_ms):
        """Reset a SYN that no target may get, and count it.

        Where all targets are in emptied data centres, no other balancer has one either.
        """
        reason = self.target_selector.refusal(route, now_ms)
        self.demand.on_syn(route.shares, served=reason == EVACUATED)
        return Reset(reason, packet.acknowledgement)

    def probe_overdue(self, now_ms):
        """Probe the targets that haven't answered a SYN in time."""
        for cookie, placed_ms in self.half_open_flows.overdue(now_ms):
            self.effects.extend(self.health.on_stall(cookie, placed_ms, now_ms))
            self.admission.on_unanswered(cookie, now_ms)
