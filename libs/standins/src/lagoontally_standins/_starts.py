"""How the processes of a deployment are started: arguments and settings files."""

import json
from pathlib import Path
from typing import NamedTuple

from ._children import ProcessRecord
from ._examples import example_settings
from ._fleet import (
    OPERATOR_PORT,
    PEER_PORT,
    TENANTS,
    Addresses,
    BalancerPlan,
    TenantPlan,
    UpstreamPlan,
)

STANDINS = "lagoontally_standins"
BALANCER = "lagoontally_daemon"


class Options(NamedTuple):
    """What a deployment consists of.

    Attributes:
        seed: Seed of the fabric's choices.
        balancers: Whether balancers are started.
        directory: Folder for settings, logs and ledgers, chosen when None.
        block: Second octet of its addresses if it is free, None for any.
        work_ms: Time that an upstream takes for a request.
        notify_ms: Interval between a line's notifications.
        cold_start_ms: How long after its start an upstream is slow.
        list_lag_s: Age of the platform's instance lists.
        tenants: The tenants and their fleets.
        start_limit_s: Time in which everything has to serve.
        change_limit_s: Time in which one more process has to serve, or to end.
        stop_limit_s: Time after which what hasn't ended is killed.
    """

    seed: int = 1
    balancers: bool = True
    directory: Path | None = None
    block: int | None = None
    work_ms: float = 20.0
    notify_ms: float = 1000.0
    cold_start_ms: float = 0.0
    list_lag_s: float = 2.0
    tenants: tuple[TenantPlan, ...] = TENANTS
    start_limit_s: float = 45.0
    change_limit_s: float = 15.0
    stop_limit_s: float = 30.0


class Start(NamedTuple):
    """One process to start.

    Attributes:
        record: Its record, without the process id.
        arguments: The module that it runs and the arguments.
    """

    record: ProcessRecord
    arguments: list[str]


def platform_start(addresses: Addresses) -> Start:
    """Return how to start the platform."""
    at = addresses.platform
    record = ProcessRecord("platform", "platform", "", "", 0, at, f"http://{at}")
    return Start(record, [STANDINS, "platform", "--address", at])


def fabric_start(addresses: Addresses, options: Options, directory: Path) -> Start:
    """Return how to start the fabric, with no balancers behind it yet."""
    entries = [
        {
            "workspace": tenant.workspace,
            "service": service.name,
            "port": service.entry_port,
        }
        for tenant in options.tenants
        for service in tenant.services
    ]
    settings = {
        "address": addresses.fabric,
        "control": addresses.fabric_control,
        "seed": options.seed,
        "entries": entries,
        "balancers": {},
    }
    file = write_settings(directory, "fabric", settings)
    control = f"http://{addresses.fabric_control}/control"
    record = ProcessRecord("fabric", "fabric", "", "", 0, addresses.fabric, control)
    return Start(record, [STANDINS, "fabric", file])


def upstream_start(plan: UpstreamPlan, options: Options, directory: Path) -> Start:
    """Return how to start an upstream."""
    settings = {
        "target": plan.name,
        "workspace": plan.workspace,
        "service": plan.service,
        "address": plan.address,
        "control": plan.control,
        "ledger_dir": str(ledger_dir(directory)),
        "work_ms": options.work_ms,
        "notify_ms": options.notify_ms,
        "cold_start_ms": options.cold_start_ms,
        "connections": plan.connections,
    }
    file = write_settings(directory, plan.name, settings)
    control = f"http://{plan.control}/control"
    place = (plan.data_centre, plan.tenant)
    record = ProcessRecord("upstream", plan.name, *place, 0, plan.address, control)
    return Start(record, [STANDINS, "upstream", file])


def balancer_start(plan: BalancerPlan, platform_url: str, directory: Path) -> Start:
    """Return how to start a balancer, with its tenant's example settings."""
    settings = example_settings(plan.tenant) | {
        "instance": plan.name,
        "tenant": plan.tenant,
        "workspace": plan.workspace,
        "data_centre": plan.data_centre,
        "address": plan.address,
        "peer_address": f"{plan.address}:{PEER_PORT}",
        "operator_address": f"{plan.address}:{OPERATOR_PORT}",
        "platform_url": platform_url,
    }
    file = write_settings(directory, plan.name, settings)
    place = (plan.data_centre, plan.tenant)
    record = ProcessRecord("balancer", plan.name, *place, 0, plan.address)
    return Start(record, [BALANCER, file])


def make_directories(directory: Path) -> None:
    """Make the folders of a deployment."""
    for name in ("settings", "logs", "ledgers"):
        (directory / name).mkdir(parents=True, exist_ok=True)


def ledger_dir(directory: Path) -> Path:
    """Return the folder of the upstreams' ledgers."""
    return directory / "ledgers"


def write_settings(directory: Path, name: str, settings: dict) -> str:
    """Write a settings file and return its path."""
    file = directory / "settings" / f"{name}.json"
    file.write_text(json.dumps(settings, indent=2))
    return str(file)


def instance_entry(plan: BalancerPlan, state: str) -> dict:
    """Return a balancer's entry in the platform's list."""
    return {
        "name": plan.name,
        "data_centre": plan.data_centre,
        "peer_address": f"{plan.address}:{PEER_PORT}",
        "state": state,
    }
