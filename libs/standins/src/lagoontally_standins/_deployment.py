"""A whole deployment on loopback, as separate processes."""

import copy
import json
import os
import signal
import socket
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random
from typing import NamedTuple

import requests

from ._children import Child, NotReadyError, ProcessRecord
from ._fleet import (
    OPERATOR_PORT,
    PEER_PORT,
    TENANTS,
    Addresses,
    BalancerPlan,
    TenantPlan,
    plan_balancer,
    plan_balancers,
    plan_upstreams,
    template_document,
    time_text,
)

STANDINS = "lagoontally_standins"
BALANCER = "lagoontally_daemon"
OUTPUT_DIR = Path(".out")
HTTP_WAIT_S = 10.0
# The second octets that a deployment chooses its addresses from.
FIRST_BLOCK, LAST_BLOCK = 16, 239
CLAIM_PORT = 8499
BLOCK_TRIES = 50
STARTS_AT_ONCE = 8


class Options(NamedTuple):
    """What a deployment consists of.

    Attributes:
        seed: Seed of the fabric's choices.
        balancers: Whether balancers are started.
        directory: Folder for settings, logs and ledgers, chosen when None.
        work_ms: Time that an upstream takes for a request.
        notify_ms: Interval between a line's notifications.
        cold_start_ms: How long after its start an upstream is slow.
        list_lag_s: Age of the platform's instance lists.
        tenants: The tenants and their fleets.
    """

    seed: int = 1
    balancers: bool = True
    directory: Path | None = None
    work_ms: float = 20.0
    notify_ms: float = 1000.0
    cold_start_ms: float = 0.0
    list_lag_s: float = 2.0
    tenants: tuple[TenantPlan, ...] = TENANTS


