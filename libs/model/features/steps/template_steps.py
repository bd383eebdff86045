"""Steps for the validation of templates and for findings."""

from itertools import permutations

from behave import given, then, when
from documents import (
    encode,
    next_version,
    set_field,
    set_fields,
    targets,
    two_workspaces,
)
from hypothesis import given as hypothesis_given
from strategies import DETERMINISTIC, SETTINGS, TEMPLATES

from lagoontally_model import Findings, Template, parse_settings, parse_template
from lagoontally_model._documents import SettingsDocument, TemplateDocument
from lagoontally_model._schemas import DOCUMENT_TYPES, SCHEMA_FOLDER, schema_text
from lagoontally_model._structure import (
    StrictValidator,
    load_schema,
    matches_type,
    schema_faults,
)

MALFORMED = {
    "an empty text": b"",
    "a cut document": encode(two_workspaces())[:-1],
    "a repeated field": b'{"version": 1, "version": 2}',
    "an invalid encoding": b'{"format": "\xff"}',
    "an unpaired surrogate": b'{"\\ud800": 1}',
    "a deep document": b'{"version": ' + b"[" * 500 + b"]" * 500 + b"}",
    "a large document": encode(two_workspaces()) + b" " * 1_000_000,
    "a list": b"[]",
}


@given("a template of two workspaces")
def step_template(context):
    """Start from a valid template."""
    context.template = two_workspaces()


@given("the template has these changes")
def step_change_all(context):
    """Set the field of each row to a JSON value."""
    set_fields(context.template, context.table)


@given('"{field}" of the template is {value}')
def step_change(context, field, value):
    """Set one field to a JSON value."""
    set_field(context.template, field, value)


@given('{address} of "{name}" was retired by "{workspace}" at "{time}"')
def step_retired(context, address, name, workspace, time):
    """Retire a target's address for a workspace."""
    assert targets(context.template, name)[0]["address"] == address
    entry = {"address": address, "workspace": workspace, "retired_at": time}
    context.template["retired"] = [entry]


@given('the template is published at "{time}" with a quarantine of {seconds:d} s')
def step_published(context, time, seconds):
    """Set the publication time and the length of quarantines."""
    context.template |= {"published_at": time, "quarantine_s": seconds}


@given(
    "versions {first:d} to {last:d} of the template, of which the third reuses"
    " an address in quarantine"
)
def step_versions(context, first, last):
    """Retire an address of alpha; beta uses it during and after its quarantine."""
    versions = [context.template]
    while len(versions) < last:
        versions.append(next_version(versions[-1]))
    address = targets(versions[1], "alpha/front").pop()["address"]
    published = ("21:00:00", "21:01:00", "21:02:00", "21:11:00")
    for document, time in zip(versions, published, strict=True):
        document["published_at"] = f"2026-12-03T{time}Z"
    for document in versions[1:]:
        entry = {"address": address, "workspace": "alpha"}
        entry["retired_at"] = versions[1]["published_at"]
        document["retired"] = [entry]
    for document in versions[2:]:
        targets(document, "alpha/front").pop()
        targets(document, "beta/front")[0]["address"] = address
    context.versions = [encode(document) for document in versions]


@when("the template is parsed")
def step_parse(context):
    """Encode and parse the template."""
    context.result = parse_template(encode(context.template))


@when("{kind} is parsed as a template")
def step_parse_malformed(context, kind):
    """Parse a document that can't be decoded."""
    context.result = parse_template(MALFORMED[kind])


@when("all permutations of all subsets of the versions are parsed")
def step_permutations(context):
    """Collect all outcomes of each version."""
    context.outcomes = {document: [] for document in context.versions}
    for count in range(1, len(context.versions) + 1):
        for order in permutations(context.versions, count):
            for document in order:
                context.outcomes[document].append(parse_template(document))


@when("randomly changed templates and settings are checked by type and by schema")
def step_check_both(context):
    """Check each document by its type, by its schema and by its parser."""
    context.disagreed, context.accepted, context.rejected = [], 0, 0

    def check(value, kind, name, parse):
        by_type = matches_type(value, kind)
        by_schema = StrictValidator(load_schema(name)).is_valid(value)
        if not by_type == by_schema == (not schema_faults(value, name)):
            context.disagreed.append(value)
        result = parse(encode(value))
        assert by_type or isinstance(result, Findings)
        context.accepted += by_type
        context.rejected += not by_type

    @DETERMINISTIC
    @hypothesis_given(TEMPLATES, SETTINGS)
    def check_all(template, settings):
        check(template, TemplateDocument, "template", parse_template)
        check(settings, SettingsDocument, "settings", parse_settings)

    check_all()


@then('it is accepted with {count:d} targets in "{name}"')
def step_accepted(context, count, name):
    """Check the number of targets in the typed form."""
    workspace, service = name.split("/")
    found = context.result.workspaces[workspace].services[service]
    assert len(found.targets) == count


@then('it is "{outcome}"')
def step_outcome(context, outcome):
    """Check that the result is a template if the outcome is ``accepted``."""
    accepted = isinstance(context.result, Template)
    assert accepted == (outcome == "accepted"), context.result


@then('the only finding is at "{place}" and says "{reason}"')
def step_only_finding(context, place, reason):
    """Check the path and reason of the only finding."""
    (finding,) = context.result.findings
    assert finding.place.startswith(place) and reason in finding.reason, finding


@then("these findings are reported")
def step_findings(context):
    """Compare the findings with the table, in its order."""
    found, rows = context.result.findings, list(context.table)
    assert [item.place for item in found] == [row["place"] for row in rows], found
    for item, row in zip(found, rows, strict=True):
        assert row["reason"] in item.reason, item


@then("each version always has the same outcome, and only the third is rejected")
def step_same_outcome(context):
    """Check that a version's outcome doesn't depend on what was parsed before."""
    rejected = []
    for number, document in enumerate(context.versions, start=1):
        first, *others = context.outcomes[document]
        assert all(other == first for other in others)
        if isinstance(first, Findings):
            rejected.append(number)
    assert rejected == [3], rejected


@then("both checks agree on each document")
def step_agree(context):
    """Check that no document is accepted by one check and rejected by the other."""
    assert not context.disagreed, context.disagreed[0]
    assert context.accepted and context.rejected


@then("each committed schema equals the generated one")
def step_schemas(context):
    """Check that the committed schemas are up to date."""
    for name in DOCUMENT_TYPES:
        committed = (SCHEMA_FOLDER / f"{name}.schema.json").read_text()
        assert committed == schema_text(name), name
