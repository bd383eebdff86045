"""Templates and settings: typed data and validation."""

from ._findings import Finding, Findings
from ._template import (
    DEFAULT_QUARANTINE_S,
    Placement,
    RetiredAddress,
    Service,
    Target,
    Template,
    Workspace,
)

__all__ = [
    "DEFAULT_QUARANTINE_S",
    "Finding",
    "Findings",
    "Placement",
    "RetiredAddress",
    "Service",
    "Target",
    "Template",
    "Workspace",
]
