"""Steps for targets that warm up and for the regions of routes."""

from behave import given, then, when
from cluster import TICK_MS, Cluster
from fixtures import (
    LOCAL,
    REMOTE,
    ROUTE,
    SERVICE,
    World,
    configuration,
    make_target,
)

from lagoontally_flows import Drop, Forward, Reset, Service
from lagoontally_flows._placing import WarmUpBudgets
from lagoontally_flows._tracking._half_open_flows import OVERDUE_MS

WARM_UP_MS = 2_000
PER_S, EXCESS, SLACK = 12.0, 1.5, 5
COLD = 50
LASTING_MS = 1_000_000


def budgets_of(host, data_centre):
    """Return the budgets of one balancer, with a target that stays cold."""
    budgets = WarmUpBudgets(data_centre)
    budgets.warm_ups.services = {SERVICE: Service(SERVICE, 0, PER_S, 0)}
    budgets.set_bounds(host, excess=EXCESS, slack=SLACK)
    return budgets


class ColdTarget:
    """A target that warms up, and the requests that it gets.

    Attributes:
        budgets: ``WarmUpBudgets`` by host.
        requests_ms: When requests came.
    """

    def __init__(self, data_centre):
        self.target = make_target(COLD, data_centre=data_centre, warm_up_ms=LASTING_MS)
        self.budgets = {}
        self.requests_ms = []

    def offer(self, host, now_ms):
        """Offer a balancer a caller, which it sends to the target if it may."""
        budgets = self.budgets[host]
        budgets.warm_ups.on_entry(self.target, now_ms)
        if budgets.admits(self.target, now_ms) and budgets.take(self.target, now_ms):
            self.requests_ms.append(now_ms)

    def most_in_a_second(self):
        """Return the most requests in any second."""
        times = self.requests_ms
        return max(
            sum(start <= time < start + 1_000 for time in times[index : index + 500])
            for index, start in enumerate(times)
        )


def set_up_cold(context, cold, warm, *, cold_place=LOCAL, settled=True):
    """Create a balancer with cold and warm targets."""
    context.world = World()
    balancer = context.world.balancer
    budgets = balancer.warm_up_budgets
    budgets.set_bounds("10.0.0.1", excess=EXCESS, slack=SLACK)
    budgets.on_members([], settled=settled)
    balancer.warm_ups.unix_offset_ms = 0
    context.version = 1
    describe(context, Service(SERVICE, WARM_UP_MS, PER_S, 0))
    context.cold = [
        make_target(COLD + number, data_centre=cold_place, warm_up_ms=WARM_UP_MS)
        for number in range(cold)
    ]
    context.targets = [make_target(number + 1) for number in range(warm)]
    context.target = (context.cold + context.targets)[0]
    context.world.list_targets(*context.cold, *context.targets)


def describe(context, *services, regions=()):
    """Put a configuration in force that describes services."""
    context.version += 1
    current = configuration(context.version)
    route = current.routes[ROUTE]._replace(regions=regions)
    context.world.balancer.configure(
        current._replace(
            routes={ROUTE: route}, services={one.name: one for one in services}
        )
    )


@given("{count:d} balancers in {data_centres:d} data centres that share a cold target")
def step_shared(context, count, data_centres):
    """The target is in the first data centre."""
    context.cluster = Cluster(count, data_centres)
    context.cold_target = ColdTarget("dc-0")
    for one in context.cluster.instances.values():
        context.cold_target.budgets[one.host] = budgets_of(one.host, one.data_centre)


@given("2 halves of {count:d} balancers that don't know each other")
def step_halves(context, count):
    """Two views of the membership at the same time."""
    context.cold_target = ColdTarget(LOCAL)
    hosts = [f"10.0.0.{number}" for number in range(2 * count)]
    for half in (hosts[:count], hosts[count:]):
        for host in half:
            budgets = context.cold_target.budgets[host] = budgets_of(host, LOCAL)
            budgets.on_members(half, settled=True)


@when("callers reach all of them for {duration_ms:d} ms")
def step_reach_all(context, duration_ms):
    """There are more callers than the target bears."""
    for now_ms in range(0, duration_ms, TICK_MS):
        for host in context.cold_target.budgets:
            context.cold_target.offer(host, now_ms)


