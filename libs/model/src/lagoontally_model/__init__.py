"""Templates and settings: typed data and validation."""

from ._addresses import is_address
from ._changes import (
    Changes,
    MovedAddress,
    QuarantinedAddress,
    ServiceChanges,
    VersionOrder,
    compare_templates,
    transition_findings,
)
from ._findings import Finding, Findings
from ._parse_settings import parse_settings
from ._parse_template import parse_template
from ._render import render_template
from ._sections import digest, document_digest, join_sections, split_sections
from ._settings import REMEMBER_MARGIN_MS, LogSettings, Settings, Timing
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
    "REMEMBER_MARGIN_MS",
    "Changes",
    "DEFAULT_QUARANTINE_S",
    "Finding",
    "Findings",
    "LogSettings",
    "MovedAddress",
    "Placement",
    "QuarantinedAddress",
    "RetiredAddress",
    "Service",
    "ServiceChanges",
    "Settings",
    "Target",
    "Template",
    "Timing",
    "VersionOrder",
    "Workspace",
    "compare_templates",
    "digest",
    "document_digest",
    "is_address",
    "join_sections",
    "parse_settings",
    "parse_template",
    "render_template",
    "split_sections",
    "transition_findings",
]
