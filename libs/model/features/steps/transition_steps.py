"""Steps for the transition from one template to the next."""

from behave import then, when
from documents import encode, next_version, set_field, set_fields

from lagoontally_model import compare_templates, parse_template, transition_findings


def compare(context, document):
    """Parse both templates and compare them."""
    templates = [parse_template(encode(item)) for item in (context.template, document)]
    context.changes = compare_templates(*templates)
    found = transition_findings(*templates)
    context.findings = found.findings if found else ()


@when("the next template has these changes")
def step_next_table(context):
    """Set the field of each row in the next version."""
    document = next_version(context.template)
    set_fields(document, context.table)
    compare(context, document)


@when("the next template has {value} at {place}")
def step_next(context, value, place):
    """Set one field of the next version."""
    document = next_version(context.template)
    set_field(document, place, value)
    compare(context, document)


@then(
    'only "{name}" changes: "{added}" added, "{removed}" removed, "{leaving}" leaving'
)
def step_changes(context, name, added, removed, leaving):
    """Check that one service changed, and in which targets."""
    (changes,) = context.changes.services
    found = [[item.name for item in kind] for kind in changes[1:]]
    assert (changes.service, found) == (name, [[added], [removed], [leaving]]), found


@then('the version "{order}", with "{address}" in quarantine for {seconds:d} s')
def step_order(context, order, address, seconds):
    """Check the order of the versions and the address in quarantine."""
    assert context.changes.version_order == order
    assert context.changes.quarantine == ((address, "alpha", seconds),)


@then('the only transition finding says "{reason}"')
@then('the transition has the findings "{reason}"')
@then('the transition has the findings ""')
def step_reasons(context, reason=""):
    """Compare the findings' reasons, which are separated by semicolons."""
    reasons = reason.split("; ") if reason else []
    assert len(context.findings) == len(reasons), context.findings
    for finding, text in zip(context.findings, reasons, strict=True):
        assert text in finding.reason, finding


@then('"{address}" has moved from "{previous}" to "{next_one}"')
def step_moved(context, address, previous, next_one):
    """Check that the address is listed with both workspaces."""
    assert context.changes.moved == ((address, previous, next_one),)
