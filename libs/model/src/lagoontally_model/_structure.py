"""Decoding of JSON documents, and detection of all their structural faults.

msgspec, which is fast, accepts documents of the right structure. Only invalid ones
go through the slower JSON Schema validator, which finds all faults.
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
# More than twice the depth of any valid document; later steps recurse.
MAX_DEPTH = 32
# A document of a megabyte can hold more faults than an operator reads.
MAX_FAULTS = 1000
# Types of list items by their reference in the committed schemas.
ITEM_TYPES = {
    "#/$defs/TargetDocument": TargetDocument,
    "#/$defs/RetiredDocument": RetiredDocument,
}

Document = TypeVar("Document", bound=msgspec.Struct)


def is_integer(_checker: Any, value: Any) -> bool:
    """Return whether a value is an integer to msgspec, which rejects 1.0."""
    return isinstance(value, int) and not isinstance(value, bool)


StrictValidator = extend(
    Draft202012Validator,
    type_checker=Draft202012Validator.TYPE_CHECKER.redefine("integer", is_integer),
)


def invalid_item_errors(validator: Any, items: Any, instance: Any, schema: Any) -> Any:
    """Yield the errors of a list, skipping its valid items.

    Most targets of a long list are valid, which msgspec finds out much faster.
    """
    if not isinstance(instance, list):
        return
    kind = ITEM_TYPES.get(items.get("$ref"))
    for index, item in enumerate(instance):
        if kind is None or not matches_type(item, kind):
            yield from validator.descend(item, items, path=index)


def matches_type(value: Any, kind: type) -> bool:
    """Return whether a decoded value has the structure of a type."""
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return False
    return True


FaultFinder = extend(StrictValidator, validators={"items": invalid_item_errors})


class Fault(NamedTuple):
    """A fault at a path of object keys and list indices."""

    path: tuple[str | int, ...]
    reason: str


def load_json(document: bytes, *, name: str) -> Any | Findings:
    """Decode a document of bounded size.

    Args:
        document: The encoded document.
        name: Kind of the document, as ``Findings`` name it.

    Returns:
        The decoded value, or ``Findings`` with the one fault that prevents it.
    """
    if len(document) > MAX_DOCUMENT_BYTES:
        reason = f"{len(document)} bytes; at most {MAX_DOCUMENT_BYTES} are accepted"
        return Findings(name, (Finding("document", reason),))
    try:
        # Python's decoder gives the position of a fault and detects repeated fields.
        json.loads(document.decode(), object_pairs_hook=unique_fields)
        # msgspec's stricter decoder also rejects NaN and unpaired surrogates.
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
    """Return whether a value is nested more than ``MAX_DEPTH`` levels deep."""
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [child for item in level for child in child_containers(item)]
        if not level:
            return False
    return True


def child_containers(value: Any) -> list[Any]:
    """Return the objects and lists that a value holds."""
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return []
    return [child for child in value if isinstance(child, dict | list)]


def unique_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object's fields.

    Raises:
        ValueError: A field is given twice.
    """
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
        # The type is decisive should the schema ever disagree with it.
        return schema_faults(value, schema_name) or [Fault((), str(error))]


def schema_faults(value: Any, schema_name: str) -> list[Fault]:
    """Return the distinct faults of a value under a committed schema."""
    faults: dict[Fault, None] = {}
    for error in FaultFinder(load_schema(schema_name)).iter_errors(value):
        faults |= dict.fromkeys(faults_from_error(error))
        if len(faults) >= MAX_FAULTS:
            break
    return list(faults)


@cache
def load_schema(schema_name: str) -> dict[str, Any]:
    """Return a committed schema."""
    path = files(__package__) / "schema" / f"{schema_name}.schema.json"
    return json.loads(path.read_text())


def faults_from_error(error: Any) -> list[Fault]:
    """Convert one validator error to faults with their paths."""
    path = tuple(error.absolute_path)
    match error.validator:
        case "additionalProperties":
            known = error.schema.get("properties", {})
            names = (name for name in error.instance if name not in known)
            unknown = islice(names, MAX_FAULTS)
            return [
                Fault((*path, name), unknown_field_reason(name, known))
                for name in unknown
            ]
        case "required":
            missing = [n for n in error.validator_value if n not in error.instance]
            return [Fault((*path, name), "missing") for name in missing]
    if "propertyNames" in error.absolute_schema_path:
        path = (*path, error.instance)
    return [
        Fault(
            path, f"{short_json(error.instance)} is not {describe_schema(error.schema)}"
        )
    ]


def unknown_field_reason(name: str, known: Any) -> str:
    """Return the reason for an unknown field, with the closest known one."""
    close = difflib.get_close_matches(name, known, n=1)
    return f"unknown field; did you mean {close[0]!r}?" if close else "unknown field"


def describe_schema(schema: dict[str, Any]) -> str:
    """Describe what a schema accepts."""
    if schema.get("type") == "object":
        return "an object"
    if "enum" in schema:
        return "one of " + ", ".join(json.dumps(item) for item in schema["enum"])
    if "anyOf" in schema:
        return " or ".join(describe_schema(item) for item in schema["anyOf"])
    if "description" in schema:
        return schema["description"]
    return {"array": "a list"}.get(schema.get("type"), str(schema.get("type")))


def short_json(value: Any) -> str:
    """Return a value as JSON text, truncated if it is long."""
    text = json.dumps(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[:MAX_SHOWN_CHARACTERS] + "..."


def findings_in_order(name: str, value: Any, faults: list[Fault]) -> Findings:
    """Return faults as findings, in the order of the document.

    Args:
        name: Kind of the document.
        value: The decoded document.
        faults: At least one fault.

    Returns:
        The ``Findings``.
    """
    reported = faults[:MAX_FAULTS]
    ordered = sorted(reported, key=lambda fault: sort_key(value, fault.path))
    findings = [Finding(format_path(item.path), item.reason) for item in ordered]
    if len(faults) >= MAX_FAULTS:
        findings.append(Finding("document", f"only {MAX_FAULTS} faults are listed"))
    return Findings(name, tuple(findings))


def sort_key(value: Any, path: tuple[str | int, ...]) -> list[int]:
    """Return a sort key for the position of a path in a document."""
    key = []
    for part in path:
        if isinstance(value, dict) and part in value:
            key.append(list(value).index(part))
            value = value[part]
        elif isinstance(value, list) and isinstance(part, int):
            key.append(part)
            value = value[part]
        else:
            # A missing field sorts after the existing ones.
            key.append(len(value) if isinstance(value, dict | list) else 0)
            break
    return key


def format_path(path: tuple[str | int, ...]) -> str:
    """Return a path as text, such as ``services.pivot-link.targets[2]``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{printable_name(part)}"
    return text.removeprefix(".") or "document"


def printable_name(name: str) -> str:
    """Return a field's name, truncated and escaped to ASCII for logs."""
    short = name[:MAX_SHOWN_CHARACTERS]
    return short.encode("ascii", "backslashreplace").decode()
