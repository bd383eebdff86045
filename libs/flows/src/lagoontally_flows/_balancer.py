"""Decides what happens to each packet that a caller sends.

A SYN goes to a target selected by load. Every later packet goes to the target
that its cookie names, whichever balancer receives it. The flow state kept here
only improves these decisions and can be lost at any time.
"""

from ._admission import Admission
from ._effects import evacuation_event
from ._load import AdviceInForce, LoadSharing, shortest_objectives
from ._placing import (
    PLACED,
    Demand,
    FlowPlacer,
    TargetSelector,
    WarmUpBudgets,
    is_cut_off,
)
from ._records import FIN, RST, SYN, Drop, Forward, Hold, Reset
from ._store import ALL_CHANGES, Evacuations, StoreHistory
from ._target_entries import TargetEntries
from ._targets import (
    ANSWERED,
    NO_COOKIE,
    STUCK,
    UNANSWERED,
    Health,
    StuckTargets,
    UnknownCookies,
    View,
    reset_flows,
    should_reset_flows,
    unconfirmed,
)
from ._tracking import (
    CONFIRMED,
    RETURNED,
    FlowHolders,
    FlowTable,
    HalfOpenFlows,
    PacketRecorder,
    is_route_removed,
)

# How long a SYN and its copies may wait until the next one is sent, or none is.
STALE_SYN_MS = (200, 400, 800)
LATE_TICK_MS = 250  # ticks are 50 ms apart; a longer gap means a paused process


