"""Steps for metrics, operators and logs."""

import io
import json
import logging
from contextlib import redirect_stderr

import pynng
from behave import given, then, when
from fixtures import TIMEOUT_S, address_of, fuzz

from lagoontally_core import (
    AnswerOperator,
    Count,
    LogChange,
    OperatorQuery,
    RecordLatency,
)
from lagoontally_edges import (
    Metrics,
    OperatorEdge,
    configure_logging,
    log_change,
    merge_snapshots,
)
from lagoontally_edges._operator_edge import (
    decode_operator_request,
    encode_operator_answer,
)

INVALID_REQUESTS = [b"", b"\xff\x00", b"[]", b'{"query": "stop"}', b'{"query": 1}']
EXPLAIN = {"query": "explain", "argument": "pivot-link 127.0.0.1:5"}


@given("metrics that are sent to a UDP listener")
def step_metrics(context):
    """The listener takes the place of statsd."""
    context.listener = context.recorder.open_udp()
    address = address_of(context.listener)
    context.metrics = context.recorder.close_after_scenario(
        Metrics(address=address, prefix="tifton-1")
    )


@given("metrics without an address")
def step_metrics_in_memory(context):
    """Nothing is sent."""
    context.metrics = context.recorder.close_after_scenario(
        Metrics(address=None, prefix="tifton-1")
    )


@when("2 and 3 are counted and a latency of 40 ms is recorded")
def step_count(context):
    """Both counts have the same name."""
    context.metrics.count(Count("relayed", 2))
    context.metrics.count(Count("relayed", 3))
    context.metrics.record(RecordLatency("pivot-link", "command", 40))


@when("the metrics are flushed")
def step_flush(context):
    """The flush sends at once."""
    context.metrics.flush()


@then("statsd receives the sum and the latency's percentiles")
def step_statsd(context):
    """Metric names start with the prefix."""
    lines = set(context.listener.recv(2000).decode().splitlines())
    latency = "tifton-1.latency_ms.pivot-link.command"
    assert lines == {
        "tifton-1.relayed:5|c",
        f"{latency}.count:1|g",
        f"{latency}.p50:40|g",
        f"{latency}.p99:40|g",
    }, lines


@when("1 more is counted and the metrics are flushed")
def step_count_more(context):
    """A flush without new counts sends nothing."""
    context.metrics.flush()
    context.metrics.count(Count("relayed"))
    context.metrics.flush()


@then("statsd receives only the new count")
def step_statsd_new(context):
    """The earlier sum isn't sent again."""
    assert context.listener.recv(2000) == b"tifton-1.relayed:1|c"


@then("the snapshot holds the sum and the latency")
def step_snapshot(context):
    """Without statsd the snapshot is complete."""
    snapshot = context.metrics.snapshot()
    assert snapshot["counters"] == {"relayed": 5}
    expected = {"pivot-link/command": {"count": 1, "p50": 40, "p99": 40}}
    assert snapshot["latency_ms"] == expected


@given("{number:d} snapshots with latencies 1 to 300 distributed across them")
def step_snapshots(context, number):
    """Each balancer records a part of the latencies."""
    balancers = [Metrics(address=None, prefix="x") for _ in range(number)]
    for latency_ms in range(1, 301):
        metrics = balancers[latency_ms % number]
        metrics.count(Count("answered"))
        metrics.record(RecordLatency("pivot-link", "command", latency_ms))
    context.snapshots = [metrics.snapshot() for metrics in balancers]


@when("they are merged")
def step_merge(context):
    """The snapshots have been converted to JSON and back."""
    context.merged = merge_snapshots(json.loads(json.dumps(context.snapshots)))


@then("the merged percentiles are those of all latencies together")
def step_merged(context):
    """Two significant digits are kept."""
    latency = context.merged["latency_ms"]["pivot-link/command"]
    assert context.merged["counters"] == {"answered": 300}
    assert latency["count"] == 300
    assert abs(latency["p50"] - 150) <= 2, latency
    assert abs(latency["p99"] - 297) <= 3, latency


@then("the merged snapshot survives JSON")
def step_merged_json(context):
    """It can be merged again."""
    assert merge_snapshots([context.merged]) == context.merged


def open_operator(context, **options):
    """Start an operator edge and connect to it."""
    recorder = context.recorder
    context.edge = OperatorEdge(
        address="127.0.0.1:0", post=recorder.post, count=recorder.count, **options
    )
    recorder.close_after_scenario(context.edge)
    recorder.start(context.edge.run)
    context.operator = pynng.Req0(
        dial=f"tcp://{context.edge.listen_address}", recv_timeout=TIMEOUT_S * 1000
    )
    recorder.cleanup.callback(context.operator.close)


