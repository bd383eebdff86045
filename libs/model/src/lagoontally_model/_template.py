"""The typed form of a published template."""

from enum import StrEnum
from typing import NamedTuple

DEFAULT_QUARANTINE_S = 600


class Placement(StrEnum):
    """How long a choice of target lasts for idempotent requests and commands."""

    FLOW = "flow"
    REQUEST = "request"


class Target(NamedTuple):
    """One upstream process that serves requests.

    Attributes:
        name: Name of the target, unique within its service.
        address: ``IP:port`` of its UDP socket.
        data_centre: Data centre that it runs in.
        leaving: True once the target must get no new work.
        slots: Requests that it runs at the same time.
        connections: Open lines that it holds at most.
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
        entry_port: UDP port at which every balancer takes its callers' packets.
        placement: Whether a flow keeps its target or each request chooses one.
        imbalance_weight: How much imbalance counts against broken flows, 0 to 1.
        targets: The targets behind the service.
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
    """An address that left a workspace and is kept from the others for a while.

    Attributes:
        address: ``IP:port`` of the former target.
        workspace: The workspace that it served last.
        retired_at: When it left, in ISO 8601 with a time zone.
    """

    address: str
    workspace: str
    retired_at: str


class Template(NamedTuple):
    """A whole filled-in template, as it was accepted.

    Attributes:
        version: Version of the document; it only rises.
        published_at: When it was filled in, in ISO 8601 with a time zone.
        quarantine_s: How long a retired address is kept from other workspaces.
        workspaces: The workspaces by name.
        retired: Addresses in quarantine.
    """

    version: int
    published_at: str
    quarantine_s: int
    workspaces: dict[str, Workspace]
    retired: tuple[RetiredAddress, ...] = ()
