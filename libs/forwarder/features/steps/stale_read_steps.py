"""Steps for reads of the store that may be old."""

from behave import then, when
from deployments import LOCAL, refusals, request_all

from lagoontally_standins.packets import Outcome

FLOWS = 12


@when("reads that may be old are {age_s:d} s behind and name the revision of {source}")
def step_stale_reads(context, age_s, source):
    """The copy was made after all that is in the store now."""
    context.deployment.loop.run_for(age_s)
    context.deployment.store.stale_s = float(age_s)
    context.deployment.store.stale_as_of_present = source == "the newest one"


@when("a route is moved to another service")
def step_move_route(context):
    """Publish a configuration that gives a route's new flows to another service."""
    deployment = context.deployment
    context.route, context.service = next(iter(deployment.routes)), "usage-ledger"
    assert deployment.routes[context.route] != context.service
    deployment.routes[context.route] = context.service
    deployment.publish()


@when("every balancer of a data centre is killed and restarted")
def step_restart_all(context):
    """Nobody in the data centre remembers what was in force."""
    balancers = [
        balancer
        for balancer in context.deployment.balancers.values()
        if balancer.settings["data_centre"] == LOCAL
    ]
    for balancer in balancers:
        balancer.kill()
    for balancer in balancers:
        balancer.start()


@then("the new service answers through every balancer within {timeout_s:d} s")
def step_new_service(context, timeout_s):
    """Flows from many ports reach every balancer of the data centre."""
    deployment = context.deployment
    deployment.loop.run_for(timeout_s)
    flows = [deployment.callers[LOCAL].open(context.route) for _ in range(FLOWS)]
    request_all(context, flows)
    requests = {flow.request for flow in flows}
    services = {run.service for run in deployment.ledger if run.request in requests}
    in_force = {
        balancer.name: [
            (line["at_ms"], line["version"], line["source"])
            for line in balancer.read_log()
            if line["event"] == "configuration_in_force"
        ]
        for balancer in deployment.balancers.values()
    }
    assert services == {context.service}, (services, in_force)
    outcomes = {flow.outcome for flow in flows}
    assert outcomes == {Outcome.ANSWERED}, (outcomes, in_force, refusals(context))


@then("the log of every balancer tells the revisions of what it read")
def step_reads_logged(context):
    """Each balancer has read targets and a configuration at its start."""
    for balancer in context.deployment.balancers.values():
        log = balancer.read_log()
        reads = [line for line in log if line["event"] == "store_read"]
        assert {line["prefix"] for line in reads} == {"servers/", "op/"}, reads
        for line in reads:
            assert 0 < line["newest"] <= line["revision"], line
            assert line["may_be_old"] in (True, False), line


@then("balancers with one version of the configuration log one digest")
def step_one_digest(context):
    """The digest shows whether two balancers have the same routes."""
    digests = {
        (line["version"], line["digest"])
        for balancer in context.deployment.balancers.values()
        for line in balancer.read_log()
        if line["event"] == "configuration_in_force"
    }
    assert len(digests) == 1, digests


@when("the store gives out revisions a second time in one era")
def step_revisions_again(context):
    """A store that breaks its promise: watches from before get 410."""
    context.deployment.store.revision -= 4


@then("a balancer reports a missed change")
def step_missed_change(context):
    """The change was written at a revision that counted as known."""
    reports = [
        line
        for balancer in context.deployment.balancers.values()
        for line in balancer.read_log()
        if line["event"] == "store_change_missed"
    ]
    assert reports
    assert all(line["written"] <= line["known"][1] for line in reports), reports
