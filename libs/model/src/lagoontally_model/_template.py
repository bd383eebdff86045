"""The typed form of a published template."""

from enum import StrEnum
from typing import NamedTuple

DEFAULT_QUARANTINE_S = 600


class Placement(StrEnum):
    """How long idempotent requests and commands keep a selected target."""

    FLOW = "flow"
    REQUEST = "request"


class Target(NamedTuple):
    """One upstream process that serves requests.

    Attributes:
        name: Name of the target, unique within its service.
        address: ``IP:port`` of its UDP socket.
        data_centre: Data centre that it runs in.
        leaving: Whether the target gets no new work.
        slots: Maximum number of requests that it runs at the same time.
        connections: Maximum number of its open lines.
    """

    name: str
    address: str
    data_centre: str
    leaving: bool = False
    slots: int = 2
    connections: int = 4000


class Service(NamedTuple):
    """One service of a workspace.

    Attributes:
        name: Name of the service, unique within its workspace.
        entry_port: UDP port at which every balancer receives its callers' packets.
        placement: Whether a target is selected for each flow or each request.
        imbalance_weight: Cost of imbalance relative to broken flows, 0 to 1.
        targets: Targets of the service.
    """

    name: str
    entry_port: int
    placement: Placement
    imbalance_weight: float
    targets: tuple[Target, ...]


class Workspace(NamedTuple):
    """The services of one tenant that are published together.

    Attributes:
        name: Name of the workspace.
        tenant: Tenant that owns it.
        services: The services by name.
    """

    name: str
    tenant: str
    services: dict[str, Service]


class RetiredAddress(NamedTuple):
    """An address that left a workspace and that others can't use in quarantine.

    Attributes:
        address: ``IP:port`` of the former target.
        workspace: The workspace that it served last.
        retired_at: When it left, in ISO 8601 with a time zone.
    """

    address: str
    workspace: str
    retired_at: str


class Template(NamedTuple):
    """An accepted template.

    Attributes:
        version: Version of the document, which rises with each publication.
        published_at: When it was rendered, in ISO 8601 with a time zone.
        quarantine_s: How long other workspaces can't use a retired address.
        workspaces: The workspaces by name.
        retired: Addresses that left a workspace.
    """

    version: int
    published_at: str
    quarantine_s: int
    workspaces: dict[str, Workspace]
    retired: tuple[RetiredAddress, ...] = ()
