"""Sizes of the two tenants' fleets, their addresses and their template."""

from datetime import UTC, datetime
from typing import NamedTuple

PLATFORM_PORT = 8500
FABRIC_CONTROL_PORT = 8501
UPSTREAM_PORT = 7001
UPSTREAM_CONTROL_PORT = 7101
PEER_PORT = 7946
OPERATOR_PORT = 7947
QUARANTINE_S = 600
BALANCERS_A_DATA_CENTRE = 3
# Third octets of the addresses: balancers and upstreams of each data centre.
BALANCER_OCTET = 10
UPSTREAM_OCTET = 50


class ServicePlan(NamedTuple):
    """One service and the number of its targets.

    Attributes:
        name: Name of the service.
        entry_port: UDP port of its entry address.
        placement: How long a choice of target lasts.
        targets: Number of targets.
        connections: Lines that each target holds at most.
    """

    name: str
    entry_port: int
    placement: str
    targets: int
    connections: int


class TenantPlan(NamedTuple):
    """One tenant, its workspace and its fleet.

    Attributes:
        name: Name of the tenant.
        workspace: Name of its workspace.
        data_centres: Data centres of its upstreams.
        balancer_data_centres: Data centres of its balancers.
        imbalance_weight: How much imbalance counts against broken flows.
        services: Services of the workspace.
        balancers: Balancers in each of its data centres.
    """

    name: str
    workspace: str
    data_centres: tuple[str, ...]
    balancer_data_centres: tuple[str, ...]
    imbalance_weight: float
    services: tuple[ServicePlan, ...]
    balancers: int = BALANCERS_A_DATA_CENTRE


class UpstreamPlan(NamedTuple):
    """One upstream: its name, service, place and addresses."""

    name: str
    workspace: str
    service: str
    tenant: str
    data_centre: str
    address: str
    control: str
    connections: int


class BalancerPlan(NamedTuple):
    """One balancer: its name, workspace, place and IP address."""

    name: str
    workspace: str
    tenant: str
    data_centre: str
    address: str


IRRIGATION = TenantPlan(
    name="irrigation",
    workspace="pivot-command-relay",
    data_centres=("tifton", "moultrie", "camilla"),
    balancer_data_centres=("tifton", "moultrie"),
    imbalance_weight=0.3,
    services=(
        ServicePlan("pivot-link", 5701, "flow", 7, 4300),
        ServicePlan("usage-ledger", 5702, "flow", 3, 4300),
    ),
)
FRANCHISE = TenantPlan(
    name="franchise",
    workspace="dossier-hub-balancing",
    data_centres=("kgn-a", "kgn-b", "kgn-c", "kgn-d"),
    balancer_data_centres=("kgn-a", "kgn-b"),
    imbalance_weight=0.7,
    services=(
        ServicePlan("dossier-desk", 5711, "request", 7, 4000),
        ServicePlan("pack-vault", 5712, "request", 4, 4000),
    ),
)
TENANTS = (IRRIGATION, FRANCHISE)
DATA_CENTRES = IRRIGATION.data_centres + FRANCHISE.data_centres


class Addresses(NamedTuple):
    """The loopback addresses of one deployment.

    Attributes:
        block: Second octet of every address, the deployment's own.
    """

    block: int

    @property
    def platform(self) -> str:
        """``IP:port`` of the platform."""
        return f"127.{self.block}.0.2:{PLATFORM_PORT}"

    @property
    def fabric(self) -> str:
        """IP address of the fabric and of the entry addresses."""
        return f"127.{self.block}.1.1"

    @property
    def fabric_control(self) -> str:
        """``IP:port`` of the fabric's control."""
        return f"{self.fabric}:{FABRIC_CONTROL_PORT}"

    def balancer(self, data_centre: str, number: int) -> str:
        """Return the IP address of a balancer, numbered from 1."""
        place = BALANCER_OCTET + DATA_CENTRES.index(data_centre)
        return f"127.{self.block}.{place}.{number}"

    def upstream(self, data_centre: str, number: int) -> str:
        """Return the IP address of an upstream, numbered from 1."""
        place = UPSTREAM_OCTET + DATA_CENTRES.index(data_centre)
        return f"127.{self.block}.{place}.{number}"


def plan_upstreams(
    addresses: Addresses, tenants: tuple[TenantPlan, ...] = TENANTS
) -> list[UpstreamPlan]:
    """Return every upstream, spread over its tenant's data centres in turn."""
    plans = []
    for tenant in tenants:
        for service in tenant.services:
            for index in range(service.targets):
                number = 1 + len(plans)
                plans.append(_upstream(addresses, tenant, service, index, number))
    return plans


def plan_balancer(
    addresses: Addresses, tenant: TenantPlan, data_centre: str, number: int
) -> BalancerPlan:
    """Return the balancer with a number, counted from 1, of a data centre."""
    name = f"{data_centre}-{number}"
    address = addresses.balancer(data_centre, number)
    return BalancerPlan(name, tenant.workspace, tenant.name, data_centre, address)


def plan_balancers(
    addresses: Addresses, tenants: tuple[TenantPlan, ...] = TENANTS
) -> list[BalancerPlan]:
    """Return the balancers that a deployment starts with."""
    return [
        plan_balancer(addresses, tenant, data_centre, number)
        for tenant in tenants
        for data_centre in tenant.balancer_data_centres
        for number in range(1, 1 + tenant.balancers)
    ]


def template_document(
    upstreams: list[UpstreamPlan], tenants: tuple[TenantPlan, ...] = TENANTS
) -> dict:
    """Return the first version of the template document for upstreams."""
    return {
        "format": 1,
        "version": 1,
        "published_at": time_text(),
        "quarantine_s": QUARANTINE_S,
        "workspaces": {
            tenant.workspace: _workspace(tenant, upstreams) for tenant in tenants
        },
        "retired": [],
    }


def time_text() -> str:
    """Return the present time in ISO 8601, in UTC."""
    return datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def _upstream(addresses, tenant, service, index, number):
    data_centre = tenant.data_centres[index % len(tenant.data_centres)]
    ip = addresses.upstream(data_centre, number)
    return UpstreamPlan(
        name=f"{service.name}-{index + 1}",
        workspace=tenant.workspace,
        service=service.name,
        tenant=tenant.name,
        data_centre=data_centre,
        address=f"{ip}:{UPSTREAM_PORT}",
        control=f"{ip}:{UPSTREAM_CONTROL_PORT}",
        connections=service.connections,
    )


def _workspace(tenant, upstreams):
    services = {
        service.name: {
            "entry_port": service.entry_port,
            "placement": service.placement,
            "imbalance_weight": tenant.imbalance_weight,
            "targets": [
                _target(plan) for plan in upstreams if plan.service == service.name
            ],
        }
        for service in tenant.services
    }
    return {"tenant": tenant.name, "services": services}


def _target(plan):
    return {
        "name": plan.name,
        "address": plan.address,
        "data_centre": plan.data_centre,
        "state": "active",
        "slots": 2,
        "connections": plan.connections,
    }
