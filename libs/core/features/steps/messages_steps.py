"""Steps for the messages between balancers."""

from behave import given, then, when

from lagoontally_core import MemberRecord


@given("a member record")
def step_record(context):
    """A record has one value for each field."""
    context.record = MemberRecord(1, "tifton-1", "tifton", "127.0.0.1:1", 0, 0, 0, 0)


@when("it is turned into a plain tuple and back")
def step_round_trip(context):
    """A record survives the change of form."""
    context.copy = MemberRecord(*tuple(context.record))


@then("the record is the same")
def step_same(context):
    """The copy equals the record."""
    assert context.copy == context.record
