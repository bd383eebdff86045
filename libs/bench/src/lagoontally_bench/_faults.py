"""The faults of the matrix, each injected at the node where a step happens."""

from typing import NamedTuple

from lagoontally_standins import UpstreamMode

from ._links import CALLER, PEER, PLATFORM, UPSTREAM, LinkFaults

FREEZE_MS = 10_000
BRIEF_FREEZE_MS = 2_500
OUTAGE_MS = 15_000
LONG_OUTAGE_MS = 40_000
WATCH_DELAY_MS = 15_000
SLOW_WORK_MS = 1_500
NORMAL_WORK_MS = 20
# After a crash, a line is silent until its caller's next renewal is answered.
CRASH_GAP_MS = 15_000
PLANNED_GAP_MS = 5_000


class Fault(NamedTuple):
    """One fault.

    Attributes:
        name: Its name in the table.
        inject: Called with the scenario and the moment of the injection.
        planned: True for a change by operators, which must not break any line.
        delays_templates: True when balancers may be unable to read a new template.
        gap_ms: The longest silence that it may cause on a line, None for unlimited.
    """

    name: str
    inject: object
    planned: bool = False
    delays_templates: bool = False
    gap_ms: int | None = None


def _balancer_at(scenario, moment):
    """Return the balancer at which a moment happened, or any live one."""
    world = scenario.world
    node = world.balancers.get(moment.node)
    if node is not None and node.alive:
        return node
    live = [item for item in world.balancers.values() if item.alive]
    return world.random.choice(live)


def _upstream_at(scenario, moment):
    """Return the upstream of a moment, or any live one of the pivot service."""
    world = scenario.world
    if moment.target in world.upstreams:
        return world.upstreams[moment.target]
    live = [
        item
        for item in world.upstreams.values()
        if item.alive and item.service == "pivot-link"
    ]
    return world.random.choice(live)


def kill_balancer(scenario, moment):
    """Kill the balancer."""
    _balancer_at(scenario, moment).kill()


def join_balancer(scenario, moment):
    """Start another balancer in the same data centre and workspace."""
    node = _balancer_at(scenario, moment)
    name = f"{node.data_centre}-j{len(scenario.world.balancers)}"
    scenario.world.add_balancer(name, node.data_centre, node.workspace)


def leave_balancer(scenario, moment):
    """Make the balancer leave if another one remains."""
    node = _balancer_at(scenario, moment)
    remaining = [
        other
        for other in scenario.world.live_balancers(node.workspace)
        if other is not node and not other.leaving
    ]
    if remaining and not node.leaving:
        node.leave()


def freeze_balancer(scenario, moment):
    """Pause the process for long enough to be declared dead."""
    _balancer_at(scenario, moment).freeze(FREEZE_MS)


def freeze_briefly(scenario, moment):
    """Pause the process for less time than a suspicion takes to expire."""
    _balancer_at(scenario, moment).freeze(BRIEF_FREEZE_MS)


def drain_upstream(scenario, moment):
    """Publish the upstream as leaving; it sheds requests that come too late."""
    scenario.drain(_upstream_at(scenario, moment).name)


def drain_several(scenario, moment):
    """Drain all upstreams of the pivot service except one."""
    scenario.drain_all_but_one()


def kill_upstream(scenario, moment):
    """Kill the upstream if another one remains."""
    upstream = _upstream_at(scenario, moment)
    if scenario.remaining_targets(upstream):
        upstream.alive = False


def shed_upstream(scenario, moment):
    """Make the upstream refuse new work for a while."""
    _set_mode_for_a_while(scenario, moment, UpstreamMode.SHED)


def silence_upstream(scenario, moment):
    """Make the upstream answer nothing for a while."""
    _set_mode_for_a_while(scenario, moment, UpstreamMode.SILENT)


def _set_mode_for_a_while(scenario, moment, mode):
    upstream = _upstream_at(scenario, moment)
    upstream.set_mode(mode)
    scenario.world.after(OUTAGE_MS, upstream.set_mode, UpstreamMode.UP)


def cold_start_upstream(scenario, moment):
    """Make the upstream slow for a while, as after a cold start."""
    upstream = _upstream_at(scenario, moment)
    upstream.set_work_ms(SLOW_WORK_MS)
    scenario.world.after(OUTAGE_MS, upstream.set_work_ms, NORMAL_WORK_MS)


def accept_without_answering(scenario, moment):
    """Make the upstream pass identity checks but leave requests unanswered."""
    upstream = _upstream_at(scenario, moment)
    upstream.mute_requests = True
    scenario.world.after(OUTAGE_MS, setattr, upstream, "mute_requests", False)


def delay_template(scenario, moment):
    """Publish a new version that half of the balancers receive late."""
    world = scenario.world
    names = sorted(world.balancers)
    world.late_watch_ms = dict.fromkeys(names[::2], WATCH_DELAY_MS)
    scenario.publish()
    world.late_watch_ms = {}


