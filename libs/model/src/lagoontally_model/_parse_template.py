"""Parsing and validation of template documents.

Acceptance is a pure function of the document, so that all balancers agree
whichever versions they have missed.
"""

from msgspec.structs import astuple

from ._documents import (
    ServiceDocument,
    TargetDocument,
    TemplateDocument,
    WorkspaceDocument,
)
from ._findings import Findings
from ._structure import convert, findings_in_order, load_json
from ._template import (
    Placement,
    RetiredAddress,
    Service,
    Target,
    Template,
    Workspace,
)
from ._template_faults import semantic_faults

TEMPLATE = "template"


def parse_template(document: bytes) -> Template | Findings:
    """Validate a template document and return its typed form.

    Args:
        document: The JSON document as published.

    Returns:
        The ``Template``, or ``Findings`` with every fault of the document.
    """
    value = load_json(document, name=TEMPLATE)
    if isinstance(value, Findings):
        return value
    converted = convert(value, TemplateDocument, TEMPLATE)
    faults = converted if isinstance(converted, list) else []
    faults += semantic_faults(value)
    if faults:
        return findings_in_order(TEMPLATE, value, faults)
    return build_template(converted)


def build_template(document: TemplateDocument) -> Template:
    """Return the typed form of a valid document."""
    workspaces = document.workspaces.items()
    retired = document.retired
    return Template(
        version=document.version,
        published_at=document.published_at,
        quarantine_s=document.quarantine_s,
        workspaces={name: build_workspace(name, item) for name, item in workspaces},
        retired=tuple(RetiredAddress(*astuple(item)) for item in retired),
    )


def build_workspace(name: str, document: WorkspaceDocument) -> Workspace:
    """Return the typed form of a workspace."""
    services = document.services.items()
    built = {service: build_service(service, item) for service, item in services}
    return Workspace(name, document.tenant, built)


def build_service(name: str, document: ServiceDocument) -> Service:
    """Return the typed form of a service."""
    return Service(
        name=name,
        entry_port=document.entry_port,
        placement=Placement(document.placement),
        imbalance_weight=document.imbalance_weight,
        targets=tuple(build_target(item) for item in document.targets),
    )


def build_target(document: TargetDocument) -> Target:
    """Return the typed form of a target."""
    return Target(
        name=document.name,
        address=document.address,
        data_centre=document.data_centre,
        leaving=document.state == "leaving",
        slots=document.slots,
        connections=document.connections,
    )
