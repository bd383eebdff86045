"""Checks of the balancers' promises against what callers and targets observed."""

from typing import NamedTuple

from lagoontally_standins.packets import Outcome

from ._disturbances import STORE, STORE_PARTLY, STORE_SUBJECTS
from ._faults import ENTRY_EXPIRY_S
from ._violation import Violation

DRAIN_S = 3.0
CONFIGURATION_S = 3.0
EXCUSE_WINDOW_S = 4.0  # a disturbance this long before an event excuses it
MAX_STRETCH_S = 12.0  # that a store that rejects some balancers is an excuse for


class SentRequest(NamedTuple):
    """A request that a caller sent.

    Attributes:
        flow: Addresses and ports of caller and route.
        opened_at: When the caller opened its flow.
    """

    flow: tuple
    opened_at: float


class Checks:
    """Checks of one run.

    Args:
        deployment: The ``Deployment``.
        faults: The ``Faults`` injected into it.
        evacuations: The ``Evacuations``.
        cold_returns: The ``ColdReturns``.

    Attributes:
        late_since: When a request on a route that had been dropped for
            ``CONFIGURATION_S`` was first answered, by flow.
    """

    def __init__(self, deployment, faults, evacuations, cold_returns):
        self.deployment = deployment
        self.faults = faults
        self.evacuations = evacuations
        self.cold_returns = cold_returns
        self.late_since = {}

    def violations_of_run(self, sent_requests, targets, data_centres):
        """Return every ``Violation`` of the whole run.

        Args:
            sent_requests: Every ``SentRequest`` by request.
            targets: Every target that ever ran, by id.
            data_centres: Data centre of each of them, by id.
        """
        located = {name: (data_centres[name], one) for name, one in targets.items()}
        return [
            *self._run_violations(sent_requests),
            *self._old_configuration_violations(sent_requests, targets),
            *self._drain_violations(targets),
            *self.evacuations.violations(located, self._balancer_at),
            *self.cold_returns.violations(targets, self._balancer_at),
        ]

    def _run_violations(self, sent_requests):
        first_runs = {}
        for run in self.deployment.ledger:
            first = first_runs.setdefault(run.request, run)
            if first is not run:
                detail = f"{run.request} ran again: {run} after {first}"
                yield Violation("a request runs once", detail)
            sent = sent_requests.get(run.request)
            services = self.faults.route_history.ever(sent.flow[2:]) if sent else ()
            if run.service not in services:
                detail = f"{run.request} for {services} ran at {run}"
                yield Violation("a request reaches its own service", detail)

    def _old_configuration_violations(self, sent_requests, targets):
        """Yield a violation for each run that only an older configuration allows.

        A flow stays at its target when its route moves, so what counts is its opening.
        """
        history = self.faults.route_history
        for run in self.deployment.ledger:
            sent = sent_requests.get(run.request)
            if sent is None:
                continue
            route, opened_at = sent.flow[2:], sent.opened_at
            opening = targets[run.target].first_syns[sent.flow]
            allowed = history.allowed(route, opened_at - CONFIGURATION_S, opening.at)
            if run.service in allowed or run.service not in history.ever(route):
                continue
            changed_at = history.replaced_at(route, run.service, opening.at)
            name = self._balancer_at(opening.host)
            start = opened_at - EXCUSE_WINDOW_S
            disturbances = self.faults.disturbances
            if disturbances.any_between((name,), start, opening.at):
                continue
            if self._is_store_excuse(start, opening.at, changed_at):
                continue
            detail = f"{run.request} on {route[1]} ran at {run.service}, of {allowed}, "
            detail += f"through {name} {opened_at - changed_at:.2f} s after"
            yield Violation("a request runs by the newest configuration", detail)

    def _balancer_at(self, host):
        return next(
            name
            for name, balancer in self.deployment.balancers.items()
            if balancer.settings["host"] == host
        )

    def _drain_violations(self, targets):
        for target_id, drain_started_at in self.faults.drain_started_at.items():
            if drain_started_at is None:
                continue
            for flow, opening in targets[target_id].first_syns.items():
                late = opening.at > drain_started_at + DRAIN_S
                if late and not self._is_opening_excused(opening):
                    after_s = opening.at - drain_started_at
                    detail = f"{target_id} got {flow} from {opening.host} {after_s:.2f}"
                    yield Violation("a leaving target gets no new flow", detail)

    def _is_opening_excused(self, opening):
        """Return whether the store or the forwarding balancer was disturbed."""
        subjects = (*STORE_SUBJECTS, self._balancer_at(opening.host))
        return self.faults.disturbances.any_between(
            subjects, opening.at - EXCUSE_WINDOW_S, opening.at
        )

    def balancer_exit_violations(self):
        """Return a violation for each balancer that exited without a fault."""
        return [
            Violation(
                "no balancer ends by itself",
                f"{name}, status {balancer.process.returncode}",
            )
            for name, balancer in self.deployment.balancers.items()
            if not balancer.alive() and not self.faults.is_faulted(name)
        ]

    def outcome_violations(self, flow, sent_at):
        """Return the violations that the outcome of one request shows.

        Args:
            flow: The ``CallerFlow``.
            sent_at: When the request was sent.
        """
        if flow.outcome is Outcome.WRONG:
            return [Violation("an answer is the request's own", flow.request)]
        route = flow.flow[2:]
        if self.faults.route_history.dropped_at(route) is not None:
            return self._dropped_route_violations(flow, sent_at)
        if flow.outcome is Outcome.RESET and not self._is_reset_excused(flow):
            at = self.deployment.loop.now
            detail = f"{flow.flow} to {flow.target}, sent {flow.request}, at {at:.3f}"
            return [Violation("an open flow isn't reset", detail)]
        added_at = self.faults.route_history.added_at(route)
        refused = flow.outcome is Outcome.NOT_OPENED and route in self.deployment.routes
        settled = sent_at > added_at + CONFIGURATION_S
        now = self.deployment.loop.now
        excused = self._is_excused(flow, sent_at, now, added_at)
        excused = excused or self._has_target_ended(sent_at)
        excused = excused or self._were_targets_cold(route, sent_at, now)
        if refused and settled and not excused:
            detail = f"{flow.flow} sent {flow.request}"
            return [Violation("a route in force takes flows", detail)]
        return []

    def _dropped_route_violations(self, flow, sent_at):
        dropped_at = self.faults.route_history.dropped_at(flow.flow[2:])
        late = sent_at > dropped_at + CONFIGURATION_S
        answered = flow.outcome is Outcome.ANSWERED
        if not answered or not late:
            return []
        if self._may_be_open_still(flow, sent_at, dropped_at):
            return []
        if self._is_excused(flow, sent_at, sent_at, dropped_at):
            return []
        detail = f"{flow.flow} sent {flow.request} {sent_at - dropped_at:.2f} s after"
        return [Violation("a dropped route takes no request", detail)]

    def _may_be_open_still(self, flow, sent_at, dropped_at):
        """Return whether a flow was open before and has just met another balancer.

        The platform's rules judge by the opening. A balancer that gets the flow anew
        can't know at once whether its route was dropped or is new.
        """
        _, target = self.deployment.targets.get(flow.target, (None, None))
        opening = target and target.first_syns.get(flow.flow)
        if opening is None or opening.at > dropped_at + CONFIGURATION_S:
            return False
        since = self.late_since.setdefault(flow.flow, sent_at)
        return sent_at - since <= CONFIGURATION_S

    def _is_reset_excused(self, flow):
        """Return whether the flow's route or target has ended, or was disturbed.

        A balancer that has just started is no excuse: it ends no flow of a route or a
        target that it may not know yet.
        """
        now = self.deployment.loop.now
        known = flow.target in self.deployment.targets
        if not known or flow.flow[2:] not in self.deployment.routes:
            return True
        start = now - EXCUSE_WINDOW_S
        return self.faults.disturbances.any_between((flow.target,), start, now)

    def _is_excused(self, flow, sent_at, end, changed_at):
        """Return whether the store or a balancer of the data centre was disturbed.

        Args:
            flow: The ``CallerFlow``.
            sent_at: When its request was sent.
            end: Until when a balancer may have handled it.
            changed_at: When the route was changed.
        """
        start, balancers = sent_at - EXCUSE_WINDOW_S, self._balancers_of(flow)
        disturbed = self.faults.disturbances.any_between(balancers, start, end)
        return disturbed or self._is_store_excuse(start, end, changed_at)

    def _balancers_of(self, flow):
        """Return the names of the balancers in the data centre of a flow's caller."""
        data_centre = next(
            name
            for name, callers in self.deployment.callers.items()
            if callers is flow.callers
        )
        return [
            name
            for name, balancer in self.deployment.balancers.items()
            if balancer.settings["data_centre"] == data_centre
        ]

    def _is_store_excuse(self, start, end, changed_at):
        """Return whether the store excuses an older configuration between two times.

        The platform's rules: a store that is down or slow always does; one that is
        unstable stretches the time for a change by ``MAX_STRETCH_S`` at most. Reads
        that are merely old are no excuse.
        """
        disturbances = self.faults.disturbances
        if disturbances.any_between((STORE,), start, end):
            return True
        stretched = end <= changed_at + CONFIGURATION_S + MAX_STRETCH_S
        return stretched and disturbances.any_between((STORE_PARTLY,), start, end)

    def _were_targets_cold(self, route, sent_at, now):
        """Return whether only cold targets may have been left to a route's flows."""
        service = self.deployment.routes.get(route)
        start = sent_at - EXCUSE_WINDOW_S
        return self.cold_returns.was_scarce(service, start, now)

    def _has_target_ended(self, moment):
        """Return whether a target's host may have refused a flow at a moment.

        The host of a target that exited refuses flows until its entry is delisted.
        """
        targets = self.deployment.targets.keys() | self.faults.drain_started_at.keys()
        return self.faults.disturbances.any_began(
            targets, moment - ENTRY_EXPIRY_S - EXCUSE_WINDOW_S, moment
        )