def serve_stale_template(scenario, moment):
    """Make the platform serve its first version again for a while."""
    world = scenario.world
    world.platform_stale = scenario.first_document
    for node in world.balancers.values():
        world.read_template(node)
    world.after(OUTAGE_MS, _restore_platform, scenario)


def stop_platform(scenario, moment):
    """Make the platform unavailable for a while."""
    world = scenario.world
    world.platform_up = False
    world.after(LONG_OUTAGE_MS, _restore_platform, scenario)


def _restore_platform(scenario):
    """Restore the platform; each balancer reads the current template within 2 s."""
    world = scenario.world
    world.platform_up = True
    world.platform_stale = None
    for node in world.balancers.values():
        world.after(world.random.randrange(2_000), world.read_template, node)


def list_wrong_instances(scenario, moment):
    """Make the platform list an instance that is gone and omit a live one."""
    scenario.world.listed_instances = scenario.world.listed_instances[1:]


def cut_one_way(scenario, moment):
    """Cut the balancer's messages to one of its peers for a while."""
    _cut_from_peer(scenario, moment, both_ways=False)


def cut_both_ways(scenario, moment):
    """Cut the messages between the balancer and one of its peers for a while."""
    _cut_from_peer(scenario, moment, both_ways=True)


def _cut_from_peer(scenario, moment, *, both_ways):
    world = scenario.world
    node = _balancer_at(scenario, moment)
    others = [
        other for other in world.live_balancers(node.workspace) if other is not node
    ]
    if others:
        other = world.random.choice(others)
        world.links.cut(node.name, other.name, both_ways=both_ways)
        world.after(OUTAGE_MS, world.links.heal)


def cut_data_centres(scenario, moment):
    """Cut the two data centres of the pivot workspace off from each other."""
    scenario.world.links.cut("tifton", "moultrie")
    scenario.world.after(OUTAGE_MS, scenario.world.links.heal)


def cut_from_platform(scenario, moment):
    """Cut one data centre off from the platform."""
    world = scenario.world
    world.links.cut("platform", "tifton")
    world.after(LONG_OUTAGE_MS, world.links.heal)


def lose_messages(scenario, moment):
    """Lose a fifth of the messages on every link for a while."""
    _disturb_links(scenario, LinkFaults(loss=0.2))


def duplicate_datagrams(scenario, moment):
    """Deliver 30% of the datagrams twice for a while."""
    _disturb_links(scenario, LinkFaults(duplicate=0.3, jitter_ms=300))


def reorder_messages(scenario, moment):
    """Delay each message by up to 800 ms for a while."""
    _disturb_links(scenario, LinkFaults(jitter_ms=800))


def _disturb_links(scenario, faults):
    links = scenario.world.links
    for kind in (CALLER, PEER, UPSTREAM, PLATFORM):
        links.faults[kind] = faults
    scenario.world.after(OUTAGE_MS, links.faults.clear)


def silence_paths(scenario, moment):
    """Silence every caller's current address permanently; new addresses work."""
    for caller in scenario.callers:
        scenario.world.cut_off_callers.add(caller.address)


def rebind_callers(scenario, moment):
    """Give every caller a new address, as a NAT rebinding does."""
    for caller in scenario.callers:
        caller.change_address()


FAULTS = (
    Fault("balancer killed", kill_balancer, gap_ms=CRASH_GAP_MS),
    Fault("balancer joins", join_balancer, planned=True, gap_ms=PLANNED_GAP_MS),
    Fault("balancer leaves", leave_balancer, planned=True, gap_ms=PLANNED_GAP_MS),
    Fault("balancer frozen 10 s", freeze_balancer),
    Fault("balancer frozen 2.5 s", freeze_briefly),
    Fault("upstream drained", drain_upstream, planned=True, gap_ms=PLANNED_GAP_MS),
    Fault(
        "several upstreams drained", drain_several, planned=True, gap_ms=PLANNED_GAP_MS
    ),
    Fault("upstream killed", kill_upstream),
    Fault("upstream sheds", shed_upstream),
    Fault("upstream silent", silence_upstream),
    Fault("upstream cold", cold_start_upstream),
    Fault("upstream health lies", accept_without_answering),
    Fault("template uneven", delay_template, planned=True, gap_ms=PLANNED_GAP_MS),
    Fault("template stale", serve_stale_template, delays_templates=True),
    Fault("platform down", stop_platform, delays_templates=True),
    Fault("list lies", list_wrong_instances),
    Fault("peers cut one way", cut_one_way),
    Fault("peers cut both ways", cut_both_ways),
    Fault("data centres cut", cut_data_centres),
    Fault("data centre cut from platform", cut_from_platform),
    Fault("loss", lose_messages),
    Fault("doubling", duplicate_datagrams),
    Fault("reordering", reorder_messages),
    Fault("silent paths", silence_paths),
    Fault("callers rebound", rebind_callers),
)
