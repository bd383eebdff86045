"""Formats tables, findings and nested data as plain text."""

from collections.abc import Iterable
from functools import singledispatch
from typing import Any

from lagoontally_model import Finding

COLUMN_GAP = "  "
INDENT = "  "
ABSENT = "-"


def cell_text(value: Any) -> str:
    """Return a value as text; control characters are replaced by ``?``."""
    if value is None:
        return ABSENT
    if isinstance(value, float):
        return f"{value:g}"
    return "".join(char if char.isprintable() else "?" for char in str(value))


def table(columns: Iterable[str], rows: Iterable[dict[str, Any]]) -> list[str]:
    """Format rows as a table with a header.

    Args:
        columns: Names of the columns, which are keys of the rows.
        rows: The rows; a missing key is shown as ``-``.

    Returns:
        Lines with aligned columns, none if there are no rows.
    """
    names = list(columns)
    body = [[cell_text(row.get(name)) for name in names] for row in rows]
    if not body:
        return []
    grid = [names, *body]
    widths = [max(len(line[i]) for line in grid) for i in range(len(names))]
    return [join_cells(line, widths) for line in grid]


def join_cells(cells: list[str], widths: list[int]) -> str:
    """Return one line of a table."""
    padded = [text.ljust(width) for text, width in zip(cells, widths, strict=True)]
    return COLUMN_GAP.join(padded).rstrip()


def section(title: str, lines: list[str]) -> list[str]:
    """Return indented lines under a title, or nothing if there are none."""
    return ["", title, *(INDENT + line for line in lines)] if lines else []


def key_value_lines(fields: dict[str, Any]) -> list[str]:
    """Return names and values in two columns."""
    width = max((len(cell_text(name)) for name in fields), default=0)
    return [
        f"{cell_text(name).ljust(width)}{COLUMN_GAP}{cell_text(value)}"
        for name, value in fields.items()
    ]


def findings_text(findings: Iterable[Finding]) -> list[str]:
    """Return one line for each finding."""
    return [f"{cell_text(item.place)}: {cell_text(item.reason)}" for item in findings]


@singledispatch
def format_value(value: Any) -> list[str]:
    """Format any decoded JSON value.

    Args:
        value: The decoded value.

    Returns:
        Lines without indentation.
    """
    return [cell_text(value)]


@format_value.register
def format_object(value: dict) -> list[str]:
    """Format the scalar fields of an object, then its nested ones."""
    scalars = {name: item for name, item in value.items() if is_scalar(item)}
    lines = key_value_lines(scalars)
    for name, item in value.items():
        if name not in scalars:
            lines += section(cell_text(name), format_value(item))
    return lines


@format_value.register
def format_list(value: list) -> list[str]:
    """Format a list of flat objects as a table, other lists item by item."""
    if all(isinstance(item, dict) and all_scalars(item) for item in value):
        columns = dict.fromkeys(name for item in value for name in item)
        return table(columns, value)
    return [line for item in value for line in format_value(item)]


def is_scalar(value: Any) -> bool:
    """Return whether a value is neither an object nor a list."""
    return not isinstance(value, dict | list)


def all_scalars(fields: dict[str, Any]) -> bool:
    """Return whether every field of an object is a scalar."""
    return all(is_scalar(item) for item in fields.values())
