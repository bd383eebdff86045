"""Decides which SYNs are refused because a service has too little room.

Covers bursts beyond what targets can serve, also while some of them are slow. A SYN
that is reset at once hasn't run and can be tried again in time; one that is sent to
a full target costs a connection and the caller's patience. Nothing is refused here
while targets refuse nothing and answer within the deadline.
"""

from lagoontally_lean import Record

from .._effects import LogEvent
from ._decaying import DecayingCount
from ._evidence import HALF_LIFE_MS, ServiceEvidence
from ._full_targets import FullTargets, exceeds_share
from ._limit import RateLimit
from ._ranks import Ranks, kind_of

NO_ROOM = "no_room"
TOO_LATE = "wait_exceeds_deadline"
START_SHARE = 0.15  # of answers that are refusals, above what chance brings
LEAST_KEPT = 0.5  # of the rate at the begin: few answers tell little
CALM_MS = 1_000  # without a refusal here
MAX_REFUSED_FLOWS = 512


class AllowedRequests(Record, fields="most left"):
    """Requests that a balancer may have in hand of a service.

    Attributes:
        most: Those at all targets that a new flow may go to.
        left: How many more there may be, negative where there are too many.
    """

    __slots__ = ()


class ServiceAdmission:
    """Admission to one service.

    Attributes:
        evidence: The ``ServiceEvidence``.
        limit: The ``RateLimit`` while flows are shed, else None.
        follows_reader: Whether a reader limits the requests in hand.
        ranks: The ``Ranks`` since flows are shed.
        asked: Recent SYNs.
        shed: Recent SYNs that were refused here.
        shed_ms: When a SYN was refused last.
        shed_kind: Highest kind refused since shedding began.
        shed_reason: Why flows are shed, None while none are.
    """

    def __init__(self):
        self.evidence = ServiceEvidence()
        self.limit = None
        self.follows_reader = False
        self.ranks = Ranks()
        self.asked = DecayingCount(HALF_LIFE_MS)
        self.shed = DecayingCount(HALF_LIFE_MS)
        self.shed_ms = 0
        self.shed_kind = None
        self.shed_reason = None

    def refusal(self, route, kind, now_ms, *, allowed=None, draw=0.0):
        """Return why a SYN is refused, None if it is let in.

        Args:
            route: The ``Route``.
            kind: The kind of its requests.
            now_ms: Current time.
            allowed: The ``AllowedRequests`` while a reader limits the service, else
                None.
            draw: Random number in the interval [0, 1), which rounds that limit.
        """
        self.asked.add(now_ms)
        self._follow(is_told=allowed is not None)
        evidence = self.evidence
        if route.deadline_ms and evidence.mean_wait_ms(now_ms) > route.deadline_ms:
            return self._refuse(TOO_LATE, now_ms)
        if allowed is not None:
            self.ranks.add(kind, route.name)
            room = self.ranks.room(kind, route.name, allowed.left, allowed.most)
            if draw >= room:
                return self._refuse(NO_ROOM, now_ms)
            self.ranks.on_passed(kind, route.name)
        elif self.limit is not None and not self._take_token(route, kind, now_ms):
            return self._refuse(NO_ROOM, now_ms)
        evidence.sent.add(now_ms)
        return None

    def _take_token(self, route, kind, now_ms):
        """Return whether the rate, by own evidence, allows another flow."""
        limit, evidence = self.limit, self.evidence
        self.ranks.add(kind, route.name)
        served_per_s = evidence.served_per_s(now_ms)
        limit.adjust(evidence.refused_share(now_ms), served_per_s, now_ms)
        limit.refill(now_ms)
        if not self.ranks.may_pass(kind, route.name, limit.tokens, limit.capacity):
            return False
        limit.tokens -= 1.0
        self.ranks.on_passed(kind, route.name)
        return True

    def start(self, now_ms):
        """Limit the rate if targets refuse too much; return whether it is new."""
        evidence = self.evidence
        share = evidence.refused_share(now_ms)
        if self.limit is not None or share < START_SHARE:
            return False
        if not evidence.exceeds_usual(now_ms):
            return False
        kept = max(LEAST_KEPT, 1.0 - share)
        per_s = evidence.sent.rate_per_s(now_ms) * kept
        self.limit = RateLimit(per_s, now_ms)
        self.ranks = Ranks()
        self.shed_ms = now_ms
        return True

    def _follow(self, *, is_told):
        """Begin anew where a reader's limit takes effect or lapses."""
        if is_told != self.follows_reader:
            self.follows_reader = is_told
            self.limit = None
            self.ranks = Ranks()

    def is_over(self, now_ms, *, is_told):
        """Return whether flows were shed, but nobody was refused lately."""
        if self.shed_reason is None or now_ms - self.shed_ms < CALM_MS or is_told:
            return False
        share = self.evidence.refused_share(now_ms)
        return self.limit is None or share < START_SHARE

    def end(self):
        """Let all in again."""
        self.limit = self.shed_kind = self.shed_reason = None

    def refusal_probability(self, now_ms):
        """Return the share of recent SYNs that were refused here."""
        asked = self.asked.value(now_ms)
        return self.shed.value(now_ms) / asked if asked >= 1.0 else 0.0

    def _refuse(self, reason, now_ms):
        self.shed.add(now_ms)
        self.shed_ms = now_ms
        return reason


