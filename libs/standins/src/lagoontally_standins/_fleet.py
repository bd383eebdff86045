"""Sizes of the two tenants' fleets, their addresses and their template.

Targets, ports and sizes come from the example template.
"""

from datetime import UTC, datetime
from typing import NamedTuple

from ._examples import example_template

PLATFORM_PORT = 8500
FABRIC_CONTROL_PORT = 8501
UPSTREAM_PORT = 7001
UPSTREAM_CONTROL_PORT = 7101
PEER_PORT = 7946
OPERATOR_PORT = 7947
FIRST_VERSION = 1
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
        services: Services of the workspace.
        balancers: Balancers in each of its data centres.
    """

    name: str
    workspace: str
    data_centres: tuple[str, ...]
    balancer_data_centres: tuple[str, ...]
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


def tenant_plan(
    document: dict, workspace: str, *, balancer_data_centres: tuple[str, ...]
) -> TenantPlan:
    """Return the plan of a tenant's fleet.

    Args:
        document: The template document that names its targets.
        workspace: Name of its workspace.
        balancer_data_centres: Data centres that its balancers run in.
    """
    fields = document["workspaces"][workspace]
    services = fields["services"]
    places = (
        target["data_centre"]
        for service in services.values()
        for target in service["targets"]
    )
    return TenantPlan(
        name=fields["tenant"],
        workspace=workspace,
        data_centres=tuple(dict.fromkeys(places)),
        balancer_data_centres=balancer_data_centres,
        services=tuple(_service_plan(*item) for item in services.items()),
    )


def _service_plan(name, fields):
    targets = fields["targets"]
    return ServicePlan(
        name=name,
        entry_port=fields["entry_port"],
        placement=fields["placement"],
        targets=len(targets),
        connections=targets[0]["connections"],
    )


def time_text() -> str:
    """Return the present time in ISO 8601, in UTC."""
    return datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


_EXAMPLE = example_template(version=FIRST_VERSION, published_at=time_text())
IRRIGATION = tenant_plan(
    _EXAMPLE, "pivot-command-relay", balancer_data_centres=("tifton", "moultrie")
)
FRANCHISE = tenant_plan(
    _EXAMPLE, "dossier-hub-balancing", balancer_data_centres=("kgn-a", "kgn-b")
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
    """Return the example template with a deployment's own targets and addresses.

    Args:
        upstreams: The upstreams that the deployment has.
        tenants: Its tenants; workspaces and services of others are left out.

    Returns:
        The first version of the document.
    """
    document = example_template(version=FIRST_VERSION, published_at=time_text())
    addresses = {(plan.service, plan.name): plan.address for plan in upstreams}
    examples = document["workspaces"]
    document["workspaces"] = {
        tenant.workspace: _workspace(examples[tenant.workspace], tenant, addresses)
        for tenant in tenants
    }
    return document


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


def _workspace(example, tenant, addresses):
    services = {
        plan.name: _service(plan.name, example["services"][plan.name], addresses)
        for plan in tenant.services
    }
    return example | {"services": services}


def _service(name, example, addresses):
    targets = [
        target | {"address": addresses[name, target["name"]]}
        for target in example["targets"]
        if (name, target["name"]) in addresses
    ]
    return example | {"targets": targets}
