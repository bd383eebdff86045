"""Steps for caps of connections."""

from behave import given, then, when
from fixtures import SERVICE, configuration
from load_reports import HOSTS, REPORT_MS, report

from lagoontally_flows import Service


@given("a target holds at most {most:d} connections")
def step_cap(context, most):
    """The configuration states it; as many balancers as hosts share them."""
    services = {SERVICE: Service(SERVICE, 0, 0.0, most)}
    balancer = context.world.balancer
    balancer.configure(configuration(2)._replace(services=services))
    balancer.admission.members = len(HOSTS)


@given("admission is switched off")
def step_no_admission(context):
    """By the settings."""
    context.world.balancer.admission.enabled = False


@when("{members:d} members report {flows:d} flows to {count:d} target")
def step_report_flows(context, members, flows, count):
    """The others hold few of them."""
    context.slow = context.targets[:count]
    counts = [(target.cookie, flows) for target in context.slow]
    for hosts, said in ((HOSTS[members:], ()), (HOSTS[:members], counts)):
        report(context, (), hosts=hosts, flows=said)
    report(context, (), hosts=())


@when("3 members report {flows:d} flows to a remote target")
def step_report_remote(context, flows):
    """Callers of another data centre have theirs."""
    report(context, (), flows=[(context.remote[0].cookie, flows)])
    report(context, (), hosts=())


@then("{count:d} target is at its cap")
def step_at_cap(context, count):
    """As the reader finds."""
    full = context.world.balancer.load_sharing.connections.full
    assert len(full) == count, full


@then("this balancer with {flows:d} open flows reports {said} of them")
def step_reports(context, flows, said):
    """Caps that are far away cost no bytes."""
    world, cookie = context.world, context.targets[0].cookie
    world.balancer.flows.open_flows[cookie] = flows
    world.wait(REPORT_MS)
    sent = world.balancer.load_sharing.take_report(world.now_ms, members=len(HOSTS))
    wanted = [] if said == "none" else [(cookie, int(said))]
    assert (sent.flows if sent else []) == wanted, sent