class Deployment:
    """Starts, changes and ends the processes of a deployment.

    Attributes:
        options: What it consists of.
        addresses: Its loopback addresses.
        directory: Folder of its settings and logs.
        ledgers: Folder of the upstreams' ledgers.
        document: The template document published last.
        records: The running processes by name.
        entry: Entry address of each ``workspace/service``.
        platform_url: Base URL of the platform.
        fabric_control: URL of the fabric's control.
    """

    def __init__(self, options: Options = Options()):  # noqa: B008
        self.options = options
        self.addresses, self.claim = claim_addresses(Random(os.getpid()))
        self.directory = options.directory or OUTPUT_DIR / f"deployment-{os.getpid()}"
        self.ledgers = self.directory / "ledgers"
        self.upstreams = plan_upstreams(self.addresses, options.tenants)
        self.balancers: dict[str, BalancerPlan] = {}
        self.document = template_document(self.upstreams, options.tenants)
        self.children: dict[str, Child] = {}
        self.records: dict[str, ProcessRecord] = {}
        self.pool = ThreadPoolExecutor(STARTS_AT_ONCE)
        self.platform_url = f"http://{self.addresses.platform}"
        self.fabric_control = f"http://{self.addresses.fabric_control}/control"
        self.entry = {
            f"{tenant.workspace}/{service.name}": (
                f"{self.addresses.fabric}:{service.entry_port}"
            )
            for tenant in options.tenants
            for service in tenant.services
        }

    def __enter__(self):
        """Start everything, and end it again when the start fails."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *error):
        self.stop()

    def start(self) -> None:
        """Start the stand-ins, publish the template, then start the balancers.

        Raises:
            NotReadyError: A process doesn't serve.
        """
        for name in ("settings", "logs", "ledgers"):
            (self.directory / name).mkdir(parents=True, exist_ok=True)
        self.start_all(self.standin_starts())
        if self.options.balancers:
            for plan in plan_balancers(self.addresses, self.options.tenants):
                self.balancers[plan.name] = plan
        self.put_json(f"{self.platform_url}/publish/template", self.document)
        self.announce()
        lag = {"lag_s": self.options.list_lag_s}
        self.put_json(f"{self.platform_url}/control", lag)
        self.start_all([self.balancer_start(p) for p in self.balancers.values()])

    def stop(self) -> None:
        """End every process, the balancers first."""
        order = ("balancer", "fabric", "upstream", "platform")
        for role in order:
            names = [name for name, r in self.records.items() if r.role == role]
            children = [self.children.pop(n) for n in names if n in self.children]
            for child in children:
                child.ask_to_end()
            for child in children:
                child.wait_end()
        for child in self.children.values():
            child.end()
        self.children.clear()
        self.records.clear()
        self.pool.shutdown()
        self.claim.close()

    def report(self) -> dict:
        """Return what ``up`` prints once the deployment serves."""
        return {
            "ready": True,
            "entry": self.entry,
            "platform": self.platform_url,
            "fabric_control": self.fabric_control,
            "ledgers": str(self.ledgers.resolve()),
            "processes": [record._asdict() for record in self.records.values()],
        }

    def publish(self, document: dict) -> None:
        """Publish a template document; the caller sets its version."""
        self.document = document
        self.put_json(f"{self.platform_url}/publish/template", document)

    def drain_upstream(self, service: str, target: str) -> int:
        """Publish a new version in which a target is leaving.

        Args:
            service: Name of the service.
            target: Name of the target.

        Returns:
            The new version.
        """
        document = copy.deepcopy(self.document)
        for workspace in document["workspaces"].values():
            for found in workspace["services"].get(service, {}).get("targets", ()):
                if found["name"] == target:
                    found["state"] = "leaving"
        document["version"] += 1
        document["published_at"] = time_text()
        self.publish(document)
        return document["version"]

    def set_upstream(self, name: str, change: dict) -> None:
        """Change an upstream over its control."""
        self.put_json(self.records[name].control, change)

    def set_fabric(self, change: dict) -> None:
        """Change the fabric's rules."""
        self.put_json(self.fabric_control, change)

    def set_platform(self, change: dict) -> None:
        """Change the platform's mode, lag or late readers."""
        self.put_json(f"{self.platform_url}/control", change)

    def replace_balancer(self, name: str) -> str:
        """Start a new balancer, then end an old one and remove it.

        Args:
            name: Name of the balancer to replace.

        Returns:
            Name of the new balancer.
        """
        new = self.add_balancer(self.balancers[name])
        self.remove_balancer(name)
        return new

    def add_balancer(self, like: BalancerPlan) -> str:
        """Start a balancer beside another and announce it.

        Args:
            like: Plan of a balancer of the same workspace and data centre.

        Returns:
            Name of the new balancer.
        """
        tenant = next(t for t in self.options.tenants if t.name == like.tenant)
        number = 1
        while f"{like.data_centre}-{number}" in self.children:
            number += 1
        plan = plan_balancer(self.addresses, tenant, like.data_centre, number)
        self.start_all([self.balancer_start(plan)])
        self.balancers[plan.name] = plan
        self.announce()
        return plan.name

    def remove_balancer(self, name: str) -> bool:
        """End a balancer as a planned leave and take it off the lists.

        Args:
            name: Name of the balancer.

        Returns:
            Whether it ended by itself.
        """
        self.announce(leaving=name)
        ended = self.children[name].end()
        self.forget_balancer(name)
        return ended

    def forget_balancer(self, name: str) -> None:
        """Take a balancer that has ended off the platform's and fabric's lists."""
        del self.balancers[name]
        self.announce()

    def kill(self, name: str) -> None:
        """Kill a process at once; the platform and the fabric aren't told."""
        child = self.children[name]
        child.process.kill()
        child.wait_end()

    def freeze(self, name: str) -> None:
        """Stop a process until it is woken."""
        self.children[name].signal(signal.SIGSTOP)

    def wake(self, name: str) -> None:
        """Let a frozen process go on."""
        self.children[name].signal(signal.SIGCONT)

    def announce(self, *, leaving: str = "") -> None:
        """Tell the platform and the fabric which balancers there are."""
        lists: dict[str, list] = {t.workspace: [] for t in self.options.tenants}
        for plan in self.balancers.values():
            state = "leaving" if plan.name == leaving else "live"
            lists[plan.workspace].append(instance_entry(plan, state))
        for workspace, instances in lists.items():
            url = f"{self.platform_url}/publish/instances?workspace={workspace}"
            self.put_json(url, {"instances": instances})
        ips: dict[str, list] = {t.workspace: [] for t in self.options.tenants}
        for plan in self.balancers.values():
            ips[plan.workspace].append(plan.address)
        self.set_fabric({"balancers": ips})

    def start_all(self, starts: list[tuple[ProcessRecord, list[str]]]) -> None:
        """Start processes at the same time and wait until all of them serve."""
        list(self.pool.map(self.start_one, starts))

    def start_one(self, start: tuple[ProcessRecord, list[str]]) -> None:
        """Start one process and wait until it serves."""
        record, arguments = start
        log = self.directory / "logs" / f"{record.name}.log"
        child = Child(record.name, arguments, log)
        self.children[record.name] = child
        with ThreadPoolExecutor(1) as reader:
            child.wait_ready(reader)
        self.records[record.name] = record._replace(pid=child.process.pid)

    def standin_starts(self) -> list[tuple[ProcessRecord, list[str]]]:
        """Return the records and arguments of all stand-ins."""
        at = self.addresses
        platform = ProcessRecord(
            "platform", "platform", "", "", 0, at.platform, self.platform_url
        )
        fabric = ProcessRecord(
            "fabric", "fabric", "", "", 0, at.fabric, self.fabric_control
        )
        fabric_file = self.write_settings("fabric", self.fabric_settings())
        starts = [
            (platform, [STANDINS, "platform", "--address", at.platform]),
            (fabric, [STANDINS, "fabric", fabric_file]),
        ]
        return starts + [self.upstream_start(plan) for plan in self.upstreams]

    def upstream_start(self, plan) -> tuple[ProcessRecord, list[str]]:
        """Return the record and the arguments of an upstream."""
        settings = {
            "target": plan.name,
            "workspace": plan.workspace,
            "service": plan.service,
            "address": plan.address,
            "control": plan.control,
            "ledger_dir": str(self.ledgers),
            "work_ms": self.options.work_ms,
            "notify_ms": self.options.notify_ms,
            "cold_start_ms": self.options.cold_start_ms,
            "connections": plan.connections,
        }
        file = self.write_settings(plan.name, settings)
        control = f"http://{plan.control}/control"
        place = (plan.data_centre, plan.tenant)
        record = ProcessRecord("upstream", plan.name, *place, 0, plan.address, control)
        return record, [STANDINS, "upstream", file]

    def balancer_start(self, plan: BalancerPlan) -> tuple[ProcessRecord, list[str]]:
        """Return the record and the arguments of a balancer."""
        settings = {
            "instance": plan.name,
            "tenant": plan.tenant,
            "workspace": plan.workspace,
            "data_centre": plan.data_centre,
            "address": plan.address,
            "peer_address": f"{plan.address}:{PEER_PORT}",
            "operator_address": f"{plan.address}:{OPERATOR_PORT}",
            "platform_url": self.platform_url,
            "statsd_address": None,
            "log": {"level": "INFO", "format": "text"},
        }
        file = self.write_settings(plan.name, settings)
        place = (plan.data_centre, plan.tenant)
        record = ProcessRecord("balancer", plan.name, *place, 0, plan.address)
        return record, [BALANCER, file]

    def fabric_settings(self) -> dict:
        """Return the settings of the fabric."""
        entries = [
            {
                "workspace": tenant.workspace,
                "service": service.name,
                "port": service.entry_port,
            }
            for tenant in self.options.tenants
            for service in tenant.services
        ]
        return {
            "address": self.addresses.fabric,
            "control": self.addresses.fabric_control,
            "seed": self.options.seed,
            "entries": entries,
            "balancers": {},
        }

    def write_settings(self, name: str, settings: dict) -> str:
        """Write a settings file and return its path."""
        file = self.directory / "settings" / f"{name}.json"
        file.write_text(json.dumps(settings, indent=2))
        return str(file)

    def put_json(self, url: str, value: dict) -> None:
        """Send a value to a control or a publishing path."""
        requests.put(url, json=value, timeout=HTTP_WAIT_S).raise_for_status()


def instance_entry(plan: BalancerPlan, state: str) -> dict:
    """Return a balancer's entry in the platform's list."""
    return {
        "name": plan.name,
        "data_centre": plan.data_centre,
        "peer_address": f"{plan.address}:{PEER_PORT}",
        "state": state,
    }


def claim_addresses(random: Random) -> tuple[Addresses, socket.socket]:
    """Choose a block of loopback addresses that no other deployment uses.

    Args:
        random: Source of the choice.

    Returns:
        The addresses, and the socket that keeps them claimed until it is closed.

    Raises:
        NotReadyError: Every block that was tried is in use.
    """
    for _ in range(BLOCK_TRIES):
        block = random.randint(FIRST_BLOCK, LAST_BLOCK)
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((f"127.{block}.0.1", CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return Addresses(block), claim
    raise NotReadyError("no free block of loopback addresses")