class Balancer:
    """The decisions of one balancer.

    Args:
        data_centre: Data centre that the balancer runs in.
        random: Random number generator, as ``random.Random``.
        evacuations: The ``Evacuations``, None for none ever.

    Attributes:
        view: Targets that the platform lists.
        configuration: The ``Configuration`` in force, None before the first.
        flows: Recently seen flows.
        holders: Which targets hold the flows.
        evacuations: The data centres whose targets get no new flows.
        health: Which targets respond.
        stuck_targets: Targets that accept requests and don't answer them.
        warm_ups: How long targets warm up.
        warm_up_budgets: Limits the new flows of targets that warm up.
        half_open_flows: Flows whose handshake isn't complete.
        admission: Decides which SYNs are refused for lack of room.
        load_sharing: What is told and known of uneven load.
        target_selector: Selects the targets of new flows.
        demand: Recent SYNs by service.
        placer: Decides on SYNs.
        recorder: Learns from the packets of open flows.
        entries: Applies the entries of targets.
        cut_off: Whether callers are better served through another data centre.
        in_rotation: Whether readiness tells routers to send packets here.
        effects: ``FlowReset``, ``Probe``, ``Verdict``, ``DealtAnew`` and
            ``LogEvent`` records that wait for ``take_effects``.
        view_confirmed_ms: When the view was last known to be current.
        platform_heard_ms: When the platform last answered, or None.
        configuration_confirmed_ms: When the configuration in force was last known to be
            the newest, or None.
        ticked_ms: Time of the last tick, None before the first.
    """

    def __init__(self, *, data_centre, random, evacuations=None):
        self.data_centre = data_centre
        self.view = View()
        self.evacuations = evacuations or Evacuations(StoreHistory())
        self.configuration = None
        self.flows = FlowTable()
        self.health = Health()
        self.stuck_targets = StuckTargets(self.flows)
        self.half_open_flows = HalfOpenFlows()
        self.warm_up_budgets = WarmUpBudgets(data_centre)
        self.warm_ups = self.warm_up_budgets.warm_ups
        advice = AdviceInForce()
        self.admission = Admission(
            random=random, advice=advice, in_hand=self.flows.in_hand
        )
        self.load_sharing = LoadSharing(
            data_centre=data_centre,
            view=self.view,
            health=self.health,
            evacuations=self.evacuations,
            flows=self.flows,
            admission=self.admission,
            advice=advice,
        )
        self.target_selector = TargetSelector(
            view=self.view,
            health=self.health,
            stuck_targets=self.stuck_targets,
            flows=self.flows,
            evacuations=self.evacuations,
            warm_up_budgets=self.warm_up_budgets,
            admission=self.admission,
            data_centre=data_centre,
            random=random,
            load_advice=advice,
        )
        self.demand = Demand()
        self.effects = []
        self.placer = FlowPlacer(
            view=self.view,
            health=self.health,
            flows=self.flows,
            half_open_flows=self.half_open_flows,
            target_selector=self.target_selector,
            warm_up_budgets=self.warm_up_budgets,
            admission=self.admission,
            demand=self.demand,
            answer_log=self.load_sharing.log,
            effects=self.effects,
        )
        self.recorder = PacketRecorder(
            view=self.view,
            health=self.health,
            flows=self.flows,
            stuck_targets=self.stuck_targets,
            on_answer=self._on_answer,
            effects=self.effects,
        )
        self.holders = FlowHolders(view=self.view, flows=self.flows)
        self._unknown_cookies = UnknownCookies()
        self.entries = TargetEntries(
            view=self.view,
            health=self.health,
            flows=self.flows,
            warm_ups=self.warm_ups,
            unknown_cookies=self._unknown_cookies,
            effects=self.effects,
        )
        self.cut_off = False
        self.in_rotation = True
        self.view_confirmed_ms = None
        self.platform_heard_ms = None
        self.configuration_confirmed_ms = None
        self.ticked_ms = None

    def configure(self, configuration):
        """Apply a configuration unless the same or a newer one is in force.

        Returns:
            True if it was applied.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.entries.on_services(configuration.service_names(), self.ticked_ms or 0)
        self.warm_ups.services = configuration.services
        self.load_sharing.objectives = shortest_objectives(
            configuration.routes.values()
        )
        deadlines_ms = [route.deadline_ms for route in configuration.routes.values()]
        self.flows.in_hand.set_lifetime(max(deadlines_ms, default=0))
        self.admission.max_connections = {
            name: service.max_connections
            for name, service in configuration.services.items()
        }
        return True

    def on_packet(self, packet, now_ms, *, waited_ms=0):
        """Decide what happens to a packet.

        Args:
            packet: The ``Packet``.
            now_ms: Current time.
            waited_ms: How long the packet may have been queued here.

        Returns:
            A ``Forward``, ``Reset`` or ``Drop``, or a ``Hold`` until there is a
            configuration or members may have replied.
        """
        if packet.flags & SYN:
            if packet.flags & ~SYN:
                return Drop("forged_handshake")
            copy = min(packet.acknowledgement, len(STALE_SYN_MS) - 1)
            if waited_ms >= STALE_SYN_MS[copy]:
                return Drop("stale_syn")
            if self.configuration is None:
                return Hold()
            return self._on_syn(packet, now_ms, waited_ms)
        flow = self.flows.flows.get(packet.flow)
        holder = self.holders.find(packet, flow, now_ms)
        if holder is None:
            return Drop("no_cookie")
        is_claim = holder.evidence == RETURNED
        if is_claim and self.holders.should_wait(packet, holder, now_ms):
            return Hold()
        self.half_open_flows.remove(packet.flow)
        if packet.flags & (RST | FIN):
            self.recorder.on_abandoned_request(packet, flow, now_ms)
        if packet.flags & RST:
            target = self.view.by_cookie.get(holder.cookie)
            self.flows.remove(packet.flow)
            return Forward(target, "open_flow") if target else Drop("unknown_cookie")
        return self._on_open_flow(packet, flow, holder, now_ms)

    def _on_open_flow(self, packet, flow, holder, now_ms):
        cookie = holder.cookie
        if self.configuration is not None and self._route(packet.flow) is None:
            # A flow with another cookie is an earlier one of the same port.
            known = flow if flow is not None and flow.cookie == cookie else None
            if is_route_removed(known, self.configuration_confirmed_ms):
                return self._end_flow(packet, "route_removed", now_ms)
        target = self.view.by_cookie.get(cookie)
        if target is None:
            return self._on_unknown_cookie(packet, cookie, now_ms)
        if self.health.is_confirmed(cookie):
            return self._end_flow(packet, "target_dead", now_ms)
        if packet.length and self._should_reset(packet, cookie, now_ms):
            return self._end_flow(packet, "target_stuck", now_ms)
        self.recorder.record(packet, flow, holder, now_ms)
        if self.health.is_dead(cookie):
            self.effects.extend(self.health.request_probe(cookie, now_ms))
        reason = "open_flow"
        if packet.cookie not in (cookie, NO_COOKIE, unconfirmed(cookie)):
            reason = "cookie_overruled"
        return Forward(target, reason, holder.evidence == CONFIRMED)

    def _end_flow(self, packet, reason, now_ms):
        """Forget a flow and return the reset for its caller.

        The packet is dropped if another target may hold the flow.
        """
        if self.holders.is_awaited(packet.flow, now_ms):
            return Drop("holder_unknown")
        self.flows.remove(packet.flow)
        return Reset(reason, packet.acknowledgement)

    def on_entries(self, changes, now_ms):
        """Handle changed entries: pairs of a key and a ``Target`` or None."""
        for key, target in changes:
            self.entries.on_entry(key, target, now_ms)

    def on_listing(self, entries, now_ms, rules=ALL_CHANGES):
        """Handle a complete listing: ``Target`` by key, and its ``ListingRules``.

        Returns:
            The changes, in the form that ``on_entries`` accepts.
        """
        return self.entries.on_listing(entries, now_ms, rules)

    def on_probe_result(self, cookie, evidence, now_ms):
        """Handle the result of a probe; see ``Health.on_probe_result``."""
        self.warm_ups.on_evidence(cookie, evidence)
        verdicts = self.health.on_probe_result(cookie, evidence, now_ms)
        self.effects.extend(verdicts)
        if any(verdict.dead for verdict in verdicts):
            self.entries.reset_flows(cookie, evidence)

    def on_verdict(self, verdict, host, now_ms):
        """Handle the ``Verdict`` that the peer at ``host`` sent."""
        if verdict.evidence in (STUCK, UNANSWERED, ANSWERED):
            self.effects.extend(self.stuck_targets.on_verdict(verdict, host, now_ms))
            return
        self.warm_ups.on_evidence(verdict.cookie, verdict.evidence)
        is_new = self.health.on_verdict(verdict, now_ms)
        if is_new and self.flows.open_flows.get(verdict.cookie):
            self.effects.extend(self.health.request_probe(verdict.cookie, now_ms))

    def on_flows_rehashed(self, now_ms):
        """Handle a peer's notice that routers rehashed the flows."""
        self.recorder.on_flows_rehashed(now_ms)

    def on_tick(self, now_ms):
        """Start due probes, report and reset stuck targets and drop old state."""
        late = self.ticked_ms is not None and now_ms - self.ticked_ms > LATE_TICK_MS
        self.ticked_ms = now_ms
        if late or not self.in_rotation:
            # Acknowledgements were missed, or pass through other balancers.
            self.flows.forget_pending()
        if self.configuration is not None:
            self.flows.sweep(now_ms, self.configuration.idle_timeout_ms)
        for cookie in self.view.forget_delisted(now_ms):
            self.health.forget(cookie)
            self.stuck_targets.forget(cookie)
            self.warm_ups.forget(cookie)
            self.admission.full_targets.forget(cookie)
        self.warm_up_budgets.on_tick(now_ms)
        self.placer.probe_overdue(now_ms)
        self.effects.extend(self.health.due_probes(now_ms))
        self._reset_stuck_flows(now_ms)
        self.effects.extend(self.admission.on_tick(now_ms))
        self.demand.on_tick(now_ms)
        self.holders.on_tick(now_ms)
        self.cut_off = is_cut_off(
            self.demand,
            self.platform_heard_ms,
            now_ms,
            was_cut_off=self.cut_off,
            out_of_reach=bool(self.demand.syns)
            and self.target_selector.is_out_of_reach(self.demand.syns, now_ms),
        )

    def target_id(self, cookie):
        """Return the target id of a cookie in the form used in logs."""
        if cookie == NO_COOKIE:
            return ""
        target = self.view.by_cookie.get(self.view.resolve(cookie)[0])
        return target.name.hex() if target else f"unknown-{cookie:08x}"

    def state_summary(self, now_ms):
        """Return the state behind decisions, and its age, for logs and metrics."""
        confirmed_ms = self.view_confirmed_ms
        return {
            "version": self.configuration.version if self.configuration else None,
            "view_age_ms": None if confirmed_ms is None else now_ms - confirmed_ms,
            "targets": len(self.view.targets),
            "dead": len(self.health.down_marks),
            "evacuated": len(self.evacuations.since_ms),
        }

    def take_effects(self):
        """Return and clear the effects requested since the last call."""
        updates = self.evacuations.take_updates()
        self.warm_ups.on_evacuations(
            updates, self.view.targets.values(), self.ticked_ms or 0
        )
        events = [evacuation_event(one, self.view.targets) for one in updates]
        effects = [*events, *self.effects, *self.holders.take_messages()]
        self.effects.clear()  # in place: the placer holds the same list
        return effects

    def _on_answer(self, answer, now_ms):
        """Hand an answer on to the decisions that learn from it."""
        refused = self.admission.on_answer(answer, now_ms)
        self.load_sharing.log.on_answer(answer, refused=refused)

    def _route(self, flow):
        _, _, address, port = flow
        return self.configuration.routes.get((address, port))

    def _on_syn(self, packet, now_ms, waited_ms):
        route = self._route(packet.flow)
        if route is None:
            return Reset("no_route", packet.acknowledgement)
        if self.holders.is_open_elsewhere(packet, now_ms):
            return Drop("stale_syn")
        action = self.placer.on_syn(packet, route, now_ms)
        if action.reason == PLACED and isinstance(action, Forward):
            self.holders.on_placed(packet, now_ms, waited_ms=waited_ms)
        return action

    def _reset_stuck_flows(self, now_ms):
        """Report overdue requests and reset the flows of confirmed stuck targets."""
        self.effects.extend(self.stuck_targets.on_tick(now_ms))
        if self.configuration is None:
            return
        for cookie in self.stuck_targets.suspects:
            if should_reset_flows(
                cookie, stuck_targets=self.stuck_targets, view=self.view, now_ms=now_ms
            ):
                self.effects.extend(
                    reset_flows(
                        cookie, flows=self.flows, is_repeatable=self._is_repeatable
                    )
                )

    def _should_reset(self, packet, cookie, now_ms):
        """Return whether to reset the flow so that its request goes elsewhere."""
        should_reset = should_reset_flows(
            cookie, stuck_targets=self.stuck_targets, view=self.view, now_ms=now_ms
        )
        return should_reset and self._is_repeatable(packet.flow)

    def _is_repeatable(self, flow):
        """Return whether the caller of a flow may repeat its requests."""
        route = self._route(flow) if self.configuration is not None else None
        return route is not None and route.repeatable

    def _on_unknown_cookie(self, packet, cookie, now_ms):
        confirmed_ms = self.view_confirmed_ms
        if self._unknown_cookies.is_gone(cookie, now_ms, confirmed_ms):
            return self._end_flow(packet, "target_gone", now_ms)
        return Drop("unknown_cookie")