@when("callers reach all balancers for {duration_ms:d} ms")
def step_reach(context, duration_ms):
    """There are more callers than the target bears."""
    cluster, cold_target = context.cluster, context.cold_target
    end_ms = cluster.now_ms + duration_ms
    while cluster.now_ms < end_ms:
        cluster.run(TICK_MS)
        for one in cluster.running():
            membership = one.membership
            cold_target.budgets[one.host].on_members(
                membership.members, settled=membership.is_settled(cluster.now_ms)
            )
            cold_target.offer(one.host, cluster.now_ms)


@when("a third of the balancers restart")
def step_third_restart(context):
    """Among them are seeds."""
    restart(context, list(context.cluster.instances)[::3])


@when("all balancers restart")
def step_all_restart(context):
    """At the same moment."""
    restart(context, list(context.cluster.instances))


def restart(context, hosts):
    """Restart balancers without any state."""
    for host in hosts:
        context.cluster.start(host)
        place = context.cluster.instances[host].data_centre
        context.cold_target.budgets[host] = budgets_of(host, place)


@when("a third of the balancers are cut off from the others")
def step_cut(context):
    """Their datagrams don't arrive, nor do those that are sent to them."""
    context.cluster.cut_off = set(list(context.cluster.instances)[1::3])
    context.cluster.cut_off |= set(list(context.cluster.instances)[6::9])


@when("the cut ends")
def step_cut_ends(context):
    """All balancers reach each other."""
    context.cluster.cut_off = set()


@then("the target gets {least:d} to {most:d} requests a second at the end")
def step_rate(context, least, most):
    """In the last second."""
    times = context.cold_target.requests_ms
    found = sum(time > times[-1] - 1_000 for time in times)
    assert least <= found <= most, found


@then("the target never got more than {most:d} requests in a second")
def step_most(context, most):
    """In any second."""
    found = context.cold_target.most_in_a_second()
    assert found <= most, found


@given("a balancer with {cold:d} cold and {warm:d} warm targets")
def step_cold(context, cold, warm):
    """A balancer that is alone in its data centre."""
    set_up_cold(context, cold, warm)


@given("a balancer that has just started, with {cold:d} cold and {warm:d} warm targets")
def step_just_started(context, cold, warm):
    """It doesn't know the members."""
    set_up_cold(context, cold, warm, settled=False)


@given("a balancer with {cold:d} cold targets elsewhere and {warm:d} warm ones")
def step_cold_elsewhere(context, cold, warm):
    """The cold ones are in another data centre."""
    set_up_cold(context, cold, warm, cold_place=REMOTE)


@given("the settings state no bound")
def step_no_bound(context):
    """As those of earlier deployments."""
    context.world.balancer.warm_up_budgets.set_bounds("", excess=None, slack=None)


@given("the service states a rate of 0")
def step_rate_0(context):
    """Whether that is a rate or none is left open."""
    describe(context, Service(SERVICE, WARM_UP_MS, 0.0, 0))


@given("the service isn't described")
def step_not_described(context):
    """The configuration only has routes."""
    describe(context)


@given("the service's targets warm up for {duration_ms:d} ms")
def step_long(context, duration_ms):
    """By the configuration."""
    describe(context, Service(SERVICE, duration_ms, PER_S, 0))


@when("{count:d} flows are opened at once")
def step_at_once(context, count):
    """Their SYNs arrive in the same millisecond, and the targets answer."""
    world = context.world
    flows = [world.new_flow() for _ in range(count)]
    context.opened = [world.syn(flow) for flow in flows]
    for flow, action in zip(flows, context.opened, strict=True):
        if isinstance(action, Forward):
            world.send(flow, cookie=action.target.cookie, ack=5_000)


@when("the warm target leaves {count:d} SYNs unanswered")
def step_unanswered(context, count):
    """Callers or the target are slow."""
    for _ in range(count):
        context.world.syn(context.world.new_flow())
    context.world.wait(OVERDUE_MS)


@when("the warm target refuses a request")
def step_full(context):
    """Its slots and its queue are full."""
    world = context.world
    [target] = context.targets
    world.balancer.admission.full_targets.on_refused(target.cookie, world.now_ms)


