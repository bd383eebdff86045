"""Steps for the messages between balancers."""

from behave import given, then, when

from lagoontally_core import MemberRecord


@given("a member record")
def step_record(context):
    """Create a record with one value for each field."""
    context.record = MemberRecord(1, "tifton-1", "tifton", "127.0.0.1:1", 0, 0, 0, 0)


@when("it is converted to a tuple and back")
def step_round_trip(context):
    """Rebuild the record from a tuple of its values."""
    context.copy = MemberRecord(*tuple(context.record))


@then("the record is the same")
def step_same(context):
    """The copy equals the record."""
    assert context.copy == context.record
