"""Formats a balancer's status; parts that are missing are left out."""

from typing import Any

from ._text import format_value, is_scalar, key_value_lines, section, table

HEADLINES = (
    "instance",
    "incarnation",
    "workspace",
    "data_centre",
    "state",
    "template_version",
    "lines",
    "in_flight",
    "remembered",
)
MEASUREMENTS = ("latency_ms", "counters", "histograms")
MEMBER_COLUMNS = ("name", "data_centre", "status", "template_version")
TARGET_COLUMNS = ("service", "name", "address", "state", "in_flight", "lines")
LATENCY_COLUMNS = ("service/kind", "count", "p50", "p99")


def status_text(status: dict[str, Any]) -> list[str]:
    """Return a status as lines.

    Args:
        status: The balancer's answer.

    Returns:
        The headline fields, then a table for each part that is present.
    """
    rest = dict(status)
    headlines = {name: rest.pop(name) for name in HEADLINES if name in rest}
    members = objects_in(rest.pop("members", []))
    targets = target_rows(rest.pop("services", {}))
    measurements = {name: rest.pop(name, None) for name in MEASUREMENTS}
    # A newer balancer may report fields that this version doesn't know.
    scalars = {name: value for name, value in rest.items() if is_scalar(value)}
    lines = key_value_lines(headlines | scalars)
    lines += section("members", table(MEMBER_COLUMNS, members))
    lines += targets_text(targets)
    lines += measurements_text(measurements)
    for name, value in rest.items():
        if name not in scalars:
            lines += section(name, format_value(value))
    return lines


def targets_text(rows: list[dict[str, Any]]) -> list[str]:
    """Return targets as lines, with a column for each scalar field."""
    extra = (name for row in rows for name, item in row.items() if is_scalar(item))
    columns = dict.fromkeys((*TARGET_COLUMNS, *extra))
    return section("targets", table(columns, rows))


def measurements_text(measurements: dict[str, Any]) -> list[str]:
    """Return latencies and counters as lines."""
    latencies = latency_rows(measurements.get("latency_ms"))
    counters = object_or_empty(measurements.get("counters"))
    lines = section("latency in ms", table(LATENCY_COLUMNS, latencies))
    return lines + section("counters", key_value_lines(dict(sorted(counters.items()))))


def object_or_empty(value: Any) -> dict[str, Any]:
    """Return an object unchanged, and an empty one for any other value."""
    return value if isinstance(value, dict) else {}


def objects_in(value: Any) -> list[dict[str, Any]]:
    """Return the objects in a list; other values are left out."""
    items = value if isinstance(value, list) else []
    return [item for item in items if isinstance(item, dict)]


def target_rows(services: Any) -> list[dict[str, Any]]:
    """Return one row for each target of each service."""
    return [
        target | {"service": name}
        for name, service in object_or_empty(services).items()
        for target in objects_in(object_or_empty(service).get("targets"))
    ]


def latency_rows(latencies: Any) -> list[dict[str, Any]]:
    """Return one row for each service and kind of request."""
    return [
        object_or_empty(values) | {"service/kind": name}
        for name, values in sorted(object_or_empty(latencies).items())
    ]