@when("a SYN and {count:d} copies of it arrive at once")
def step_copies(context, count):
    """Copies that were queued on their way."""
    flow = context.world.new_flow()
    context.opened = [context.world.syn(flow, copy) for copy in range(count + 1)]


@when("a peer's copy lists a target with {left_ms:d} ms left of {stated_ms:d}")
def step_peer_copy(context, left_ms, stated_ms):
    """The peer heard of the target earlier."""
    context.target = make_target(COLD, warm_up_ms=stated_ms)
    context.world.balancer.warm_ups.on_copy(
        [context.target], {context.target.cookie: left_ms}, context.world.now_ms
    )
    context.world.list_targets(context.target, *context.targets)


@when("the cold target is delisted and listed again")
def step_relisted(context):
    """Its lease ran out meanwhile."""
    context.world.list_targets(*context.targets)
    context.world.list_targets(context.target, *context.targets)


@when("the target's entry says {first_ms:d} ms and later {second_ms:d} ms")
def step_cold_anew(context, first_ms, second_ms):
    """Its data centre was emptied in between."""
    for left_ms in (first_ms, second_ms):
        context.target = context.target._replace(warm_up_ms=left_ms)
        context.world.list_targets(context.target, *context.targets)


@when("a target that started {age_ms:d} ms ago is listed with {left_ms:d} ms left")
def step_started(context, age_ms, left_ms):
    """By the time of day."""
    born = context.world.now_ms - age_ms
    context.target = make_target(COLD, warm_up_ms=left_ms, born=born)
    context.world.list_targets(context.target, *context.targets)


@when("a target refuses a probe and accepts the next")
def step_refuses(context):
    """Its process ended and another one listens."""
    for evidence in ("refused", "accepted"):
        context.world.balancer.on_probe_result(
            context.target.cookie, evidence, context.world.now_ms
        )


@then("the cold target has {count:d} flows")
def step_cold_flows(context, count):
    """The other flows are on warm targets."""
    flows = context.world.balancer.flows.open_flows
    assert flows.get(context.cold[0].cookie, 0) == count, flows


@then('{count:d} of them are reset as "{reason}"')
def step_some_reset(context, count, reason):
    """The others are forwarded."""
    resets = [one for one in context.opened if isinstance(one, Reset)]
    assert len(resets) == count, resets
    assert all(one.reason == reason for one in resets), resets


@then('{forwarded:d} of them are forwarded and {dropped:d} are dropped as "{reason}"')
def step_some_dropped(context, forwarded, dropped, reason):
    """No copy is answered with a reset."""
    kinds = [type(one) for one in context.opened]
    assert kinds.count(Forward) == forwarded, kinds
    assert context.opened.count(Drop(reason)) == dropped, context.opened


@then("the target warms up")
def step_warms_up(context):
    """Its new flows are limited."""
    world = context.world
    budgets = world.balancer.warm_up_budgets
    assert budgets.warming_up([context.target], world.now_ms) == 1


@then("the target is warm")
def step_is_warm(context):
    """Its new flows aren't limited."""
    world = context.world
    budgets = world.balancer.warm_up_budgets
    assert budgets.warming_up([context.target], world.now_ms) == 0


@given("the local data centre is in {local} and the remote one in {remote}")
def step_regions(context, local, remote):
    """By the settings."""
    named = {LOCAL: local, REMOTE: remote}
    context.world.balancer.target_selector.regions = {
        place: region for place, region in named.items() if region != "unknown"
    }


@given("the route allows only {region}")
def step_route_region(context, region):
    """By the configuration."""
    context.version = 1
    describe(context, regions=(region,))


@when("{count:d} SYNs arrive")
def step_syns(context, count):
    """Of as many flows."""
    world = context.world
    context.opened = [world.syn(world.new_flow()) for _ in range(count)]


@then("all go to local targets")
def step_all_local(context):
    """Their region is allowed."""
    assert {one.target.data_centre for one in context.opened} == {LOCAL}


@then("all go to remote ones")
def step_all_remote(context):
    """Only their region is allowed."""
    assert {one.target.data_centre for one in context.opened} == {REMOTE}


@then("all are refused")
def step_all_refused(context):
    """No region that is known is allowed."""
    assert {one.reason for one in context.opened} == {"no_target"}
