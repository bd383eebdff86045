"""Structure of the JSON documents.

These types are the single source of the structure: documents are decoded into
them, and the committed JSON Schemas are generated from them. They are msgspec
structs because a ``TypedDict`` can't forbid unknown fields.
"""

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

from . import _settings as defaults
from ._template import DEFAULT_QUARANTINE_S

MAX_VERSION = 2**32 - 1
MAX_SECONDS = 2**32 - 1
MAX_MILLISECONDS = 2**32 - 1
MAX_PORT = 65535
# ``$`` alone also matches before a trailing line feed; the lookahead rejects one.
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
PositiveInt = Annotated[int, Meta(ge=1, description="an integer of at least 1")]
Seconds = Annotated[
    int,
    Meta(ge=0, le=MAX_SECONDS, description="a whole number of seconds"),
]
Milliseconds = Annotated[
    int,
    Meta(ge=1, le=MAX_MILLISECONDS, description="milliseconds, an integer from 1"),
]
SocketAddress = Annotated[str, Meta(description="IP:port in numbers")]
HostAddress = Annotated[str, Meta(description="an IPv4 address in numbers")]
Timestamp = Annotated[str, Meta(description="an ISO 8601 time with a time zone")]
Url = Annotated[str, Meta(description="an http URL with an IPv4 number as its host")]


class TargetDocument(Struct, forbid_unknown_fields=True):
    """A target of a service."""

    name: Name
    address: SocketAddress
    data_centre: Name
    state: Literal["active", "leaving"] = "active"
    slots: PositiveInt = 2
    connections: PositiveInt = 4000


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

    address: SocketAddress
    workspace: Name
    retired_at: Timestamp


class TemplateDocument(Struct, forbid_unknown_fields=True):
    """A filled-in template."""

    format: Literal[1]
    version: Version
    published_at: Timestamp
    workspaces: dict[Name, WorkspaceDocument]
    quarantine_s: Seconds = DEFAULT_QUARANTINE_S
    retired: list[RetiredDocument] = field(default_factory=list)


class LogDocument(Struct, forbid_unknown_fields=True):
    """How a balancer logs."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"] = "INFO"
    format: Literal["text", "json"] = "text"


class TimingDocument(Struct, forbid_unknown_fields=True):
    """Intervals and timeouts of a balancer."""

    echo_life_ms: Milliseconds = defaults.ECHO_LIFE_MS
    remember_ms: Milliseconds = defaults.REMEMBER_MS
    request_timeout_ms: Milliseconds = defaults.REQUEST_TIMEOUT_MS
    line_lease_ms: Milliseconds = defaults.LINE_LEASE_MS
    line_refresh_ms: Milliseconds = defaults.LINE_REFRESH_MS
    ping_interval_ms: Milliseconds = defaults.PING_INTERVAL_MS
    ping_timeout_ms: Milliseconds = defaults.PING_TIMEOUT_MS
    suspicion_ms: Milliseconds = defaults.SUSPICION_MS
    handover_timeout_ms: Milliseconds = defaults.HANDOVER_TIMEOUT_MS
    drain_ms: Milliseconds = defaults.DRAIN_MS


class SettingsDocument(Struct, forbid_unknown_fields=True):
    """The settings of a balancer."""

    instance: Name
    tenant: Name
    workspace: Name
    data_centre: Name
    address: HostAddress
    peer_address: SocketAddress
    operator_address: SocketAddress
    platform_url: Url
    statsd_address: SocketAddress | None = None
    seeds: list[SocketAddress] = field(default_factory=list)
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
