"""Stand-ins for the outside systems, with the load tool."""

from ._audit import read_ledgers
from ._children import NotReadyError, ProcessRecord
from ._content import resource_body, resource_etag
from ._deployment import Deployment
from ._fabric import Entry, Fabric, FabricSettings, serve_fabric_control
from ._fabric_rules import (
    Delivery,
    FabricRules,
    changed_rules,
    to_balancers,
    to_caller,
)
from ._fleet import FRANCHISE, IRRIGATION, TENANTS, template_document
from ._operator import ask_balancer
from ._platform import Platform, PlatformMode, serve_platform
from ._starts import Options
from ._upstream import Upstream
from ._upstream_process import UpstreamProcess, serve_upstream_control
from ._upstream_types import Outgoing, UpstreamMode, UpstreamSettings

__all__ = [
    "FRANCHISE",
    "IRRIGATION",
    "TENANTS",
    "Delivery",
    "Deployment",
    "Entry",
    "Fabric",
    "FabricRules",
    "FabricSettings",
    "NotReadyError",
    "Options",
    "Outgoing",
    "Platform",
    "PlatformMode",
    "ProcessRecord",
    "Upstream",
    "UpstreamMode",
    "UpstreamProcess",
    "UpstreamSettings",
    "ask_balancer",
    "changed_rules",
    "read_ledgers",
    "resource_body",
    "resource_etag",
    "serve_fabric_control",
    "serve_platform",
    "serve_upstream_control",
    "template_document",
    "to_balancers",
    "to_caller",
]
