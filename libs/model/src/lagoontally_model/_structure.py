"""Reads JSON and finds every structural fault of a document.

A document of the right structure is accepted by msgspec, which is fast. Only a
faulty one is walked by the slower JSON Schema validator, which finds all faults.
"""

import difflib
import json
from functools import cache
from importlib.resources import files
from itertools import islice
from typing import Any, NamedTuple, TypeVar

import msgspec
from jsonschema import Draft202012Validator
from jsonschema.validators import extend

from ._documents import RetiredDocument, TargetDocument
from ._findings import Finding, Findings

MAX_DOCUMENT_BYTES = 1_000_000
MAX_SHOWN_CHARACTERS = 64
# No document has a reason to nest even half as deep.
MAX_DEPTH = 32
# A document of a megabyte can hold more faults than anyone reads.
MAX_FAULTS = 1000
# Types of the lists' items by their reference in the committed schemas.
ITEM_KINDS = {
    "#/$defs/TargetDocument": TargetDocument,
    "#/$defs/RetiredDocument": RetiredDocument,
}

Document = TypeVar("Document", bound=msgspec.Struct)


def is_integer(_checker: Any, value: Any) -> bool:
    """Tell whether a value is an integer for the types, which 1.0 isn't."""
    return isinstance(value, int) and not isinstance(value, bool)


StrictValidator = extend(
    Draft202012Validator,
    type_checker=Draft202012Validator.TYPE_CHECKER.redefine("integer", is_integer),
)


def faulty_items(validator: Any, items: Any, instance: Any, schema: Any) -> Any:
    """Yield the errors of a list, passing over the items that have none.

    Most targets of a long list are right, and their types say so much faster.
    """
    if not isinstance(instance, list):
        return
    kind = ITEM_KINDS.get(items.get("$ref"))
    for index, item in enumerate(instance):
        if kind is None or not converts(item, kind):
            yield from validator.descend(item, items, path=index)


def converts(value: Any, kind: type) -> bool:
    """Tell whether a decoded value has the structure of a type."""
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return False
    return True


FaultFinder = extend(StrictValidator, validators={"items": faulty_items})


class Fault(NamedTuple):
    """A fault at a path of object keys and list indices."""

    path: tuple[str | int, ...]
    reason: str


def load_json(document: bytes, *, name: str) -> Any | Findings:
    """Decode a document of bounded size.

    Args:
        document: The encoded document.
        name: What the document is called in findings.

    Returns:
        The decoded value, or ``Findings`` with the one fault that prevents it.
    """
    if len(document) > MAX_DOCUMENT_BYTES:
        reason = f"{len(document)} bytes; at most {MAX_DOCUMENT_BYTES} are accepted"
        return Findings(name, (Finding("document", reason),))
    try:
        # Python's decoder gives the place of a fault and sees repeated fields.
        json.loads(document.decode(), object_pairs_hook=unique_fields)
        # The stricter decoder also refuses NaN and unpaired surrogates.
        value = msgspec.json.decode(document)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno}, column {error.colno}"
        return Findings(name, (Finding(place, f"not JSON: {error.msg}"),))
    except (ValueError, RecursionError) as error:
        return Findings(name, (Finding("document", f"not JSON: {error}"),))
    if is_too_deep(value):
        reason = f"nested more than {MAX_DEPTH} levels deep"
        return Findings(name, (Finding("document", reason),))
    return value


def is_too_deep(value: Any) -> bool:
    """Tell whether a value is nested deeper than later steps can follow."""
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [child for item in level for child in containers(item)]
        if not level:
            return False
    return True


def containers(value: Any) -> list[Any]:
    """Return the objects and lists that a value holds."""
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return []
    return [child for child in value if isinstance(child, dict | list)]


def unique_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object's fields, refusing a field that is given twice."""
    fields = dict(pairs)
    if len(fields) < len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"the field {repeated!r} is given twice in one object")
    return fields


