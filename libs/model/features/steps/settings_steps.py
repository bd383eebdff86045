"""Steps for the settings of a balancer."""

from behave import given, then, when
from documents import EXAMPLES, encode, example_settings, set_fields

from lagoontally_model import Settings, parse_settings


@given("the example settings with these changes")
def step_settings(context):
    """Set the field of each row to a JSON value, with no other intervals."""
    context.settings = example_settings() | {"timing": {}}
    set_fields(context.settings, context.table)


@when("the settings are parsed")
def step_parse_settings(context):
    """Encode and parse the settings."""
    context.result = parse_settings(encode(context.settings))


@then("each example of settings is accepted")
def step_examples(context):
    """Check the examples that ship with the project."""
    files = sorted(EXAMPLES.glob("*.settings.json"))
    assert files
    for file in files:
        result = parse_settings(file.read_bytes())
        assert isinstance(result, Settings), result


@then("drain_ms is {drain_ms:d} and echo_life_ms is {echo_life_ms:d}")
def step_timing(context, drain_ms, echo_life_ms):
    """Check a given and an omitted interval."""
    timing = context.result.timing
    assert (timing.drain_ms, timing.echo_life_ms) == (drain_ms, echo_life_ms)
