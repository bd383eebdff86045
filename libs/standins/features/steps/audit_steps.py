"""Steps for the audit."""

import tempfile
from pathlib import Path

from behave import given, then

from lagoontally_standins._audit import (
    ZERO_COUNTS,
    CallRecord,
    LedgerRun,
    LineRecord,
    Told,
    audit,
    audit_passes,
    read_ledgers,
)

OWN = "pivot-command-relay"
OTHER = "dossier-hub"
COMMAND = CallRecord(
    OWN, "pivot-link", "POST", "/pivot/1/command", "1", Told.ANSWERED, False, 5.0, ""
)
LINE = LineRecord(OWN, "pivot-link", "/pivot/1/status", True, 0, 0, 0, 9)
RUN = LedgerRun(
    "pivot-link-1", OWN, "pivot-link", "POST", COMMAND.path, "1", False, 0.0
)
WATCH = RUN._replace(method="OBSERVE", path=LINE.path, id=None)
FAULTS = {
    "the ledger holds the command twice": {"runs": (RUN, RUN, WATCH)},
    "the caller was told that it wasn't run": {
        "calls": (COMMAND._replace(told=Told.REFUSED),)
    },
    "the caller was told that it can't be served": {
        "calls": (COMMAND._replace(told=Told.FAILED),)
    },
    "the ledger doesn't hold the command": {"runs": (WATCH,)},
    "the caller got another call's answer": {"calls": (COMMAND._replace(wrong=True),)},
    "a line was notified of another resource": {"lines": (LINE._replace(wrong=1),)},
    "a line broke": {"lines": (LINE._replace(breaks=1),)},
    "a request named another workspace": {
        "runs": (RUN, WATCH, RUN._replace(id=None, foreign=True))
    },
    "the other tenant's upstream served the line's path": {
        "runs": (RUN, WATCH._replace(workspace=OTHER))
    },
    "the other tenant's upstream ran the command instead": {
        "runs": (RUN._replace(workspace=OTHER), WATCH)
    },
}


def set_evidence(context, *, runs=(RUN, WATCH), calls=(COMMAND,), lines=(LINE,)):
    """Audit the evidence given, clean where it isn't named."""
    context.calls = calls
    context.counts = audit(runs, calls, lines)


@given("a command that ran and was answered")
def step_clean(context):
    """One run, one call and one line fit together."""
    set_evidence(context)


@given("nothing was called")
def step_nothing(context):
    """There is no evidence at all."""
    set_evidence(context, runs=(), calls=(), lines=())


def step_fault(context, fault):
    """One piece of evidence shows a fault."""
    set_evidence(context, **FAULTS[fault])


for text in FAULTS:
    given(text)(lambda context, text=text: step_fault(context, text))


@given("another command was told {told:w}")
def step_told(context, told):
    """A second command was not answered and not run."""
    other = COMMAND._replace(id="2", told=Told(told))
    set_evidence(context, calls=(COMMAND, other))


@given("{count:d} answered commands that took 1 to {last:d} ms")
def step_latencies(context, count, last):
    """Each command took a millisecond longer than the one before."""
    ids = [str(number) for number in range(1, count + 1)]
    calls = tuple(COMMAND._replace(id=id_, latency_ms=float(id_)) for id_ in ids)
    set_evidence(context, runs=tuple(RUN._replace(id=id_) for id_ in ids), calls=calls)


@given("a ledger whose second line is cut")
def step_cut_ledger(context):
    """A ledger file holds a run and a part of one."""
    whole = '{"target": "a", "workspace": "b", "service": "c", "method": "POST", '
    whole += '"path": "/d", "id": "e", "foreign": false, "time": 1.0}'
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "a.jsonl").write_text(f"{whole}\n{whole[:-9]}\n")
        context.ledgers = read_ledgers(Path(folder))


@then("every count that must be 0 is 0")
def step_all_zero(context):
    """A clean run has no faults."""
    assert not any(context.counts[name] for name in ZERO_COUNTS), context.counts


@then("{count:w} is 1 and the others that must be 0 are 0")
def step_one_fault(context, count):
    """A fault shows in its own count only."""
    found = {name: context.counts[name] for name in ZERO_COUNTS if context.counts[name]}
    assert found == {count: 1}, found


@then("{count:w} is 1")
def step_count(context, count):
    """The count is 1."""
    assert context.counts[count] == 1, context.counts


@then("the audit passes")
def step_passes(context):
    """The exit status would be zero."""
    assert audit_passes(context.counts)


@then("the audit doesn't pass")
def step_fails(context):
    """The exit status would not be zero."""
    assert not audit_passes(context.counts)


@then("the percentiles of {service:S} are {p50:d}, {p99:d} and {p100:d} ms")
def step_percentiles(context, service, p50, p99, p100):
    """Percentiles are taken by nearest rank."""
    latency = context.counts["latency_ms"][service]
    assert latency == {"p50": p50, "p99": p99, "p100": p100}, latency


@then("the finding names the file and line {number:d}")
def step_finding(context, number):
    """The cut line is reported and the whole one is kept."""
    assert len(context.ledgers.runs) == 1
    (finding,) = context.ledgers.findings
    assert finding.place == f"a.jsonl:{number}"
