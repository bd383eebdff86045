"""Splitting of a template into sections, so that peers send only changed ones."""

import hashlib
from typing import Any

import msgspec

from ._findings import Finding, Findings

HEAD = "head"
SERVICES = "services"
WORKSPACES = "workspaces"
DIGEST_BYTES = 16


def canonical(value: Any) -> bytes:
    """Encode decoded JSON so that equal values have equal bytes."""
    return msgspec.json.encode(value, order="sorted")


def digest(data: bytes) -> bytes:
    """Return the digest of encoded data, 16 bytes of BLAKE2b."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def document_digest(document: bytes) -> bytes:
    """Return the digest of a document's canonical form.

    Args:
        document: A document that ``parse_template`` accepts.

    Returns:
        16 bytes; the same for documents that differ only in layout or key order.
    """
    return digest(canonical(msgspec.json.decode(document)))


def split_sections(document: bytes) -> dict[str, bytes]:
    """Split a document into its head and one section for each service.

    Args:
        document: A document that ``parse_template`` accepts.

    Returns:
        The canonical sections by name: ``head``, which lists the services of
        each workspace, and ``<workspace>/<service>``.
    """
    head = msgspec.json.decode(document)
    sections = {}
    for name, workspace in head[WORKSPACES].items():
        services = workspace[SERVICES]
        workspace[SERVICES] = sorted(services)
        for service, fields in services.items():
            sections[f"{name}/{service}"] = canonical(fields)
    return {HEAD: canonical(head)} | sections


def join_sections(sections: dict[str, bytes]) -> bytes | Findings:
    """Join sections into the canonical form of their document.

    Args:
        sections: All sections by name, as a peer may have sent them.

    Returns:
        The document, not yet validated, or ``Findings`` with every section that
        is malformed, missing or not listed in the head.
    """
    decoded, findings = decode_sections(sections)
    head = decoded.get(HEAD)
    listed = listed_services(head)
    if listed is None:
        if HEAD not in sections:
            findings.append(Finding(HEAD, "missing"))
        elif HEAD in decoded:
            findings.append(Finding(HEAD, "doesn't list the services of workspaces"))
        return Findings("sections", tuple(findings))
    names = {f"{workspace}/{service}" for workspace, service in listed}
    for name in sorted(names - set(sections)):
        findings.append(Finding(name, "missing"))
    for name in sorted(set(sections) - names - {HEAD}):
        findings.append(Finding(name, "not listed in the head"))
    if findings:
        return Findings("sections", tuple(findings))
    for workspace in head[WORKSPACES].values():
        workspace[SERVICES] = {}
    for workspace, service in listed:
        fields = decoded[f"{workspace}/{service}"]
        head[WORKSPACES][workspace][SERVICES][service] = fields
    return canonical(head)


def decode_sections(
    sections: dict[str, bytes],
) -> tuple[dict[str, Any], list[Finding]]:
    """Return the decoded sections, and the findings of those that aren't JSON."""
    decoded, findings = {}, []
    for name, data in sections.items():
        try:
            decoded[name] = msgspec.json.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            findings.append(Finding(name, f"not JSON: {error}"))
    return decoded, findings


def listed_services(head: Any) -> list[tuple[str, str]] | None:
    """Return a head's (workspace, service) names; None if it lists none validly."""
    try:
        workspaces = head[WORKSPACES].items()
        listed = [(name, item[SERVICES]) for name, item in workspaces]
    except (TypeError, KeyError, AttributeError):
        return None
    if not all(is_string_list(services) for _, services in listed):
        return None
    return [(name, service) for name, services in listed for service in services]


def is_string_list(value: Any) -> bool:
    """Return whether a value is a list of strings."""
    return isinstance(value, list) and all(isinstance(item, str) for item in value)
