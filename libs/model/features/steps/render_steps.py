"""Steps for filling in a workspace template."""

import json

from behave import given, then, when
from documents import EXAMPLES, PUBLISHED_AT, encode

from lagoontally_model import Findings, parse_template, render_template


def source_of(kind, items):
    """Return a source with one parameter and a list that uses it."""
    parameter = {"type": kind, "description": "A value"}
    return encode({"parameters": {"value": parameter}, "document": {"items": items}})


@given("the example of both tenants")
def step_example(context):
    """The source is the one that ships with the project."""
    context.source = (EXAMPLES / "two-tenants.template.json").read_bytes()


@when("it is filled in with a version and a time")
def step_fill_in(context):
    """Only the parameters without defaults are given."""
    given_values = {"version": 7, "published_at": PUBLISHED_AT}
    context.result = render_template(context.source, given_values)


@when('it is filled in with a version "{version}" and a parameter {name}')
def step_fill_in_badly(context, version, name):
    """One value is mistyped, one is missing and one is unknown."""
    context.result = render_template(context.source, {"version": version, name: 1})


@when('a parameter of type "{kind}" is given {value}')
def step_typed(context, kind, value):
    """The JSON value is given for the parameter."""
    source = source_of(kind, ["$value", "$$value"])
    context.result = render_template(source, {"value": json.loads(value)})


@when("a source with a placeholder that names no parameter is filled in")
def step_undeclared(context):
    """The second item names an undeclared parameter."""
    source = source_of("integer", ["$value", "$other"])
    context.result = render_template(source, {"value": 1})


@then("the result is accepted as a template with these targets")
def step_rendered(context):
    """The filled-in example passes validation."""
    template = parse_template(context.result)
    assert template.version == 7
    for row in context.table:
        workspace, service = row["service"].split("/")
        found = template.workspaces[workspace].services[service].targets
        assert len(found) == int(row["targets"]), row["service"]


@then("the document holds {result}")
def step_holds(context, result):
    """The value stands in the document, and the escaped text beside it."""
    if result == "findings":
        assert isinstance(context.result, Findings), context.result
        return
    held = json.loads(context.result)["items"]
    assert held == [json.loads(result), "$value"], held
    assert type(held[0]) is type(json.loads(result))