def convert(
    value: Any, kind: type[Document], schema_name: str
) -> Document | list[Fault]:
    """Convert a decoded document to its type.

    Args:
        value: The decoded document.
        kind: The type that describes its structure.
        schema_name: Name of the committed JSON Schema of that type.

    Returns:
        The typed document, or every structural fault.
    """
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        # The types have the last word where the two should ever disagree.
        return schema_faults(value, schema_name) or [Fault((), str(error))]


def schema_faults(value: Any, schema_name: str) -> list[Fault]:
    """Return the faults that a committed schema finds, each once."""
    faults: dict[Fault, None] = {}
    for error in FaultFinder(load_schema(schema_name)).iter_errors(value):
        faults |= dict.fromkeys(faults_of(error))
        if len(faults) >= MAX_FAULTS:
            break
    return list(faults)


@cache
def load_schema(schema_name: str) -> dict[str, Any]:
    """Return a committed schema."""
    path = files(__package__) / "schema" / f"{schema_name}.schema.json"
    return json.loads(path.read_text())


def faults_of(error: Any) -> list[Fault]:
    """Turn one error of the validator into faults with their paths."""
    path = tuple(error.absolute_path)
    match error.validator:
        case "additionalProperties":
            known = error.schema.get("properties", {})
            names = (name for name in error.instance if name not in known)
            unknown = islice(names, MAX_FAULTS)
            return [
                Fault((*path, name), unknown_field(name, known)) for name in unknown
            ]
        case "required":
            missing = [n for n in error.validator_value if n not in error.instance]
            return [Fault((*path, name), "missing") for name in missing]
    if "propertyNames" in error.absolute_schema_path:
        path = (*path, error.instance)
    return [Fault(path, f"{shown(error.instance)} is not {accepted(error.schema)}")]


def unknown_field(name: str, known: Any) -> str:
    """Say that a field is unknown, with the closest known field."""
    close = difflib.get_close_matches(name, known, n=1)
    return f"unknown field; did you mean {close[0]!r}?" if close else "unknown field"


def accepted(schema: dict[str, Any]) -> str:
    """Describe what a schema accepts."""
    if schema.get("type") == "object":
        return "an object"
    if "enum" in schema:
        return "one of " + ", ".join(json.dumps(item) for item in schema["enum"])
    if "anyOf" in schema:
        return " or ".join(accepted(item) for item in schema["anyOf"])
    if "description" in schema:
        return schema["description"]
    return {"array": "a list"}.get(schema.get("type"), str(schema.get("type")))


def shown(value: Any) -> str:
    """Return a value as short JSON text."""
    text = json.dumps(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[:MAX_SHOWN_CHARACTERS] + "..."


def findings_in_order(name: str, value: Any, faults: list[Fault]) -> Findings:
    """Return faults as findings, in the order of the document.

    Args:
        name: What the document is called.
        value: The decoded document.
        faults: At least one fault.

    Returns:
        The ``Findings``.
    """
    reported = faults[:MAX_FAULTS]
    ordered = sorted(reported, key=lambda fault: position(value, fault.path))
    findings = [Finding(place(item.path), item.reason) for item in ordered]
    if len(faults) >= MAX_FAULTS:
        findings.append(Finding("document", f"only {MAX_FAULTS} faults are listed"))
    return Findings(name, tuple(findings))


def position(value: Any, path: tuple[str | int, ...]) -> list[int]:
    """Return where a path stands in a document, as a sortable key."""
    key = []
    for part in path:
        if isinstance(value, dict) and part in value:
            key.append(list(value).index(part))
            value = value[part]
        elif isinstance(value, list) and isinstance(part, int):
            key.append(part)
            value = value[part]
        else:
            # A missing field stands after those that are there.
            key.append(len(value) if isinstance(value, dict | list) else 0)
            break
    return key


def place(path: tuple[str | int, ...]) -> str:
    """Write a path as text, such as ``services.pivot-link.targets[2]``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{printable(part)}"
    return text.removeprefix(".") or "document"


def printable(name: str) -> str:
    """Return a field's name, short and in characters that any log can hold."""
    short = name[:MAX_SHOWN_CHARACTERS]
    return short.encode("ascii", "backslashreplace").decode()
