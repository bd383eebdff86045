"""Finds the log lines about a request, flow or target, and its cause of failure."""

import json
from typing import NamedTuple

TARGET_EVENTS = (
    "trial",
    "target_dead",
    "target_alive",
    "target_stuck",
    "target_answers",
    "target_lapsed",
    "target_set_aside",
    "target_restored",
    "target_at_cap",
)
INSTANCE_EVENTS = (
    "start",
    "serving",
    "stopping",
    "stop",
    "ready",
    "unready",
    "resumed",
    "store_lost",
    "store_regained",
    "store_history_gone",
    "store_era",
    "store_restored",
    "store_read",
    "store_change_missed",
    "configuration_behind",
    "configuration_in_force",
    "evacuations_contradicted",
    "spill_started",
    "spill_ended",
)
EVACUATION_EVENTS = ("evacuation_began", "evacuation_ended")
END_EVENTS = ("reset", "drop")
TARGET_FAULTS = {
    "target_dead": "was found dead",
    "target_stuck": "took requests and answered none",
}
# Causes by the reason of the event that ended a flow.
REASON_TEXTS = {
    "no_route": "the configuration in force at the balancer had no such route",
    "route_removed": "a configuration removed the route of the open flow",
    "no_target": "no target of the service was believed alive and reachable",
    "evacuated": "all data centres with targets of the service were emptied",
    "evacuated_rest_unreachable": "targets of the service were in data centres that "
    "were emptied, or not believed alive and reachable",
    "warming_up": "all targets that could take the flow warm up, and get no more now",
    "no_room": "targets of the service had refused flows for lack of room",
    "wait_exceeds_deadline": "answers of the service took longer than the deadline",
    "target_gone": "the flow's target is unknown to the platform",
    "target_dead": "the flow's target had been found dead",
    "target_refused": "the flow's target was found dead: its host refuses connections",
    "target_ended": "the flow's target has ended: its address has another target",
    "target_stuck": "the flow's target takes requests and answers none",
    "target_silent": "the flow's target was found dead: it answers nothing",
    "stale_syn": "its balancer had been paused, and left the flow to copies of the SYN",
    "unknown_cookie": "the balancer didn't know the flow's target yet",
}


class Log(NamedTuple):
    """The log lines of several processes, in the order of time.

    Attributes:
        lines: The decoded lines.
        unreadable: Number of lines that couldn't be decoded, such as cut ones.
    """

    lines: list
    unreadable: int


def read_logs(paths):
    """Read log files; lines of other programs count as unreadable."""
    lines, unreadable = [], 0
    for path in paths:
        for text in path.read_bytes().splitlines():
            line = _parse(text)
            if line is None:
                unreadable += 1
            else:
                lines.append(line)
    lines.sort(key=lambda line: line["time"])
    return Log(lines, unreadable)


def _parse(text):
    start = text.find(b"{")  # log collectors add a prefix
    try:
        line = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return None
    needed = {"time", "instance", "event"}
    return line if isinstance(line, dict) and needed <= line.keys() else None


def related_lines(log, subject, *, window_s):
    """Return the lines about a subject and about its targets and balancers.

    Args:
        log: The ``Log``.
        subject: A request's id, a flow, a caller or a target's id.
        window_s: Seconds before and after the subject's lines in which the lines
            about its targets and balancers are included.

    Returns:
        Lines in the order of time, empty if none mentions the subject.
    """
    subject_lines = [line for line in log.lines if _mentions(line, subject)]
    flows = {line["flow"] for line in subject_lines if line.get("flow")}
    if flows and not any(line.get("target") == subject for line in subject_lines):
        subject_lines = [line for line in log.lines if line.get("flow") in flows]
    if not subject_lines:
        return []
    targets = {line.get("target") for line in subject_lines} - {None}
    instances = {line["instance"] for line in subject_lines}
    callers = {_caller(line) for line in subject_lines} - {""}
    first, last = (
        subject_lines[0]["time"] - window_s,
        subject_lines[-1]["time"] + window_s,
    )
    return [
        line
        for line in log.lines
        if line in subject_lines
        or (
            line["event"] in EVACUATION_EVENTS  # it may have begun long before
            and line["instance"] in instances
            and line["time"] <= last
        )
        or (
            first <= line["time"] <= last
            and _is_related(line, targets=targets, instances=instances, callers=callers)
        )
    ]


