"""Steps for going from one template to the next."""

from behave import then, when
from documents import encode, following, put, put_all

from lagoontally_model import compare_templates, parse_template, transition_findings


def compare(context, document):
    """Parse both templates and compare them."""
    templates = [parse_template(encode(item)) for item in (context.template, document)]
    context.changes = compare_templates(*templates)
    found = transition_findings(*templates)
    context.findings = found.findings if found else ()


@when("the next template is changed so")
def step_next_table(context):
    """Each row changes a place of the next version."""
    document = following(context.template)
    put_all(document, context.table)
    compare(context, document)


@when("the next template has {value} at {place}")
def step_next(context, value, place):
    """One place of the next version changes."""
    document = following(context.template)
    put(document, place, value)
    compare(context, document)


@then(
    'only "{name}" changes: "{added}" added, "{removed}" removed, "{leaving}" leaving'
)
def step_changes(context, name, added, removed, leaving):
    """One service changed, in these targets."""
    (changes,) = context.changes.services
    found = [[item.name for item in kind] for kind in changes[1:]]
    assert (changes.service, found) == (name, [[added], [removed], [leaving]]), found


@then('the version "{order}", with "{address}" in quarantine for {seconds:d} s')
def step_order(context, order, address, seconds):
    """Versions are compared, and addresses in quarantine listed."""
    assert context.changes.version_order == order
    assert context.changes.quarantine == ((address, "alpha", seconds),)


@then('the only transition finding says "{reason}"')
@then('the transition has "{reason}"')
@then('the transition has ""')
def step_reasons(context, reason=""):
    """The findings have these reasons, divided by semicolons, and no others."""
    reasons = reason.split("; ") if reason else []
    assert len(context.findings) == len(reasons), context.findings
    for finding, text in zip(context.findings, reasons, strict=True):
        assert text in finding.reason, finding


@then('"{address}" has moved from "{previous}" to "{next_one}"')
def step_moved(context, address, previous, next_one):
    """The address is listed with both workspaces."""
    assert context.changes.moved == ((address, previous, next_one),)
