"""Steps for silences of lines and for runs on leaving targets."""

from behave import given, then, when

from lagoontally_standins._audit import LedgerRun, LineRecord
from lagoontally_standins._faults import Drain
from lagoontally_standins._silence import Timed, late_on_leaving, timeline, too_long

END_S = 40


def set_heard(context, times):
    """Keep the record of a line."""
    heard_s = tuple(float(time) for time in times)
    line = LineRecord("w", "s", "/pivot/1/status", True, 0, 0, 0, 0, heard_s=heard_s)
    context.lines = (line,)


@given('a fault "{plan}" from {from_s:d} s to {until_s:d} s')
def step_fault(context, plan, from_s, until_s):
    """One fault was made."""
    planned = plan == "planned"
    context.faults = [Timed("kind", "target", planned, float(from_s), float(until_s))]


@given("a target that was leaving from {from_s:d} s to {until_s:d} s")
def step_drain(context, from_s, until_s):
    """One target was drained and taken back."""
    context.drains = [Drain("a", float(from_s), float(until_s))]


@when("a line is heard each second until {last:d} s and again from {again:d} s")
def step_heard(context, last, again):
    """The line has one silence."""
    set_heard(context, (*range(last + 1), *range(again, END_S + 1)))


@when("a line is heard each second until {last:d} s and never again")
def step_lost(context, last):
    """The line isn't whole again."""
    set_heard(context, range(last + 1))


@when('"{target}" begins a run at {at_s:d} s')
def step_run(context, target, at_s):
    """A ledger holds one run."""
    run = LedgerRun(target, "w", "s", "GET", "/p", None, False, float(at_s))
    context.late = late_on_leaving((run,), context.drains)


@then("{number:d} breaches are found")
def step_breaches(context, number):
    """Only silences longer than their fault allows are breaches."""
    found = too_long(context.faults, context.lines, end_s=float(END_S))
    assert len(found) == number, found


@then("the fault has a longest silence of {length_s:d} s")
def step_longest(context, length_s):
    """A silence that began before the fault isn't the fault's."""
    end_s = float(END_S)
    (entry,) = timeline(context.faults, (), context.lines, began_s=0.0, end_s=end_s)
    assert entry["longest_silence_s"] == length_s, entry


@then("{number:d} late runs are found")
def step_late(context, number):
    """New work has 5 s to go elsewhere."""
    assert context.late == number
