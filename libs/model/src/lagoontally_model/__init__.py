"""Templates and settings: typed data and validation."""

from ._findings import Finding, Findings
from ._parse_settings import parse_settings
from ._parse_template import parse_template
from ._sections import digest, document_digest, join_sections, split_sections
from ._settings import LogSettings, Settings, Timing
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
    "LogSettings",
    "Placement",
    "RetiredAddress",
    "Service",
    "Settings",
    "Target",
    "Template",
    "Timing",
    "Workspace",
    "digest",
    "document_digest",
    "join_sections",
    "parse_settings",
    "parse_template",
    "split_sections",
]