def _mentions(line, subject):
    if subject in (line.get("request"), line.get("flow"), line.get("target")):
        return True
    # The subject may be a caller: its address, with or without the port.
    port = (line.get("flow") or "").partition(">")[0]
    return subject in (port, _caller(line))


def _caller(line):
    """Return the caller's address in the line's flow, empty without a flow."""
    return (line.get("flow") or "").partition(":")[0]


def _is_related(line, *, targets, instances, callers):
    if line["event"] in TARGET_EVENTS:
        return line.get("target") in targets
    if line["event"] in END_EVENTS:  # of another flow: the caller may have retried
        return _caller(line) in callers
    return line["event"] in INSTANCE_EVENTS and line["instance"] in instances


def verdict_of(lines, subject):
    """Return the cause that the lines show, as text."""
    if not lines:
        return f"no line mentions {subject}; was its balancer's log lost?"
    flows = {line.get("flow") for line in lines if _mentions(line, subject)} - {None}
    for line in reversed(lines):
        if line["event"] in END_EVENTS and line["flow"] in flows:
            cause = f"{_reason_text(line)} ({_decision_inputs(line)})"
            return cause + _emptied_at(line, lines) + _restore_before(line, lines)
    return _cause_without_end(lines, flows)


def _emptied_at(end, lines):
    """Return as text which data centres were emptied, for a refusal because of it."""
    if not end["reason"].startswith("evacuated"):
        return ""
    began = {}
    for line in lines:
        if line["instance"] != end["instance"] or line["time"] > end["time"]:
            continue
        if line["event"] == "evacuation_began":
            began[line["data_centre"]] = line
        elif line["event"] == "evacuation_ended":
            began.pop(line["data_centre"], None)
        elif line["event"] == "start":
            began.clear()
    return "".join(
        f"; {name} had been emptied for {round(1_000 * (end['time'] - line['time']))} "
        f"ms by revision {line['revision']}, known from {line['source']}"
        for name, line in sorted(began.items())
    )


def _restore_before(end, lines):
    """Return as text whether the store had come back from a copy before a line."""
    for line in reversed(lines):
        if line["instance"] != end["instance"] or line["time"] > end["time"]:
            continue
        ago_ms = round(1_000 * (end["time"] - line["time"]))
        if line["event"] == "store_restored":
            return (
                f"; its balancer had followed a restored store for {ago_ms} ms: "
                f"{line['changed']} entries changed, {line['kept']} kept"
            )
        if line["event"] == "store_era":
            return f"; the store had come back from a copy {ago_ms} ms before"
    return ""


def _reason_text(line):
    return REASON_TEXTS.get(line["reason"], line["reason"])


def _cause_without_end(lines, flows):
    """Return the cause if no balancer ended any of the flows."""
    flow_lines = [line for line in lines if line.get("flow") in flows]
    if not flow_lines:
        return "only state changes of the target are logged; trace one of its flows"
    last = flow_lines[-1]
    found = _cause_after(last, lines) or _cause_before(flow_lines[0], lines)
    if found is not None:
        return found
    if last["event"] == "silent_target":
        return "the first target didn't answer; a copy of the SYN went to another"
    return f"sent to target {last.get('target')}, which was believed alive"


def _cause_after(last, lines):
    """Return what happened to a flow's target or balancer after its last line."""
    instance = last["instance"]
    for line in lines:
        if line["time"] < last["time"]:
            continue
        fault = TARGET_FAULTS.get(line["event"])
        if fault and line["target"] == last.get("target"):
            return f"its target {line['target']} {fault} ({line['evidence']})"
        if line["instance"] != instance:
            continue
        if line["event"] in ("start", "stop"):
            return f"its balancer {instance} ended and started again after the request"
        if line["event"] == "resumed":
            return f"its balancer {instance} stood still, {line['stood_still_ms']} ms"
    return None


def _cause_before(first, lines):
    """Return how the caller's previous flow ended: the retry may have been too late."""
    for line in reversed(lines):
        if line["event"] in END_EVENTS and line["time"] <= first["time"]:
            ago_ms = round(1_000 * (first["time"] - line["time"]))
            return (
                f"its caller tried again, {ago_ms} ms after flow {line['flow']} had "
                f"ended: {_reason_text(line)} ({_decision_inputs(line)})"
            )
    return None


def _decision_inputs(line):
    names = ("version", "view_age_ms", "targets", "dead", "target")
    shown = [f"{name} {line[name]}" for name in names if line.get(name) is not None]
    return ", ".join([f"at {line['instance']}", *shown])
