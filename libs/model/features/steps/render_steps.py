"""Steps for rendering a workspace template."""

import json

from behave import given, then, when
from documents import EXAMPLES, PUBLISHED_AT, encode

from lagoontally_model import Findings, parse_template, render_template


def source_of(kind, items):
    """Return a source with one parameter and a list that uses it."""
    parameter = {"type": kind, "description": "A value"}
    return encode({"parameters": {"value": parameter}, "document": {"items": items}})


@given("the example with two tenants")
def step_example(context):
    """Load the example source that ships with the project."""
    context.source = (EXAMPLES / "two-tenants.template.json").read_bytes()


@when("it is rendered with a version and a publication time")
def step_render(context):
    """Give only the parameters without defaults."""
    given_values = {"version": 7, "published_at": PUBLISHED_AT}
    context.result = render_template(context.source, given_values)


@when('it is rendered with a version "{version}" and a parameter {name}')
def step_render_invalid(context, version, name):
    """Give a mistyped and an unknown value, and leave out a required one."""
    context.result = render_template(context.source, {"version": version, name: 1})


@when('a parameter of type "{kind}" is given {value}')
def step_typed(context, kind, value):
    """Give the parameter a JSON value."""
    source = source_of(kind, ["$value", "$$value"])
    context.result = render_template(source, {"value": json.loads(value)})


@when("a source with an undeclared placeholder is rendered")
def step_undeclared(context):
    """Refer to an undeclared parameter in the second item."""
    source = source_of("integer", ["$value", "$other"])
    context.result = render_template(source, {"value": 1})


@then("the result is accepted as a template with these targets")
def step_rendered(context):
    """Check that the rendered example passes validation."""
    template = parse_template(context.result)
    assert template.version == 7
    for row in context.table:
        workspace, service = row["service"].split("/")
        found = template.workspaces[workspace].services[service].targets
        assert len(found) == int(row["targets"]), row["service"]


@then("the rendered value is {result}")
def step_rendered_value(context, result):
    """Check the rendered value, and that the escaped placeholder is literal text."""
    if result == "findings":
        assert isinstance(context.result, Findings), context.result
        return
    items = json.loads(context.result)["items"]
    assert items == [json.loads(result), "$value"], items
    assert type(items[0]) is type(json.loads(result))
