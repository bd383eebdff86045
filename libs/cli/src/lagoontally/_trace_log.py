"""Finds the lines of balancers' logs that explain what became of something."""

import json
from typing import NamedTuple

TARGET_EVENTS = (
    "trial",
    "target_dead",
    "target_alive",
    "target_stuck",
    "target_answers",
    "target_lapsed",
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
    "configuration_in_force",
)
ENDS = ("reset", "drop")
BELIEFS = {
    "target_dead": "was found dead",
    "target_stuck": "took requests and answered none",
}
# What the last line on a flow means, by event and reason.
VERDICTS = {
    "no_route": "the configuration in force at the balancer had no such route",
    "route_removed": "a configuration removed the route of the open flow",
    "no_target": "no target of the service was believed alive and reachable",
    "target_gone": "the flow's target is unknown to the platform",
    "target_dead": "the flow's target had been found dead",
    "target_refused": "the flow's target was found dead: its host refuses connections",
    "target_ended": "the flow's target has ended: its address has another target",
    "target_stuck": "the flow's target takes requests and answers none",
    "target_silent": "the flow's target was found dead: it answers nothing",
    "stale_syn": "its balancer had stood still, and left the flow to the SYN's copies",
    "unknown_cookie": "the balancer didn't know the flow's target yet",
}


class Log(NamedTuple):
    """Lines of several processes, in the order of their time.

    Attributes:
        lines: Documents, one a line.
        unreadable: Number of lines that hold none, cut ones for example.
    """

    lines: list
    unreadable: int


def read_logs(paths):
    """Return the ``Log`` in some files; other programs' lines count as unreadable."""
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
    start = text.find(b"{")  # collectors put their own words in front
    try:
        line = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        return None
    needed = {"time", "instance", "event"}
    return line if isinstance(line, dict) and needed <= line.keys() else None


def follow(log, subject, *, window_s):
    """Return the lines that explain what became of a subject.

    Args:
        log: The ``Log``.
        subject: A request's id, a flow, a caller or a target's id.
        window_s: Seconds around the subject's own lines in which the beliefs on
            its targets and the state of its balancers count.

    Returns:
        Lines in the order of time, empty when none mentions the subject.
    """
    own = [line for line in log.lines if _mentions(line, subject)]
    flows = {line["flow"] for line in own if line.get("flow")}
    if flows and not any(line.get("target") == subject for line in own):
        own = [line for line in log.lines if line.get("flow") in flows]
    if not own:
        return []
    targets = {line.get("target") for line in own} - {None}
    instances = {line["instance"] for line in own}
    callers = {_caller(line) for line in own} - {""}
    first, last = own[0]["time"] - window_s, own[-1]["time"] + window_s
    return [
        line
        for line in log.lines
        if line in own
        or (
            first <= line["time"] <= last
            and _is_context(line, targets=targets, instances=instances, callers=callers)
        )
    ]


def _mentions(line, subject):
    if subject in (line.get("request"), line.get("flow"), line.get("target")):
        return True
    # A caller: its address, with or without its port.
    port = (line.get("flow") or "").partition(">")[0]
    return subject in (port, _caller(line))


def _caller(line):
    """Return the address of the caller whose flow a line is on, "" without one."""
    return (line.get("flow") or "").partition(":")[0]


def _is_context(line, *, targets, instances, callers):
    if line["event"] in TARGET_EVENTS:
        return line.get("target") in targets
    if line["event"] in ENDS:  # of other flows: a caller tries again on a new one
        return _caller(line) in callers
    return line["event"] in INSTANCE_EVENTS and line["instance"] in instances


def verdict_of(lines, subject):
    """Return in words what the lines show of the cause."""
    if not lines:
        return f"no line mentions {subject}; was its balancer's log lost?"
    flows = {line.get("flow") for line in lines if _mentions(line, subject)} - {None}
    for line in reversed(lines):
        if line["event"] in ENDS and line["flow"] in flows:
            return f"{_reason(line)} ({_inputs(line)})"
    return _without_reset(lines, flows)


def _reason(line):
    return VERDICTS.get(line["reason"], line["reason"])


def _without_reset(lines, flows):
    """Return the cause where no balancer has ended any of the flows."""
    flow_lines = [line for line in lines if line.get("flow") in flows]
    if not flow_lines:
        return "only beliefs on the target are logged; follow one of its flows"
    last = flow_lines[-1]
    found = _after(last, lines) or _before(flow_lines[0], lines)
    if found is not None:
        return found
    if last["event"] == "silent_target":
        return "the first target didn't answer; a copy of the SYN went to another"
    return f"sent to target {last.get('target')}, which was believed alive"


def _after(last, lines):
    """Return what ended a flow's target or balancer after its last line."""
    instance = last["instance"]
    for line in lines:
        if line["time"] < last["time"]:
            continue
        believed = BELIEFS.get(line["event"])
        if believed and line["target"] == last.get("target"):
            return f"its target {line['target']} {believed} ({line['evidence']})"
        if line["instance"] != instance:
            continue
        if line["event"] in ("start", "stop"):
            return f"its balancer {instance} ended and started again after the request"
        if line["event"] == "resumed":
            return f"its balancer {instance} stood still, {line['stood_still_ms']} ms"
    return None


def _before(first, lines):
    """Return how the caller's former flow ended: this one may have come too late."""
    for line in reversed(lines):
        if line["event"] in ENDS and line["time"] <= first["time"]:
            ago_ms = round(1_000 * (first["time"] - line["time"]))
            return (
                f"its caller tried again, {ago_ms} ms after flow {line['flow']} had "
                f"ended: {_reason(line)} ({_inputs(line)})"
            )
    return None


def _inputs(line):
    names = ("version", "view_age_ms", "targets", "dead", "target")
    shown = [f"{name} {line[name]}" for name in names if line.get(name) is not None]
    return ", ".join([f"at {line['instance']}", *shown])
