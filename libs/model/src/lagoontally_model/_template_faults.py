"""Semantic faults of a template, beyond its structure."""

from collections.abc import Iterator
from datetime import datetime
from typing import Any, NamedTuple

from ._addresses import is_address, parse_time
from ._quarantine import remaining_s
from ._structure import Fault, format_path, short_json
from ._template import DEFAULT_QUARANTINE_S


class ServiceEntry(NamedTuple):
    """A service of a document that may have structural faults."""

    path: tuple[str | int, ...]
    workspace: str
    fields: dict[str, Any]


class AddressEntry(NamedTuple):
    """A target or retired address of a document that may have structural faults."""

    path: tuple[str | int, ...]
    workspace: str
    fields: dict[str, Any]


def semantic_faults(value: Any) -> list[Fault]:
    """Find the semantic faults of a template.

    Values with structural faults are skipped, so that one report holds both kinds.
    """
    document = as_object(value)
    services = list(service_entries(document))
    targets = [target for item in services for target in target_entries(item)]
    faults = [*time_faults(document), *retired_faults(document)]
    faults += entry_port_faults(services)
    faults += target_name_faults(services)
    faults += active_target_faults(services)
    faults += address_faults(targets)
    faults += shared_address_faults(targets)
    faults += quarantine_faults(document, targets)
    return faults


def as_object(value: Any) -> dict[str, Any]:
    """Return an object unchanged, and any other value as an empty object."""
    return value if isinstance(value, dict) else {}


def as_list(value: Any) -> list[Any]:
    """Return a list unchanged, and any other value as an empty list."""
    return value if isinstance(value, list) else []


def service_entries(document: dict[str, Any]) -> Iterator[ServiceEntry]:
    """Yield each well-formed service with its path."""
    for workspace, fields in as_object(document.get("workspaces")).items():
        for name, service in as_object(as_object(fields).get("services")).items():
            path = ("workspaces", workspace, "services", name)
            yield ServiceEntry(path, workspace, as_object(service))


def target_entries(service: ServiceEntry) -> Iterator[AddressEntry]:
    """Yield each target of a service with its path."""
    for index, target in enumerate(as_list(service.fields.get("targets"))):
        path = (*service.path, "targets", index)
        yield AddressEntry(path, service.workspace, as_object(target))


def retired_entries(document: dict[str, Any]) -> Iterator[AddressEntry]:
    """Yield each retired address with its path."""
    for index, entry in enumerate(as_list(document.get("retired"))):
        fields = as_object(entry)
        workspace = fields.get("workspace")
        yield AddressEntry(("retired", index), str(workspace), fields)


def time_faults(document: dict[str, Any]) -> list[Fault]:
    """Find a publication time that isn't ISO 8601 with a time zone."""
    return time_fault(("published_at",), document.get("published_at"))


def time_fault(path: tuple[str | int, ...], text: Any) -> list[Fault]:
    """Find a time that isn't ISO 8601 with a time zone."""
    if not isinstance(text, str) or parse_time(text) is not None:
        return []
    return [Fault(path, f"{short_json(text)} is not an ISO 8601 time with a time zone")]


def address_fault(path: tuple[str | int, ...], text: Any) -> list[Fault]:
    """Find an address that isn't ``IP:port`` in numbers."""
    if not isinstance(text, str) or is_address(text):
        return []
    return [Fault(path, f"{short_json(text)} is not IP:port in numbers")]


def retired_faults(document: dict[str, Any]) -> list[Fault]:
    """Find malformed addresses and times of retired entries."""
    faults = []
    for entry in retired_entries(document):
        address, time = entry.fields.get("address"), entry.fields.get("retired_at")
        faults += address_fault((*entry.path, "address"), address)
        faults += time_fault((*entry.path, "retired_at"), time)
    return faults


def entry_port_faults(services: list[ServiceEntry]) -> list[Fault]:
    """Find entry ports that two services of the document share."""
    return duplicate_faults(
        [(item.path, item.fields) for item in services], "entry_port", int
    )


def target_name_faults(services: list[ServiceEntry]) -> list[Fault]:
    """Find names that two targets of a service share."""
    faults = []
    for service in services:
        targets = [(item.path, item.fields) for item in target_entries(service)]
        faults += duplicate_faults(targets, "name", str)
    return faults


def shared_address_faults(targets: list[AddressEntry]) -> list[Fault]:
    """Find addresses that two targets of the document share."""
    return duplicate_faults(
        [(item.path, item.fields) for item in targets], "address", str
    )


def duplicate_faults(
    items: list[tuple[tuple, dict]], name: str, kind: Any
) -> list[Fault]:
    """Find values of a field that occur in more than one object.

    Args:
        items: Path and fields of each object.
        name: The field that must be unique.
        kind: Type of its values; others are structural faults.

    Returns:
        A fault for each repetition, with the path of the first occurrence.
    """
    first: dict[Any, tuple] = {}
    faults = []
    for path, fields in items:
        value = fields.get(name)
        if not isinstance(value, kind):
            continue
        if value in first:
            reason = (
                f"{short_json(value)} is already used at {format_path(first[value])}"
            )
            faults.append(Fault((*path, name), reason))
        first.setdefault(value, path)
    return faults


def active_target_faults(services: list[ServiceEntry]) -> list[Fault]:
    """Find services without an active target."""
    faults = []
    for service in services:
        targets = service.fields.get("targets")
        if not isinstance(targets, list):
            continue
        states = [as_object(item).get("state", "active") for item in targets]
        if "active" not in states:
            reason = "at least one target must be active"
            faults.append(Fault((*service.path, "targets"), reason))
    return faults


def address_faults(targets: list[AddressEntry]) -> list[Fault]:
    """Find targets whose address isn't ``IP:port`` in numbers."""
    faults = []
    for target in targets:
        address = target.fields.get("address")
        faults += address_fault((*target.path, "address"), address)
    return faults


def quarantine_faults(
    document: dict[str, Any], targets: list[AddressEntry]
) -> list[Fault]:
    """Find targets whose address is in quarantine for another workspace."""
    owners = quarantine_owners(document)
    faults = []
    for target in targets:
        address = target.fields.get("address")
        if not isinstance(address, str):
            continue
        for workspace in owners.get(address, ()):
            if workspace != target.workspace:
                reason = f"{address} is in quarantine after it left {workspace}"
                faults.append(Fault((*target.path, "address"), reason))
    return faults


def quarantine_owners(document: dict[str, Any]) -> dict[str, list[str]]:
    """Return the workspaces that retired each address in quarantine."""
    published = parse_optional_time(document.get("published_at"))
    seconds = document.get("quarantine_s", DEFAULT_QUARANTINE_S)
    owners: dict[str, list[str]] = {}
    if published is None or not isinstance(seconds, int):
        return owners
    for entry in retired_entries(document):
        address = entry.fields.get("address")
        retired = parse_optional_time(entry.fields.get("retired_at"))
        if retired is None or not isinstance(address, str):
            continue
        if remaining_s(published, retired, seconds) > 0:
            owners.setdefault(address, []).append(entry.workspace)
    return owners


def parse_optional_time(text: Any) -> datetime | None:
    """Return a time, or None if it is missing or malformed."""
    return parse_time(text) if isinstance(text, str) else None
