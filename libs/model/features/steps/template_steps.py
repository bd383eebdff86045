"""Steps for the acceptance of templates and for findings."""

from itertools import permutations

from behave import given, then, when
from documents import encode, following, put, put_all, targets, two_workspaces
from hypothesis import given as drawn
from strategies import DETERMINISTIC, SETTINGS, TEMPLATES

from lagoontally_model import Findings, Template, parse_settings, parse_template
from lagoontally_model._documents import SettingsDocument, TemplateDocument
from lagoontally_model._schemas import KINDS, SCHEMA_FOLDER, schema_text
from lagoontally_model._structure import (
    StrictValidator,
    converts,
    load_schema,
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
    """The template is accepted as it stands."""
    context.template = two_workspaces()


@given("the template is changed so")
def step_change_all(context):
    """Each row puts a JSON value at a place."""
    put_all(context.template, context.table)


@given('"{field}" of the template is {value}')
def step_change(context, field, value):
    """One field gets a JSON value."""
    put(context.template, field, value)


@given('{address} of "{name}" was retired by "{workspace}" at "{time}"')
def step_retired(context, address, name, workspace, time):
    """A target's address is retired for a workspace."""
    assert targets(context.template, name)[0]["address"] == address
    entry = {"address": address, "workspace": workspace, "retired_at": time}
    context.template["retired"] = [entry]


@given('the template is published at "{time}" with a quarantine of {seconds:d} s')
def step_published(context, time, seconds):
    """The template says when it was published and how long quarantines last."""
    context.template |= {"published_at": time, "quarantine_s": seconds}


@given(
    "versions {first:d} to {last:d} of the template, of which the third gives"
    " an address away too early"
)
def step_versions(context, first, last):
    """An address of alpha is retired, then used by beta: early, then in time."""
    versions = [context.template]
    while len(versions) < last:
        versions.append(following(versions[-1]))
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
    """The template is encoded and parsed."""
    context.result = parse_template(encode(context.template))


@when("{kind} is parsed as a template")
def step_parse_malformed(context, kind):
    """Bytes that are no template are parsed."""
    context.result = parse_template(MALFORMED[kind])


@when("every order of every choice of versions is parsed")
def step_every_order(context):
    """All outcomes of each version are collected."""
    context.outcomes = {document: [] for document in context.versions}
    for count in range(1, len(context.versions) + 1):
        for order in permutations(context.versions, count):
            for document in order:
                context.outcomes[document].append(parse_template(document))


@when("templates and settings with random changes are checked both ways")
def step_check_both(context):
    """Each document is checked by its type, by its schema and as a whole."""
    context.disagreed, context.accepted, context.refused = [], 0, 0

    def check(value, kind, name, parse):
        by_type = converts(value, kind)
        by_schema = StrictValidator(load_schema(name)).is_valid(value)
        if not by_type == by_schema == (not schema_faults(value, name)):
            context.disagreed.append(value)
        result = parse(encode(value))
        assert by_type or isinstance(result, Findings)
        context.accepted += by_type
        context.refused += not by_type

    @DETERMINISTIC
    @drawn(TEMPLATES, SETTINGS)
    def check_all(template, settings):
        check(template, TemplateDocument, "template", parse_template)
        check(settings, SettingsDocument, "settings", parse_settings)

    check_all()


@then('it is accepted with {count:d} targets in "{name}"')
def step_accepted(context, count, name):
    """The typed form holds the targets."""
    workspace, service = name.split("/")
    found = context.result.workspaces[workspace].services[service]
    assert len(found.targets) == count


@then('it is "{outcome}"')
def step_outcome(context, outcome):
    """The result is a template where the outcome is ``accepted``."""
    accepted = isinstance(context.result, Template)
    assert accepted == (outcome == "accepted"), context.result


@then('the only finding is at "{place}" and says "{reason}"')
def step_only_finding(context, place, reason):
    """There is one finding, with this place and reason."""
    (finding,) = context.result.findings
    assert finding.place.startswith(place) and reason in finding.reason, finding


@then("these findings are reported")
def step_findings(context):
    """The findings are those of the table, in its order."""
    found, rows = context.result.findings, list(context.table)
    assert [item.place for item in found] == [row["place"] for row in rows], found
    for item, row in zip(found, rows, strict=True):
        assert row["reason"] in item.reason, item


@then("each version has one outcome, and only the third is rejected")
def step_one_outcome(context):
    """A version's outcome doesn't depend on what was parsed before."""
    rejected = []
    for number, document in enumerate(context.versions, start=1):
        first, *others = context.outcomes[document]
        assert all(other == first for other in others)
        if isinstance(first, Findings):
            rejected.append(number)
    assert rejected == [3], rejected


@then("the two checks agree on each")
def step_agree(context):
    """No document is accepted by one and refused by the other."""
    assert not context.disagreed, context.disagreed[0]
    assert context.accepted and context.refused


@then("each committed schema equals the generated one")
def step_schemas(context):
    """The committed files need no new generation."""
    for name in KINDS:
        committed = (SCHEMA_FOLDER / f"{name}.schema.json").read_text()
        assert committed == schema_text(name), name
