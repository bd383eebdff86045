"""Selection of targets by view, health and load."""

from ._placement import select_service, select_target
from ._target_order import TargetOrder

MAX_RANDOM_RANK = 1 << 16


class TargetSelector:
    """Selects targets for new flows and controls for probes.

    Args:
        view: The ``View``.
        health: The ``Health``.
        stuck_targets: The ``StuckTargets``; suspects are used only as a last resort.
        flows: The ``FlowTable``, whose counts are the load.
        data_centre: This balancer's data centre.
        random: Random number generator, as ``random.Random``.
        load_advice: The ``AdviceInForce`` on slow targets and spill.

    Attributes:
        order: The ``TargetOrder`` that divides equally loaded targets.
    """

    def __init__(
        self,
        *,
        view,
        health,
        stuck_targets,
        flows,
        data_centre,
        random,
        load_advice,
    ):
        self.view = view
        self.health = health
        self.stuck_targets = stuck_targets
        self.flows = flows
        self.data_centre = data_centre
        self.random = random
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
            service: self._healthy(service, now_ms, avoid)
            for service, _ in route.shares
        }
        service = select_service(
            route.shares, targets_by_service.get, self.random.random()
        )
        if service is None:
            return None
        return select_target(
            self.load_advice.admitted(targets_by_service[service], now_ms, self.random),
            load=lambda target: self.flows.open_flows.get(target.cookie, 0),
            data_centre=self.data_centre,
            data_centres=self.view.data_centres() | {self.data_centre},
            draw=self.random.random(),
            tie_break=self.order.place,
            spill=self.load_advice.spill(service, now_ms),
        )

    def control_target(self, cookie):
        """Return the control target for a probe, None if there is none.

        Prefers the local target that answered a caller last: if it doesn't answer
        either, this balancer's own network is at fault.
        """
        others = [
            target
            for target in self.view.targets.values()
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

    def _healthy(self, service, now_ms, avoid):
        healthy = [
            target
            for target in self.view.candidates(service, now_ms)
            if target.cookie not in avoid and not self.health.is_dead(target.cookie)
        ]
        responsive = [
            target
            for target in healthy
            if not self.stuck_targets.is_stuck(target.cookie)
        ]
        return responsive or healthy
