"""Selection of targets by view, health and load."""

from ._placement import select_by_limit, select_service, select_target
from ._regions import in_allowed_regions
from ._target_order import TargetOrder

NO_TARGET = "no_target"
EVACUATED = "evacuated"
REST_UNREACHABLE = "evacuated_rest_unreachable"
WARMING_UP = "warming_up"
MAX_RANDOM_RANK = 1 << 16


class TargetSelector:
    """Selects targets for new flows and controls for probes.

    Args:
        view: The ``View``.
        health: The ``Health``.
        stuck_targets: The ``StuckTargets``; suspects are used only as a last resort.
        flows: The ``FlowTable``, whose counts are the load.
        evacuations: The ``Evacuations``.
        warm_up_budgets: The ``WarmUpBudgets`` that limit the flows of cold targets.
        admission: The ``Admission``; targets that it leaves out are used only where
            no others are left.
        data_centre: This balancer's data centre.
        random: Random number generator, as ``random.Random``.
        load_advice: The ``AdviceInForce`` on slow targets and spill.

    Attributes:
        regions: Region by data centre, as far as they are known.
        order: The ``TargetOrder`` that divides equally loaded targets.
    """

    def __init__(
        self,
        *,
        view,
        health,
        stuck_targets,
        flows,
        evacuations,
        warm_up_budgets,
        admission,
        data_centre,
        random,
        load_advice,
    ):
        self.view = view
        self.health = health
        self.stuck_targets = stuck_targets
        self.flows = flows
        self.evacuations = evacuations
        self.warm_up_budgets = warm_up_budgets
        self.admission = admission
        self.data_centre = data_centre
        self.random = random
        self.regions = {}
        self.load_advice = load_advice
        self.order = TargetOrder(view, int(random.random() * MAX_RANDOM_RANK))

    def select(self, route, now_ms, avoid=()):
        """Return the target for a new flow, None if there is none.

        Args:
            route: The ``Route`` of the flow.
            now_ms: Current time.
            avoid: Cookies of targets to leave out.
        """
        targets_by_service = {
            service: self.usable(service, route, now_ms, avoid)
            for service, _ in route.shares
        }
        service = select_service(
            route.shares, targets_by_service.get, self.random.random()
        )
        if service is None:
            return None
        targets = targets_by_service[service]
        limit = self.load_advice.limit(service, now_ms)
        if limit is not None:
            return select_by_limit(
                targets,
                limit=limit,
                in_hand=self.flows.in_hand.by_target,
                draw=self.random.random(),
            )
        return select_target(
            self.load_advice.admitted(targets, now_ms, self.random),
            load=lambda target: self.flows.open_flows.get(target.cookie, 0),
            data_centre=self.data_centre,
            data_centres=self.view.data_centres() | {self.data_centre},
            draw=self.random.random(),
            tie_break=self.order.place,
            spill=self.load_advice.spill(service, now_ms),
        )

    def usable(self, service, route, now_ms, avoid=()):
        """Return the targets of a service that a new flow may go to.

        Args:
            service: Name of the service.
            route: The ``Route`` of the flow.
            now_ms: Current time.
            avoid: Cookies of targets to leave out.
        """
        healthy = self._healthy(service, route, now_ms, avoid)
        # Before the full ones are left out: they are used rather than none where all
        # other targets are cold and may get no more.
        admitted = self.warm_up_budgets.admitted(healthy, now_ms)
        leaves_out, open_flows = self.admission.leaves_out, self.flows.open_flows
        roomy = [
            target
            for target in admitted
            if not leaves_out(target, open_flows.get(target.cookie, 0), now_ms)
        ]
        return roomy or admitted

    def is_evacuated(self, target):
        """Return whether a target's data centre is emptied."""
        return self.evacuations.is_evacuated(target.data_centre)

    def is_out_of_reach(self, services, now_ms):
        """Return whether all targets outside emptied data centres are dead from here.

        Args:
            services: Names of services.
            now_ms: Current time.

        Returns:
            False if no data centre is emptied, or if a service has no such target.
        """
        if not self.evacuations.since_ms:
            return False
        usable = [
            self.view.candidates(service, now_ms, self.evacuations.is_evacuated)
            for service in services
        ]
        return all(usable) and all(
            self.health.is_dead(target.cookie) for one in usable for target in one
        )

    def refusal(self, route, now_ms, avoid=()):
        """Return why there is no target for a new flow.

        Args:
            route: The ``Route`` of the flow.
            now_ms: Current time.
            avoid: Cookies of targets that haven't answered its SYN.

        Returns:
            ``NO_TARGET``, ``WARMING_UP`` if all usable targets warm up and get no more
            for now, ``EVACUATED`` if there are targets, all in data centres that are
            emptied, or ``REST_UNREACHABLE`` if there are others as well.
        """
        services = [service for service, _ in route.shares]
        if any(self._healthy(service, route, now_ms, avoid) for service in services):
            return WARMING_UP
        if not self.evacuations.since_ms:
            return NO_TARGET
        listed = [
            one for name in services for one in self.view.candidates(name, now_ms)
        ]
        if not any(map(self.is_evacuated, listed)):
            return NO_TARGET
        return EVACUATED if all(map(self.is_evacuated, listed)) else REST_UNREACHABLE

    def control_target(self, cookie):
        """Return the control target for a probe, None if there is none.

        Prefers the local target that answered a caller last: if it doesn't answer
        either, this balancer's own network is at fault.
        """
        others = [
            target
            for target in self.view.usable.values()
            if target.cookie != cookie and not self.health.is_dead(target.cookie)
        ]
        return max(
            others,
            key=lambda target: (
                target.data_centre == self.data_centre,
                self.health.responded_ms.get(target.cookie, 0),
            ),
            default=None,
        )

    def _healthy(self, service, route, now_ms, avoid=()):
        evacuations = self.evacuations
        is_evacuated = evacuations.is_evacuated if evacuations.since_ms else None
        candidates = self.view.candidates(service, now_ms, is_evacuated)
        healthy = [
            target
            for target in in_allowed_regions(candidates, route.regions, self.regions)
            if target.cookie not in avoid and not self.health.is_dead(target.cookie)
        ]
        responsive = [
            target
            for target in healthy
            if not self.stuck_targets.is_stuck(target.cookie)
        ]
        return responsive or healthy
