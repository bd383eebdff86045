"""Rendering of a workspace template with parameter values."""

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
    short_json,
    unknown_field_reason,
)

SOURCE = "source"
PLACEHOLDER_PREFIX = "$"
# A text that starts with ``$$`` is literal text that starts with one ``$``.
ESCAPE_PREFIX = "$$"
PYTHON_TYPES = {
    "string": str,
    "integer": int,
    "number": int | float,
    "boolean": bool,
}
TYPE_DESCRIPTIONS = {
    "string": "a string",
    "integer": "an integer",
    "number": "a number",
    "boolean": "true or false",
}


def render_template(source: bytes, parameters: dict[str, Any]) -> bytes | Findings:
    """Render a workspace template.

    Each string of the document that is just ``$name`` is replaced by the value of
    that parameter, with the parameter's type.

    Args:
        source: JSON with ``parameters`` and ``document``.
        parameters: Values by name, of the parameter's type or as text.

    Returns:
        The rendered document as indented JSON, or ``Findings`` with every fault
        of the source and of the values.
    """
    value = load_json(source, name=SOURCE)
    if isinstance(value, Findings):
        return value
    converted = convert(value, SourceDocument, SOURCE)
    if isinstance(converted, list):
        return findings_in_order(SOURCE, value, converted)
    declared = converted.parameters
    values, faults = resolve_parameters(declared, parameters)
    faults += placeholder_faults(("document",), converted.document, declared)
    if faults:
        return findings_in_order(SOURCE, value, faults)
    rendered = substitute(converted.document, values)
    return json.dumps(rendered, indent=2).encode() + b"\n"


def resolve_parameters(
    declared: dict[str, ParameterDocument], given: dict[str, Any]
) -> tuple[dict[str, Any], list[Fault]]:
    """Return the value of each parameter, and the faults of the given values."""
    values: dict[str, Any] = {}
    faults = []
    for name, parameter in declared.items():
        value = decode_text(parameter, given.get(name, parameter.default))
        path = ("parameters", name)
        if value is None:
            expected = TYPE_DESCRIPTIONS[parameter.type]
            faults.append(
                Fault(
                    path, f"missing; give {expected}: {describe_parameter(parameter)}"
                )
            )
        elif not has_type(parameter, value):
            expected = TYPE_DESCRIPTIONS[parameter.type]
            faults.append(Fault(path, f"{short_json(value)} is not {expected}"))
        values[name] = value
    for name in given:
        if name not in declared:
            reason = unknown_field_reason(name, declared).replace("field", "parameter")
            faults.append(Fault(("parameters", name), reason))
    return values, faults


def describe_parameter(parameter: ParameterDocument) -> str:
    """Return a parameter's description with its unit."""
    unit = f" (in {parameter.unit})" if parameter.unit else ""
    return parameter.description + unit


def decode_text(parameter: ParameterDocument, value: Any) -> Any:
    """Decode a value given as text; return any other value unchanged."""
    if parameter.type == "string" or not isinstance(value, str):
        return value
    try:
        return msgspec.json.decode(value)
    except (ValueError, RecursionError):
        return value


def has_type(parameter: ParameterDocument, value: Any) -> bool:
    """Return whether a value has a parameter's type."""
    if isinstance(value, bool):
        return parameter.type == "boolean"
    if isinstance(value, float) and not math.isfinite(value):
        return False
    return isinstance(value, PYTHON_TYPES[parameter.type])


def placeholder_faults(
    path: tuple[str | int, ...], value: Any, declared: dict[str, ParameterDocument]
) -> list[Fault]:
    """Find placeholders without a declared parameter."""
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        name = placeholder_name(value)
        undeclared = name is not None and name not in declared
        return [Fault(path, f"no parameter is named {name!r}")] if undeclared else []
    return [
        fault
        for key, item in items
        for fault in placeholder_faults((*path, key), item, declared)
    ]


def placeholder_name(value: Any) -> str | None:
    """Return the parameter name of a placeholder; None for any other value."""
    if not isinstance(value, str) or value.startswith(ESCAPE_PREFIX):
        return None
    return (
        value.removeprefix(PLACEHOLDER_PREFIX)
        if value.startswith(PLACEHOLDER_PREFIX)
        else None
    )


def substitute(value: Any, values: dict[str, Any]) -> Any:
    """Return a part of the document with its placeholders replaced."""
    if isinstance(value, dict):
        return {key: substitute(item, values) for key, item in value.items()}
    if isinstance(value, list):
        return [substitute(item, values) for item in value]
    name = placeholder_name(value)
    if name is not None:
        return values[name]
    if isinstance(value, str) and value.startswith(ESCAPE_PREFIX):
        return value.removeprefix(PLACEHOLDER_PREFIX)
    return value
