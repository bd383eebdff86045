"""Fills in the parameters of a workspace template."""

import json
import math
from typing import Any

import msgspec

from ._documents import ParameterDocument, SourceDocument
from ._findings import Findings
from ._structure import (
    Fault,
    convert,
    findings_in_order,
    load_json,
    shown,
    unknown_field,
)

SOURCE = "source"
PLACEHOLDER = "$"
# A text that starts with two of them stands for one and isn't filled in.
ESCAPED = "$$"
PYTHON_TYPES = {
    "string": str,
    "integer": int,
    "number": int | float,
    "boolean": bool,
}
TYPE_TEXTS = {
    "string": "a string",
    "integer": "an integer",
    "number": "a number",
    "boolean": "true or false",
}


def render_template(source: bytes, parameters: dict[str, Any]) -> bytes | Findings:
    """Fill in a workspace template.

    A string in the document that is ``$name`` as a whole is replaced by the
    value of that parameter, with the parameter's type.

    Args:
        source: JSON with ``parameters`` and ``document``.
        parameters: Values by name, either of the parameter's type or as text.

    Returns:
        The filled-in document as indented JSON, or ``Findings`` with every
        fault of the source and of the values given.
    """
    value = load_json(source, name=SOURCE)
    if isinstance(value, Findings):
        return value
    converted = convert(value, SourceDocument, SOURCE)
    if isinstance(converted, list):
        return findings_in_order(SOURCE, value, converted)
    declared = converted.parameters
    values, faults = fill_parameters(declared, parameters)
    faults += placeholder_faults(("document",), converted.document, declared)
    if faults:
        return findings_in_order(SOURCE, value, faults)
    filled = fill_in(converted.document, values)
    return json.dumps(filled, indent=2).encode() + b"\n"


def fill_parameters(
    declared: dict[str, ParameterDocument], given: dict[str, Any]
) -> tuple[dict[str, Any], list[Fault]]:
    """Return the value of each parameter, and the faults of the values given."""
    values: dict[str, Any] = {}
    faults = []
    for name, parameter in declared.items():
        value = from_text(parameter, given.get(name, parameter.default))
        path = ("parameters", name)
        if value is None:
            wanted = TYPE_TEXTS[parameter.type]
            faults.append(Fault(path, f"missing; give {wanted}: {explain(parameter)}"))
        elif not has_type(parameter, value):
            wanted = TYPE_TEXTS[parameter.type]
            faults.append(Fault(path, f"{shown(value)} is not {wanted}"))
        values[name] = value
    for name in given:
        if name not in declared:
            reason = unknown_field(name, declared).replace("field", "parameter")
            faults.append(Fault(("parameters", name), reason))
    return values, faults


def explain(parameter: ParameterDocument) -> str:
    """Return a parameter's description with its unit."""
    unit = f" (in {parameter.unit})" if parameter.unit else ""
    return parameter.description + unit


def from_text(parameter: ParameterDocument, value: Any) -> Any:
    """Read a value that was given as text; any other is returned as it is."""
    if parameter.type == "string" or not isinstance(value, str):
        return value
    try:
        return msgspec.json.decode(value)
    except (ValueError, RecursionError):
        return value


def has_type(parameter: ParameterDocument, value: Any) -> bool:
    """Tell whether a value has a parameter's type."""
    if isinstance(value, bool):
        return parameter.type == "boolean"
    if isinstance(value, float) and not math.isfinite(value):
        return False
    return isinstance(value, PYTHON_TYPES[parameter.type])


def placeholder_faults(
    path: tuple[str | int, ...], value: Any, declared: dict[str, ParameterDocument]
) -> list[Fault]:
    """Find placeholders that name no parameter."""
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        name = placeholder(value)
        undeclared = name is not None and name not in declared
        return [Fault(path, f"no parameter is named {name!r}")] if undeclared else []
    return [
        fault
        for key, item in items
        for fault in placeholder_faults((*path, key), item, declared)
    ]


def placeholder(value: Any) -> str | None:
    """Return the parameter that a value names, if it is a placeholder."""
    if not isinstance(value, str) or value.startswith(ESCAPED):
        return None
    return value.removeprefix(PLACEHOLDER) if value.startswith(PLACEHOLDER) else None


def fill_in(value: Any, values: dict[str, Any]) -> Any:
    """Return a part of the document with its placeholders replaced."""
    if isinstance(value, dict):
        return {key: fill_in(item, values) for key, item in value.items()}
    if isinstance(value, list):
        return [fill_in(item, values) for item in value]
    name = placeholder(value)
    if name is not None:
        return values[name]
    if isinstance(value, str) and value.startswith(ESCAPED):
        return value.removeprefix(PLACEHOLDER)
    return value
