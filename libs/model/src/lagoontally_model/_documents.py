"""The structure of the JSON documents.

These types are the one source of the structure: documents are converted by
them, and the committed JSON Schemas are generated from them. They are msgspec
structs because a ``TypedDict`` can't forbid unknown fields.
"""

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

from . import _settings as timing
from ._template import DEFAULT_QUARANTINE_S

MAX_VERSION = 2**32 - 1
MAX_SECONDS = 2**32 - 1
MAX_MILLISECONDS = 2**32 - 1
MAX_PORT = 65535
# The lookahead rejects a trailing line feed, which ``$`` alone lets pass.
NAME_PATTERN = r"^[a-z0-9-]{1,63}$(?!\n)"

Name = Annotated[
    str,
    Meta(pattern=NAME_PATTERN, description="a name of 1 to 63 characters of a-z 0-9 -"),
]
Port = Annotated[int, Meta(ge=1, le=MAX_PORT, description="a port from 1 to 65535")]
Version = Annotated[
    int,
    Meta(ge=1, le=MAX_VERSION, description="a positive integer below 2**32"),
]
Weight = Annotated[float, Meta(ge=0, le=1, description="a number from 0 to 1")]
Amount = Annotated[int, Meta(ge=1, description="an integer of at least 1")]
Seconds = Annotated[
    int,
    Meta(ge=0, le=MAX_SECONDS, description="a whole number of seconds"),
]
Milliseconds = Annotated[
    int,
    Meta(ge=1, le=MAX_MILLISECONDS, description="milliseconds, an integer from 1"),
]
Address = Annotated[str, Meta(description="IP:port in numbers")]
Number = Annotated[str, Meta(description="an IPv4 address in numbers")]
Time = Annotated[str, Meta(description="an ISO 8601 time with a time zone")]
Url = Annotated[str, Meta(description="an http URL with an IPv4 number as its host")]


class TargetDocument(Struct, forbid_unknown_fields=True):
    """A target of a service."""

    name: Name
    address: Address
    data_centre: Name
    state: Literal["active", "leaving"] = "active"
    slots: Amount = 2
    connections: Amount = 4000


class ServiceDocument(Struct, forbid_unknown_fields=True):
    """A service of a workspace."""

    entry_port: Port
    placement: Literal["flow", "request"]
    imbalance_weight: Weight
    targets: list[TargetDocument]


class WorkspaceDocument(Struct, forbid_unknown_fields=True):
    """The services of one tenant that are published together."""

    tenant: Name
    services: dict[Name, ServiceDocument]


class RetiredDocument(Struct, forbid_unknown_fields=True):
    """An address that left a workspace."""

    address: Address
    workspace: Name
    retired_at: Time


class TemplateDocument(Struct, forbid_unknown_fields=True):
    """A filled-in template."""

    format: Literal[1]
    version: Version
    published_at: Time
    workspaces: dict[Name, WorkspaceDocument]
    quarantine_s: Seconds = DEFAULT_QUARANTINE_S
    retired: list[RetiredDocument] = field(default_factory=list)


class LogDocument(Struct, forbid_unknown_fields=True):
    """How a balancer logs."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"] = "INFO"
    format: Literal["text", "json"] = "text"


class TimingDocument(Struct, forbid_unknown_fields=True):
    """Intervals and timeouts of a balancer."""

    echo_life_ms: Milliseconds = timing.ECHO_LIFE_MS
    remember_ms: Milliseconds = timing.REMEMBER_MS
    request_timeout_ms: Milliseconds = timing.REQUEST_TIMEOUT_MS
    line_lease_ms: Milliseconds = timing.LINE_LEASE_MS
    line_refresh_ms: Milliseconds = timing.LINE_REFRESH_MS
    ping_interval_ms: Milliseconds = timing.PING_INTERVAL_MS
    ping_timeout_ms: Milliseconds = timing.PING_TIMEOUT_MS
    suspicion_ms: Milliseconds = timing.SUSPICION_MS
    handover_timeout_ms: Milliseconds = timing.HANDOVER_TIMEOUT_MS
    drain_ms: Milliseconds = timing.DRAIN_MS


class SettingsDocument(Struct, forbid_unknown_fields=True):
    """The settings of a balancer."""

    instance: Name
    tenant: Name
    workspace: Name
    data_centre: Name
    address: Number
    peer_address: Address
    operator_address: Address
    platform_url: Url
    statsd_address: Address | None = None
    seeds: list[Address] = field(default_factory=list)
    log: LogDocument = field(default_factory=LogDocument)
    timing: TimingDocument = field(default_factory=TimingDocument)


class ParameterDocument(Struct, forbid_unknown_fields=True):
    """A parameter of a workspace template; without a default it must be given."""

    type: Literal["string", "integer", "number", "boolean"]
    description: str
    default: str | int | float | bool | None = None
    unit: str | None = None


class SourceDocument(Struct, forbid_unknown_fields=True):
    """A workspace template: parameters, and a document with their placeholders."""

    parameters: dict[str, ParameterDocument]
    document: dict[str, Any]