class Admission:
    """Admission of new flows at one balancer, by its own evidence.

    Args:
        random: Random number generator, as ``random.Random``.
        advice: The ``AdviceInForce``. The limit that a reader tells by what all
            balancers saw goes before this balancer's own evidence.
        in_hand: The ``RequestsInHand``.

    Attributes:
        enabled: Whether flows may be refused or targets left out.
        services: ``ServiceAdmission`` by service.
        full_targets: The ``FullTargets``.
        refusals: Number of refusals by service, kind and reason.
        max_connections: Flows that a target holds at most, by service.
        members: Number of balancers that share them.
    """

    def __init__(self, *, random, advice, in_hand):
        self.random = random
        self.advice = advice
        self.in_hand = in_hand
        self.enabled = True
        self.services = {}
        self.full_targets = FullTargets(random=random)
        self.refusals = {}
        self.max_connections = {}
        self.members = 1
        self._refused_flows = {}
        self._effects = []

    def refusal(self, packet, route, now_ms, usable):
        """Decide on a SYN.

        A copy is refused only if its first was: the flow may have been opened
        through another balancer.

        Args:
            packet: The ``Packet``.
            route: The ``Route`` of its flow.
            now_ms: Current time.
            usable: Function of a service, a ``Route`` and a time: the ``Target``
                records that a new flow may go to.

        Returns:
            Why it is refused, None if it is let in.
        """
        if not self.enabled:
            return None
        if packet.acknowledgement:
            return self._refused_flows.get(packet.flow)
        service, kind = route.shares[0][0], kind_of(route)
        reason = self._decide(service, route, now_ms, usable)
        if reason is None:
            self._refused_flows.pop(packet.flow, None)
            return None
        if len(self._refused_flows) >= MAX_REFUSED_FLOWS:
            del self._refused_flows[next(iter(self._refused_flows))]
        self._refused_flows[packet.flow] = reason
        key = (service, kind_name(kind), reason)
        self.refusals[key] = self.refusals.get(key, 0) + 1
        self._on_shed(service, reason, now_ms)
        self._on_refused_kind(service, kind, now_ms)
        return reason

    def _decide(self, service, route, now_ms, usable):
        """Return why a first SYN is refused, None if it is let in."""
        kind = kind_of(route)
        limit = self.advice.limit(service, now_ms)
        targets = usable(service, route, now_ms) if limit is not None else ()
        if not targets:
            return self._service(service).refusal(route, kind, now_ms)
        most = limit.total(targets)
        return self._service(service).refusal(
            route,
            kind,
            now_ms,
            allowed=AllowedRequests(most, most - self.in_hand.at(targets)),
            draw=self.random.random(),
        )

    def on_answer(self, answer, now_ms):
        """Take note of an ``Answer``; return whether it is as short as a refusal."""
        service = self._service(answer.service)
        evidence, limited = service.evidence, service.limit is not None
        refused = evidence.on_answer(answer, now_ms, limited=limited)
        if refused:
            usual = evidence.mix.share
            self.full_targets.on_refused(answer.cookie, now_ms, usual_share=usual)
            told = self.advice.limit(answer.service, now_ms) is not None
            if not told and service.start(now_ms):
                self._on_shed(answer.service, NO_ROOM, now_ms)
                evidence.forget_answers(now_ms)  # they tell of the former rate
        else:
            self.full_targets.on_served(answer.cookie)
        return refused

    def on_unanswered(self, cookie, now_ms):
        """Take note that a target didn't answer a SYN."""
        self.full_targets.on_unanswered(cookie, now_ms)

    def leaves_out(self, target, flows, now_ms):
        """Return whether a target gets no flows for now.

        Args:
            target: The ``Target``.
            flows: Flows of this balancer to it.
            now_ms: Current time.
        """
        if not self.enabled:
            return False
        if self.full_targets.is_full(target.cookie, now_ms):
            return True
        most = self.max_connections.get(target.service, 0)
        return exceeds_share(flows, most, self.members)

    def on_tick(self, now_ms):
        """Return ``LogEvent`` records where shedding began, changed or ended."""
        for name, service in self.services.items():
            told = self.advice.limit(name, now_ms) is not None
            if service.is_over(now_ms, is_told=told):
                self._log("shedding_ended", name, service, now_ms)
                service.end()
        effects, self._effects = self._effects, []
        return effects

    def probabilities(self, now_ms):
        """Return the refusal probability by service."""
        return {
            name: round(service.refusal_probability(now_ms), 3)
            for name, service in self.services.items()
        }

    def rates(self):
        """Return the flows a second that are let in, by service that is shed."""
        return {
            name: round(service.limit.per_s, 1)
            for name, service in self.services.items()
            if service.limit is not None
        }

    def mean_waits(self, now_ms):
        """Return how long served answers took lately, in ms, by service."""
        return {
            name: round(service.evidence.mean_wait_ms(now_ms))
            for name, service in self.services.items()
        }

    def _service(self, name):
        service = self.services.get(name)
        if service is None:
            service = self.services[name] = ServiceAdmission()
        return service

    def _on_shed(self, name, reason, now_ms):
        service = self.services[name]
        if service.shed_reason is None:
            service.shed_reason = reason
            self._log("shedding_began", name, service, now_ms)

    def _on_refused_kind(self, name, kind, now_ms):
        service = self.services[name]
        if service.shed_kind is not None and service.shed_kind <= kind:
            return
        service.shed_kind = kind
        self._log("shedding_kind", name, service, now_ms)

    def _log(self, event, name, service, now_ms):
        limit, kind = service.limit, service.shed_kind
        fields = (
            ("service", name),
            ("reason", service.shed_reason),
            ("kind", None if kind is None else kind_name(kind)),
            *service.evidence.inputs(now_ms),
            ("per_s", None if limit is None else round(limit.per_s, 1)),
            ("probability", round(service.refusal_probability(now_ms), 3)),
        )
        self._effects.append(LogEvent(event, fields))


def kind_name(kind):
    """Return the name of a kind in logs and counters."""
    priority, repeatable = kind
    return f"priority-{priority}-{'repeatable' if repeatable else 'once'}"
