"""What a balancer and the reader of its data centre tell each other about load.

Every balancer reports to its reader, which combines the reports and advises all. Only
the advice decides; a balancer that gets none places by its own counts.
"""

from .._effects import LogEvent
from ._answer_log import AnswerLog
from ._concurrency_limits import ConcurrencyLimits
from ._connection_counts import ConnectionCounts, reported_flows
from ._data_centre_demand import DataCentreDemand
from ._load_messages import DemandDigest, LoadAdvice
from ._spill import FULL_LOAD, START_LOAD, spill_parts, total_load
from ._target_speeds import TargetSpeeds

ADVICE_INTERVAL_MS = 250
ROOM_LOAD = 0.8  # of all slots; demand is known to a fifth, so more may be full
DIGEST_SENDER_LIFETIME_MS = 5_000
MAX_SHARES, MAX_SPILLS = 30, 5  # of one advice, the slowest first; fit a datagram
MAX_FULL = 20  # in place of as many shares
MAX_LIMITED, SHARES_PER_LIMITED = 5, 2  # services; shares that each displaces
MAX_DIGEST_SENDERS = 64  # anyone can send a digest from a forged address


class LoadSharing:
    """A balancer's part in sharing load, and its reader's.

    Args:
        data_centre: This balancer's data centre.
        view: The ``View``.
        health: The ``Health``.
        evacuations: The ``Evacuations``; emptied data centres have no capacity.
        flows: The ``FlowTable``.
        admission: The ``Admission``, which knows the caps of connections. Unless it is
            enabled, nothing is said about them.
        advice: The ``AdviceInForce``.

    Attributes:
        log: The ``AnswerLog`` of this balancer.
        limits: The ``ConcurrencyLimits``, of use in a reader.
        objectives: Shortest objective of the routes to each service in milliseconds.
        speeds: The ``TargetSpeeds``, of use in a reader.
        demand: The ``DataCentreDemand``, of use in a reader.
        connections: The ``ConnectionCounts``, of use in a reader.
        spills: Parts by data centre, by service; set by a reader.
    """

    def __init__(
        self, *, data_centre, view, health, evacuations, flows, admission, advice
    ):
        self.data_centre = data_centre
        self.view = view
        self.health = health
        self.evacuations = evacuations
        self.flows = flows
        self.admission = admission
        self.advice = advice
        self.log = AnswerLog()
        self.objectives = {}
        self.spills = {}
        self._digest_senders = {}
        self._reset_reader()

    def take_report(self, now_ms, *, members):
        """Return the ``LoadReport`` that is due; see ``AnswerLog.take_report``."""
        caps = self._caps()
        flows = (
            reported_flows(self.flows.open_flows, self.view, caps, members)
            if caps
            else ()
        )
        return self.log.take_report(now_ms, members=members, flows=flows)

    def on_report(self, report, host, now_ms):
        """Handle the ``LoadReport`` of a member, or this balancer's own."""
        if not self._is_reader:
            return  # of a member that doesn't know the present reader yet
        self.demand.on_arrivals(report.arrivals)
        self.speeds.on_answers(host, report.answers, now_ms)
        self.connections.on_report(host, report.flows, now_ms)
        self.limits.on_report(report, now_ms)

    def on_digest(self, digest, host, now_ms):
        """Handle a ``DemandDigest`` from a reader, or passed on by a seed.

        Returns:
            Hosts to pass it on to: the readers of other data centres that have lately
            sent one here. Readers that send none are not loaded and don't need it.
        """
        if digest.data_centre != self.data_centre:
            self.demand.on_digest(digest, now_ms)
        if digest.passed_on:
            return []
        senders = self._digest_senders
        if len(senders) >= MAX_DIGEST_SENDERS:
            senders.clear()
        senders[host] = (digest.data_centre, now_ms)
        return [
            other
            for other, (data_centre, sent_ms) in senders.items()
            if data_centre != digest.data_centre
            and now_ms - sent_ms <= DIGEST_SENDER_LIFETIME_MS
        ]

    def advise(self, now_ms, *, reader):
        """Return what a reader sends, when it is due.

        Args:
            now_ms: Current time.
            reader: Whether this balancer reads for its data centre.

        Returns:
            A ``LoadAdvice`` for the members or None, a ``DemandDigest`` for the seeds
            or None, and ``LogEvent`` records for what changed.
        """
        if not reader:
            if self._is_reader:
                self._reset_reader()
            return None, None, []
        self._is_reader = True
        if now_ms < self._next_ms:
            return None, None, []
        self._next_ms = now_ms + ADVICE_INTERVAL_MS
        shares_before, spills_before = self.speeds.shares, self.spills
        full_before = self.connections.full
        limited_before = self.limits.limited()
        listed = self.view.usable.values()
        targets = [one for one in listed if not one.leaving]
        dead = {one.cookie for one in targets if self.health.is_dead(one.cookie)}
        self.speeds.judge(listed, now_ms, dead=dead, loads=self._loads)
        digest = self._update_demand(targets, now_ms)
        self._update_limits(targets, dead, now_ms)
        self.connections.update(
            targets,
            self.data_centre,
            max_connections=self._caps(),
            members=self.admission.members,
            now_ms=now_ms,
        )
        events = self._share_events(shares_before) + self._spill_events(spills_before)
        events += self._full_events(full_before) + self._limit_events(limited_before)
        said_before = shares_before or spills_before or full_before or limited_before
        advice = self._advice()
        if not (any(advice) or said_before):
            return None, digest, events
        self.advice.on_advice(advice, now_ms)
        return advice, digest, events

    def gauges(self):
        """Return a reader's gauges by name."""
        return {
            "targets_set_aside": len(self.speeds.shares),
            "services_spilling": len(self.spills),
            "targets_at_cap": len(self.connections.full),
        }

    def _caps(self):
        """Return the stated caps of connections by service, if they are kept."""
        admission = self.admission
        if not admission.enabled:
            return {}
        return {name: most for name, most in admission.max_connections.items() if most}

    def _update_limits(self, targets, dead, now_ms):
        """Adjust the limits of services by the targets that may get new flows."""
        if not self.admission.enabled:
            return
        self.limits.objectives = self.objectives
        usable = [
            target
            for target in targets
            if target.cookie not in dead
            and not self.evacuations.is_evacuated(target.data_centre)
        ]
        self.limits.update(
            usable,
            data_centre=self.data_centre,
            speeds=self.speeds,
            room_elsewhere=self._room_elsewhere,
            members=self.admission.members,
            now_ms=now_ms,
        )

    def _update_demand(self, targets, now_ms):
        """Update demand and spills; return the ``DemandDigest`` to send, or None."""
        waits = {
            service: usual_ms
            for (service, place), usual_ms in self.speeds.usual_ms.items()
            if place == self.data_centre
        }
        if not self.demand.update(waits, now_ms):
            return None
        capacities = self._capacities(targets, now_ms)
        self.spills = {}
        self._room_elsewhere = set()
        for service, sizes in capacities.items():
            demands = self.demand.by_data_centre(service, self.data_centre, now_ms)
            latest = {self.data_centre: self.demand.latest.get(service, 0.0)}
            if len(sizes) > 1 and total_load(sizes, demands | latest) < ROOM_LOAD:
                self._room_elsewhere.add(service)
            parts = self._spill(service, sizes, demands)
            if parts:
                self.spills[service] = parts
        self._loads = {
            (service, self.data_centre): self._kept_demand(service) / own
            for service, sizes in capacities.items()
            if (own := sizes.get(self.data_centre, 0))
        }
        told = self.demand.to_tell(
            {name: sizes.get(self.data_centre, 0) for name, sizes in capacities.items()}
        )
        return DemandDigest(self.data_centre, told, False) if told else None

    def _kept_demand(self, service):
        """Return the slots that callers keep busy here, after what is spilled."""
        spilled = sum(self.spills.get(service, {}).values())
        return self.demand.busy.get(service, 0.0) * (1.0 - spilled)

    def _spill(self, service, sizes, demands):
        least = FULL_LOAD if service in self._spilling else START_LOAD
        own = sizes.get(self.data_centre, 0)
        if not own or demands[self.data_centre] <= least * own:
            self._spilling.discard(service)
            return {}
        self._spilling.add(service)
        return spill_parts(self.data_centre, sizes, demands)

    def _capacities(self, targets, now_ms):
        """Return usable slots by data centre, by service; a slow one counts in part."""
        capacities = {}
        for target in targets:
            emptied = self.evacuations.is_evacuated(target.data_centre)
            if emptied or self.health.is_dead(target.cookie):
                continue
            sizes = capacities.setdefault(target.service, {})
            speed = self.speeds.speed(target)
            size = sizes.get(target.data_centre, 0) + target.slots * speed
            sizes[target.data_centre] = size
        for service, sizes in capacities.items():
            told = self.demand.told_capacities(service, now_ms)
            sizes |= {name: told[name] for name in sizes.keys() & told.keys()}
        return capacities

    def _advice(self):
        slowest = sorted(self.speeds.shares.items(), key=lambda item: item[1])
        shares = [(cookie, round(100 * share)) for cookie, share in slowest]
        spills = [
            (service, [(name, round(100 * part)) for name, part in parts.items()])
            for service, parts in self.spills.items()
        ]
        full = sorted(self.connections.full)[:MAX_FULL]
        limited = min(MAX_LIMITED, len(self.limits.limits))
        most = MAX_SHARES - len(full) - SHARES_PER_LIMITED * limited
        limits = self.limits.to_tell(self.admission.members, most_pairs=most)[:limited]
        most -= sum(len(pairs) for _, _, pairs in limits)
        return LoadAdvice(shares[:most], spills[:MAX_SPILLS], full, limits)

    def _share_events(self, before):
        events = []
        for cookie in self.speeds.shares.keys() - before.keys():
            work_ms, share = self.speeds.work_ms.get(cookie), self.speeds.shares[cookie]
            faults = self.speeds.backoff.held.get(cookie, 0)
            fields = (("share", round(share, 2)), ("work_ms", work_ms))
            fields += (("faults", faults),)
            events.append(self._target_event("target_set_aside", cookie, fields))
        for cookie in before.keys() - self.speeds.shares.keys():
            events.append(self._target_event("target_restored", cookie, ()))
        return events

    def _full_events(self, before):
        full = self.connections.full
        return [
            self._target_event("target_at_cap", cookie, (("full", cookie in full),))
            for cookie in sorted(full ^ before)
        ]

    def _target_event(self, event, cookie, fields):
        target = self.view.by_cookie.get(cookie)
        name = target.name.hex() if target else f"unknown-{cookie:08x}"
        return LogEvent(event, (("target", name), *fields))

    def _spill_events(self, before):
        events = []
        for service in self.spills.keys() - before.keys():
            parts = {
                name: round(part, 2) for name, part in self.spills[service].items()
            }
            busy = round(self.demand.busy.get(service, 0), 1)
            fields = (("service", service), ("busy", busy), ("parts", parts))
            events.append(LogEvent("spill_started", fields))
        for service in before.keys() - self.spills.keys():
            events.append(LogEvent("spill_ended", (("service", service),)))
        return events

    def _limit_events(self, before):
        events = []
        limited = self.limits.limited()
        for service in limited.keys() - before.keys():
            in_hand = round(limited[service], 1)
            events.append(
                LogEvent("limit_started", (("service", service), ("in_hand", in_hand)))
            )
        for service in before.keys() - limited.keys():
            events.append(LogEvent("limit_ended", (("service", service),)))
        return events

    def _reset_reader(self):
        """Drop what only a reader keeps."""
        self.speeds = TargetSpeeds()
        self.demand = DataCentreDemand()
        self.connections = ConnectionCounts()
        self.limits = ConcurrencyLimits()
        self.spills = {}
        self._room_elsewhere = set()
        self._spilling = set()
        self._loads = {}
        self._is_reader = False
        self._next_ms = 0
