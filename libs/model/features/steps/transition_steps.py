"""Steps for going from one template to the next."""

from datetime import datetime, timedelta

from behave import given, then, when
from documents import PUBLISHED_AT, encode, following, target, targets, two_workspaces

from lagoontally_model import (
    Template,
    compare_templates,
    parse_template,
    transition_findings,
)

ADDRESS = "127.20.1.3:7001"


def compare(context, document):
    """Parse both templates and compare them."""
    previous = parse_template(encode(context.template))
    next_one = parse_template(encode(document))
    assert isinstance(previous, Template), previous
    assert isinstance(next_one, Template), next_one
    context.changes = compare_templates(previous, next_one)
    found = transition_findings(previous, next_one)
    context.findings = found.findings if found else ()


def retire(document, address, *, time=PUBLISHED_AT):
    """Add an entry for an address of alpha."""
    entry = {"address": address, "workspace": "alpha", "retired_at": time}
    document["retired"].append(entry)


@given("a template of two workspaces is in force")
def step_in_force(context):
    """The previous template has no faults."""
    context.template = two_workspaces()


@given('front-3 of "{name}" is leaving in the template in force')
def step_leaving(context, name):
    """The last target takes no new work already."""
    targets(context.template, name)[2]["state"] = "leaving"


@given("the template in force retires {address} at its publication")
def step_retires(context, address):
    """The quarantine starts as the previous template is published."""
    retire(context.template, address)


@when('the next template adds a target, lets one leave and removes one of "{name}"')
def step_three_changes(context, name):
    """One target of each kind of change."""
    document = following(context.template)
    service = targets(document, name)
    service[2] = target("front-9", "127.20.1.9:7001")
    service[1]["state"] = "leaving"
    compare(context, document)


@when("the next template removes front-3")
def step_removes(context):
    """The target is gone and nothing says where its address was."""
    document = following(context.template)
    targets(document, "alpha/front").pop()
    compare(context, document)


@when("the next template removes front-3 and retires its address")
def step_removes_and_retires(context):
    """The target is gone and its address starts its quarantine."""
    document = following(context.template)
    retire(document, targets(document, "alpha/front").pop()["address"])
    compare(context, document)


@when('the next template moves the address of front-3 to "{name}"')
def step_moves(context, name):
    """The address serves another workspace at once."""
    document = following(context.template)
    targets(document, name).append(targets(document, "alpha/front").pop())
    compare(context, document)


@when("the next template comes {seconds:d} s later and {does} the entry")
def step_later(context, seconds, does):
    """The entry of the previous template is kept, dropped or changed."""
    document = following(context.template)
    time = datetime.fromisoformat(PUBLISHED_AT) + timedelta(seconds=seconds)
    document["published_at"] = time.isoformat()
    entry = document["retired"][0]
    if does == "drops":
        document["retired"] = []
    elif does == "dates back":
        entry["retired_at"] = "2026-12-03T20:00:00Z"
    compare(context, document)


@when("the next template has the same version")
def step_same_version(context):
    """Nothing differs."""
    compare(context, context.template)


@then(
    'the changes of "{name}" are "{added}" added, "{leaving}" leaving,'
    ' "{removed}" removed'
)
def step_changes(context, name, added, leaving, removed):
    """One service changed, in these targets."""
    (changes,) = context.changes.services
    assert changes.service == name
    found = [[item.name for item in kind] for kind in changes[1:]]
    assert found == [[added], [removed], [leaving]], found


@then('the version "{order}"')
def step_order(context, order):
    """The versions stand to each other in this order."""
    assert context.changes.version_order == order


@then("the transition has no findings")
def step_no_findings(context):
    """Nothing is reported."""
    assert not context.findings, context.findings


@then("the transition has {count:d} findings")
def step_count(context, count):
    """This many faults are reported."""
    assert len(context.findings) == count, context.findings


@then("its address is in quarantine for {seconds:d} s")
def step_in_quarantine(context, seconds):
    """The address is listed with the rest of its quarantine."""
    (entry,) = context.changes.quarantine
    assert entry == (ADDRESS, "alpha", seconds)


@then('the transition has a finding that says "{reason}"')
def step_has_finding(context, reason):
    """One of the findings has this reason."""
    assert any(reason in item.reason for item in context.findings), context.findings


@then('the only transition finding says "{reason}"')
def step_only_reason(context, reason):
    """There is one finding, with this reason."""
    (finding,) = context.findings
    assert reason in finding.reason, finding


@then("the address of front-3 is among the moved")
def step_moved(context):
    """The address is listed with both workspaces."""
    assert context.changes.moved == ((ADDRESS, "alpha", "beta"),)
