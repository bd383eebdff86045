"""A packet balancer on a virtual clock, with targets in two data centres."""

from random import Random

from lagoontally_flows import (
    ACK,
    SYN,
    Balancer,
    Configuration,
    Packet,
    Route,
    Service,
    Target,
    target_cookie,
)

LOCAL = "tifton"
REMOTE = "camilla"
SERVICE = "pivot-link"
OTHER_SERVICE = "usage-ledger"
ROUTE = (0xC6120001, 443)
UNKNOWN_ROUTE = (0xC61200FF, 443)
CALLER = 0x64400007
IDLE_TIMEOUT_MS = 15_000
REQUEST_BYTES = 169


def make_target(number, *, service=SERVICE, data_centre=LOCAL, **fields):
    """Return a target whose name and address derive from a number."""
    name = number.to_bytes(8, "big")
    born = fields.get("born", 0)
    return Target(
        name=name,
        born=born,
        cookie=target_cookie(name, born),
        address=(f"10.0.0.{number}", 8080),
        data_centre=data_centre,
        service=service,
        slots=fields.get("slots", 2),
        leaving=fields.get("leaving", False),
        warm_up_ms=fields.get("warm_up_ms", 0),
    )


def configuration(version, shares=((SERVICE, 1),), place=ROUTE):
    """Return a configuration with one route, which names another service too."""
    services = {OTHER_SERVICE: Service(OTHER_SERVICE, 0, 0.0, 0)}
    routes = {place: Route("r", shares, True)}
    return Configuration(version, routes, IDLE_TIMEOUT_MS, services)


class World:
    """A balancer, its clock and the flows of its callers.

    Attributes:
        now_ms: The virtual time.
        actions: What the balancer decided, in order.
        effects: Effects that it requested.
    """

    def __init__(self, seed=1):
        self.now_ms = 1_000_000
        self.balancer = Balancer(data_centre=LOCAL, random=Random(seed))
        self.balancer.configure(configuration(1))
        self.balancer.configuration_confirmed_ms = self.now_ms
        self.actions = []
        self.effects = []
        self.next_port = 40_000

    def list_targets(self, *targets):
        """List exactly these targets."""
        entries = {target.name.hex(): target for target in targets}
        self.balancer.on_listing(entries, self.now_ms)
        self.collect()

    def new_flow(self, route=ROUTE):
        """Return the addresses and ports of a caller's next flow."""
        self.next_port += 1
        return (CALLER, self.next_port, *route)

    def send(self, flow, flags=ACK, *, cookie=0, sequence=100, ack=1, length=0):
        """Send a packet and return the balancer's action."""
        packet = Packet(flow, flags, cookie, sequence, ack, length)
        action = self.balancer.on_packet(packet, self.now_ms)
        self.actions.append(action)
        self.collect()
        return action

    def syn(self, flow, copy=0):
        """Send a SYN, or a copy of it."""
        return self.send(flow, SYN, ack=copy, sequence=99)

    def open_flow(self, route=ROUTE):
        """Open a flow and return it with its target."""
        flow = self.new_flow(route)
        target = self.syn(flow).target
        self.wait(6)
        self.send(flow, cookie=target.cookie, ack=5_000)
        return flow, target

    def wait(self, duration_ms):
        """Advance the time in ticks."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + 100)
            self.balancer.on_tick(self.now_ms)
            self.collect()

    def collect(self):
        """Collect the balancer's effects."""
        self.effects += self.balancer.take_effects()

    def take_effects_of(self, kind):
        """Return and remove the effects of one type."""
        found = [effect for effect in self.effects if isinstance(effect, kind)]
        self.effects = [effect for effect in self.effects if effect not in found]
        return found


def set_up(context, local, remote=0, warming=0):
    """Create a world with local and remote targets."""
    context.world = World()
    context.targets = [
        make_target(number + 1, warm_up_ms=2_000 if number < warming else 0)
        for number in range(local)
    ]
    context.remote = [
        make_target(100 + number, data_centre=REMOTE) for number in range(remote)
    ]
    context.world.list_targets(*context.targets, *context.remote)
    context.world.effects.clear()


def flows_by_target(context):
    """Return the number of open flows by cookie."""
    return context.world.balancer.flows.open_flows


def place(context, count):
    """Open flows and return their targets."""
    return [context.world.open_flow()[1] for _ in range(count)]


def replace_target(context, changed):
    """Replace the context's target in the listing, or remove it if None."""
    others = [one for one in context.targets if one.name != context.target.name]
    context.targets = others + ([changed] if changed else [])
    context.world.list_targets(*context.targets, *context.remote)


def check_goes_on(context):
    """Check that the flow's next packet goes to its target."""
    action = context.world.send(context.flow, cookie=context.target.cookie)
    assert action.target.cookie == context.target.cookie, action
