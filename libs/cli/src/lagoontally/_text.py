"""Plain text for people: tables, findings and nested data."""

from collections.abc import Iterable
from functools import singledispatch
from typing import Any

from lagoontally_model import Finding

COLUMN_GAP = "  "
INDENT = "  "
ABSENT = "-"


def cell(value: Any) -> str:
    """Return a value as text without characters that steer a terminal."""
    if value is None:
        return ABSENT
    if isinstance(value, float):
        return f"{value:g}"
    return "".join(char if char.isprintable() else "?" for char in str(value))


def table(columns: Iterable[str], rows: Iterable[dict[str, Any]]) -> list[str]:
    """Lay out rows under their column names.

    Args:
        columns: Names of the columns, which are keys of the rows.
        rows: The rows; a key that is absent leaves ``-``.

    Returns:
        Lines of equal column widths, none where there are no rows.
    """
    names = list(columns)
    body = [[cell(row.get(name)) for name in names] for row in rows]
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
    """Return indented lines under a title, nothing where there are none."""
    return ["", title, *(INDENT + line for line in lines)] if lines else []


def pairs(fields: dict[str, Any]) -> list[str]:
    """Return names and values in two columns."""
    width = max((len(cell(name)) for name in fields), default=0)
    return [
        f"{cell(name).ljust(width)}{COLUMN_GAP}{cell(value)}"
        for name, value in fields.items()
    ]


def findings_text(findings: Iterable[Finding]) -> list[str]:
    """Return one line for each finding."""
    return [f"{cell(item.place)}: {cell(item.reason)}" for item in findings]


@singledispatch
def describe(value: Any) -> list[str]:
    """Return any decoded JSON as lines for a person.

    Args:
        value: The decoded value.

    Returns:
        Lines without indentation.
    """
    return [cell(value)]


@describe.register
def describe_object(value: dict) -> list[str]:
    """Return the plain fields of an object, then its nested ones."""
    plain = {name: item for name, item in value.items() if is_plain(item)}
    lines = pairs(plain)
    for name, item in value.items():
        if name not in plain:
            lines += section(cell(name), describe(item))
    return lines


@describe.register
def describe_list(value: list) -> list[str]:
    """Return a list of plain objects as a table, any other one by one."""
    if all(isinstance(item, dict) and all_plain(item) for item in value):
        columns = dict.fromkeys(name for item in value for name in item)
        return table(columns, value)
    return [line for item in value for line in describe(item)]


def is_plain(value: Any) -> bool:
    """Tell whether a value fits on a line of its own."""
    return not isinstance(value, dict | list)


def all_plain(fields: dict[str, Any]) -> bool:
    """Tell whether every field of an object is plain."""
    return all(is_plain(item) for item in fields.values())
