"""Steps for the settings of a balancer."""

from behave import given, then, when
from documents import EXAMPLES, encode, example_settings, put_all

from lagoontally_model import Settings, parse_settings


@given("settings changed so")
def step_settings(context):
    """Each row puts a JSON value at a place of the example settings."""
    context.settings = example_settings() | {"timing": {}}
    put_all(context.settings, context.table)


@when("the settings are parsed")
def step_parse_settings(context):
    """The settings are encoded and parsed."""
    context.result = parse_settings(encode(context.settings))


@then("each example of settings is accepted")
def step_examples(context):
    """The examples that ship with the project have no faults."""
    files = sorted(EXAMPLES.glob("*.settings.json"))
    assert files
    for file in files:
        result = parse_settings(file.read_bytes())
        assert isinstance(result, Settings), result


@then("drain_ms is {drain_ms:d} and echo_life_ms is {echo_life_ms:d}")
def step_timing(context, drain_ms, echo_life_ms):
    """Given intervals are taken, others have their defaults."""
    timing = context.result.timing
    assert (timing.drain_ms, timing.echo_life_ms) == (drain_ms, echo_life_ms)
