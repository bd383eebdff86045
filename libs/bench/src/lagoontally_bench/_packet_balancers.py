"""The packet balancers' decisions as a policy of the queueing model."""

from random import Random

from lagoontally_flows import (
    ACCEPTED,
    ACK,
    FIN,
    REFUSED,
    RST,
    SYN,
    Balancer,
    Configuration,
    Forward,
    Packet,
    Route,
    Target,
    target_cookie,
)

from ._policies import Policy

SERVICE = "desk"
CONFIRMATION = Route("confirmation", ((SERVICE, 1),), False, 600, 3_600, 1)
LOOKUP = Route("lookup", ((SERVICE, 1),), True, 600, 3_600, 2)
PLACES = {CONFIRMATION: (0xC6120001, 443), LOOKUP: (0xC6120002, 443)}
ANSWER_BYTES = {True: 2_400, False: 160}
TICK_MS = 50.0
EPOCH_MS = 1_000_000


class PacketBalancers(Policy):
    """One packet balancer for each of the model's.

    Args:
        admits_all: Whether admission is switched off.
        advised: Whether balancers report load to a reader in their data centre, which
            advises them. The reader is the first balancer there.
        objective_ms: Objective of all routes.
    """

    def __init__(self, *, admits_all, advised=False, objective_ms=600):
        self.admits_all = admits_all
        self.advised = advised
        self.configuration = Configuration(
            1,
            {
                place: route._replace(objective_ms=objective_ms)
                for route, place in PLACES.items()
            },
            15_000,
        )

    def start(self, model):
        """Start the balancers with all targets listed."""
        self.next_port = 0
        listed = [listed_target(target) for target in model.targets]
        entries = {target.name.hex(): target for target in listed}
        self.balancers = []
        for one in model.balancers:
            random = Random(model.random.random())
            balancer = Balancer(data_centre=str(one.centre), random=random)
            balancer.configure(self.configuration)
            balancer.admission.enabled = not self.admits_all
            balancer.on_listing(entries, EPOCH_MS)
            self.balancers.append(balancer)
            model.after(model.random.random() * TICK_MS, self._tick, one, model)
        self.readers = {}
        for number, one in enumerate(model.balancers):
            self.readers.setdefault(one.centre, self.balancers[number])
        for number, one in enumerate(model.balancers):
            members = self.members(one.centre, model)
            balancer = self.balancers[number]
            balancer.admission.members = len(
                members if self.advised else self.balancers
            )
            balancer.target_selector.order.rank = members.index(balancer)

    def members(self, centre, model):
        """Return the balancers of a data centre."""
        return [
            self.balancers[one.number]
            for one in model.balancers
            if one.centre == centre
        ]

    def _tick(self, one, model):
        balancer = self.balancers[one.number]
        balancer.on_tick(time_ms(model))
        balancer.take_effects()
        if self.advised:
            self._share_load(one, balancer, model)
        if model.remaining > 0:
            model.after(TICK_MS, self._tick, one, model)

    def _share_load(self, one, balancer, model):
        """Report to the reader; let a reader advise members and tell other readers."""
        reader = self.readers[one.centre]
        members = self.members(one.centre, model)
        now_ms = time_ms(model)
        sharing = balancer.load_sharing
        report = sharing.take_report(now_ms, members=len(members))
        if report is not None:
            reader.load_sharing.on_report(report, str(one.number), now_ms)
        advice, digest, _ = sharing.advise(now_ms, reader=reader is balancer)
        for member in members if advice is not None else ():
            member.load_sharing.advice.on_advice(advice, now_ms)
        for other in self.readers.values() if digest is not None else ():
            other.load_sharing.on_digest(digest, str(one.number), now_ms)

    def place(self, job, model):
        """Send a SYN, and the request once the flow is open."""
        self.next_port += 1
        port = 1_024 + self.next_port % 60_000
        job.key = (job.flow + self.next_port // 60_000, port, *PLACES[job.route])
        balancer = self.balancers[job.balancer.number]
        action = balancer.on_packet(Packet(job.key, SYN, 0, 99, 0, 0), time_ms(model))
        if not isinstance(action, Forward):
            model.on_reset(job)
            return
        job.cookie = action.target.cookie
        number = int.from_bytes(action.target.name, "big") - 1
        model.send(job, job.balancer, model.targets[number])
        for length in (0, 100):
            packet = Packet(job.key, ACK, job.cookie, 100, 1, length)
            balancer.on_packet(packet, time_ms(model))

    def on_release(self, job, model, *, answered):
        """Acknowledge the answer and end the flow, or pass on the reset of one."""
        acknowledged, flags = 1 + ANSWER_BYTES[answered], ACK | FIN
        if job.target.sheds:
            acknowledged, flags = 1, ACK | RST
        packet = Packet(job.key, flags, job.cookie, 200, acknowledged, 0)
        self.balancers[job.sender.number].on_packet(packet, time_ms(model))

    def probe(self, target, model):
        """Let all balancers know whether a target is down."""
        evidence = REFUSED if target.sheds else ACCEPTED
        cookie = listed_target(target).cookie
        for balancer in self.balancers:
            balancer.on_probe_result(cookie, evidence, time_ms(model))


def time_ms(model):
    """Return a model's time on the balancers' clock."""
    return EPOCH_MS + int(model.now_ms)


def listed_target(target):
    """Return the ``Target`` record of a model's target."""
    name = (target.number + 1).to_bytes(8, "big")
    return Target(
        name=name,
        born=0,
        cookie=target_cookie(name, 0),
        address=(f"10.0.0.{target.number + 1}", 8080),
        data_centre=str(target.centre),
        service=SERVICE,
        slots=target.slots,
        leaving=False,
        warm_up_ms=0,
    )