@given("an operator edge and an operator")
def step_operator(context):
    """The edge runs."""
    open_operator(context, answer_timeout_s=TIMEOUT_S)


@given("an operator edge that waits {seconds:d} seconds for answers")
def step_operator_with_timeout(context, seconds):
    """No answer can arrive in time."""
    open_operator(context, answer_timeout_s=seconds)


@when("the operator asks to explain a flow and the core answers")
def step_explain(context):
    """The answer carries the query's id."""
    context.operator.send(json.dumps(EXPLAIN).encode())
    query = context.recorder.wait_for_event()
    assert query[1:] == ("explain", EXPLAIN["argument"])
    context.edge.answer(AnswerOperator(query.query_id - 1, {"stale": True}))
    context.edge.answer(AnswerOperator(query.query_id, {"target": "pivot-link-1"}))


@then("the operator receives the core's answer")
def step_explained(context):
    """An answer to another query is dropped."""
    assert json.loads(context.operator.recv()) == {"target": "pivot-link-1"}


@when("the operator sends invalid requests")
def step_invalid_requests(context):
    """Each gets an answer before the next is sent."""
    context.replies = []
    for request in INVALID_REQUESTS:
        context.operator.send(request)
        context.replies.append(json.loads(context.operator.recv()))


@then("each invalid request is answered with an error")
def step_invalid_answered(context):
    """No query reaches the core."""
    assert all(list(reply) == ["error"] for reply in context.replies)
    assert context.recorder.counters["operator_faulty"] == len(INVALID_REQUESTS)
    assert context.recorder.drain_events() == []


@when("the operator asks and the core answers too late")
def step_late_answer(context):
    """The edge times out at once."""
    context.operator.send(b'{"query": "status"}')
    context.reply = json.loads(context.operator.recv())
    query_id = context.recorder.wait_for_event().query_id
    context.edge.answer(AnswerOperator(query_id, {"late": True}))


@then("the operator receives an error")
def step_unanswered(context):
    """The error states the reason."""
    assert context.reply["error"].startswith("no answer")
    assert context.recorder.counters["operator_unanswered"] == 1


@when("an operator's answer that can't be serialized is encoded")
def step_not_serializable(context):
    """A set of objects has no JSON form."""
    context.encoded = encode_operator_answer({"targets": {object()}})


@then("the encoded answer is an error")
def step_error(context):
    """The operator still receives a JSON object."""
    assert list(json.loads(context.encoded)) == ["error"]


@when("operators send arbitrary bytes")
def step_operator_fuzz(context):
    """Decoding never raises."""
    context.kinds = set()
    samples = [json.dumps(EXPLAIN).encode(), b'{"query": "status"}']
    fuzz(
        lambda data: context.kinds.add(type(decode_operator_request(data, 1))), samples
    )


@then("each request is a query, or rejected with a reason")
def step_operator_fuzzed(context):
    """The generated bytes covered queries and invalid requests."""
    assert context.kinds == {OperatorQuery, str}, context.kinds


@given("the log is set to {form}")
def step_log(context, form):
    """The log goes to the redirected standard error."""
    context.form = form
    context.log = io.StringIO()
    root = logging.getLogger()
    before = (root.handlers[:], root.level)
    context.recorder.cleanup.callback(restore_logging, root, *before)
    with redirect_stderr(context.log):
        configure_logging("INFO", form)


def restore_logging(root, handlers, level):
    """Restore the handlers and level of the root logger."""
    root.handlers[:] = handlers
    root.setLevel(level)


@when("a change with a key, a token and bytes is logged")
def step_log_change(context):
    """The secrets are nested at several depths."""
    fields = {
        "peer": "tifton-2",
        "echo_key": "SECRET",
        "nested": {"Token": "SECRET", "list": [{"echo": "SECRET"}]},
        "body": b"SECRET",
    }
    log_change(LogChange("warning", "the peer is suspected", fields))
    log_change(LogChange("debug", "not shown", {}))


@then("the line shows its text and fields but no secret")
def step_logged(context):
    """There is one line, in the configured format."""
    (line,) = context.log.getvalue().splitlines()
    assert "the peer is suspected" in line and "tifton-2" in line, line
    assert "WARNING" in line and "SECRET" not in line, line
    if context.form == "json":
        assert json.loads(line)["fields"]["body"] == "<6 bytes>"
