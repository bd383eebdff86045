"""A whole deployment on loopback, as separate processes."""

import copy
import os
import signal
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor, wait
from pathlib import Path
from random import Random

import requests

from ._addresses import claim_addresses
from ._children import EXIT_WAIT_S, Child, ProcessRecord
from ._fleet import (
    BalancerPlan,
    plan_balancer,
    plan_balancers,
    plan_upstreams,
    template_document,
    time_text,
)
from ._starts import (
    Options,
    Start,
    balancer_start,
    fabric_start,
    instance_entry,
    ledger_dir,
    make_directories,
    platform_start,
    upstream_start,
)

OUTPUT_DIR = Path(".out")
HTTP_WAIT_S = 10.0
SHORTEST_WAIT_S = 0.1
STARTS_AT_ONCE = 8
# How long the fabric still sends to a balancer that has begun to leave. It has
# to stop before the balancer does, which stays for 1 s after its succession.
WITHDRAW_S = 0.3
STOP_ORDER = ("balancer", "fabric", "upstream", "platform")


class Deployment:
    """Starts, changes and ends the processes of a deployment.

    Attributes:
        options: What it consists of.
        addresses: Its loopback addresses.
        directory: Folder of its settings and logs.
        ledgers: Folder of the upstreams' ledgers.
        document: The template document published last.
        records: The running processes by name.
        withdrawn: Names of the balancers that the fabric sends nothing to.
        entry: Entry address of each ``workspace/service``.
        platform_url: Base URL of the platform.
        fabric_control: URL of the fabric's control.
    """

    def __init__(self, options: Options = Options()):  # noqa: B008
        self.options = options
        self.addresses, self.claim = claim_addresses(Random(os.getpid()), options.block)
        self.directory = options.directory or new_directory()
        self.ledgers = ledger_dir(self.directory)
        self.upstreams = plan_upstreams(self.addresses, options.tenants)
        self.balancers: dict[str, BalancerPlan] = {}
        self.document = template_document(self.upstreams, options.tenants)
        self.children: dict[str, Child] = {}
        self.records: dict[str, ProcessRecord] = {}
        self.withdrawn: set[str] = set()
        self.start_due_s = 0.0
        self.stop_due_s = 0.0
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
        self.start_due_s = time.monotonic() + self.options.start_limit_s
        make_directories(self.directory)
        self.start_all(
            [
                platform_start(self.addresses),
                fabric_start(self.addresses, self.options, self.directory),
                *(
                    upstream_start(plan, self.options, self.directory)
                    for plan in self.upstreams
                ),
            ]
        )
        if self.options.balancers:
            for plan in plan_balancers(self.addresses, self.options.tenants):
                self.balancers[plan.name] = plan
        self.put_json(f"{self.platform_url}/publish/template", self.document)
        self.announce()
        lag = {"lag_s": self.options.list_lag_s}
        self.put_json(f"{self.platform_url}/control", lag)
        self.start_all([self.balancer_start(p) for p in self.balancers.values()])

    def stop(self) -> list[str]:
        """End every process, the balancers first.

        Returns:
            Names of the processes that had to be killed.
        """
        self.stop_due_s = time.monotonic() + self.options.stop_limit_s
        killed = []
        for role in STOP_ORDER:
            names = [name for name, r in self.records.items() if r.role == role]
            killed += self.end_all(names)
        killed += self.end_all(list(self.children))
        self.records.clear()
        self.pool.shutdown()
        self.claim.close()
        return killed

    def end_all(self, names: list[str]) -> list[str]:
        """End processes at the same time.

        Args:
            names: Names of the processes.

        Returns:
            Names of those that had to be killed.
        """
        children = [self.children.pop(name) for name in names]
        for child in children:
            child.ask_to_end()
        return [c.name for c in children if not c.wait_end(self.stop_wait_s())]

    def stop_wait_s(self) -> float:
        """Return how long a process that is to end may still take."""
        left_s = self.stop_due_s - time.monotonic()
        return min(EXIT_WAIT_S, max(left_s, SHORTEST_WAIT_S))

    def report(self) -> dict:
        """Return what ``up`` prints once the deployment serves."""
        return {
            "ready": True,
            "entry": self.entry,
            "platform": self.platform_url,
            "fabric_control": self.fabric_control,
            "ledgers": str(self.ledgers.resolve()),
            "processes": [record._asdict() for record in self.sorted_records()],
        }

    def sorted_records(self) -> list[ProcessRecord]:
        """Return the running processes by role and name."""
        return sorted(self.records.values(), key=lambda r: (r.role, r.name))

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

        Raises:
            KeyError: There is no such target.
        """
        document = copy.deepcopy(self.document)
        find_target(document, service, target)["state"] = "leaving"
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
        self.start_later(self.balancer_start(plan))
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
        self.children[name].ask_to_end()
        time.sleep(WITHDRAW_S)
        self.withdraw(name)
        ended = self.children[name].wait_end(self.options.change_limit_s)
        self.forget_balancer(name)
        return ended

    def forget_balancer(self, name: str) -> None:
        """Take a balancer that has ended off the platform's and fabric's lists."""
        del self.balancers[name]
        self.records.pop(name, None)
        self.withdrawn.discard(name)
        self.announce()

    def withdraw(self, name: str) -> None:
        """Let the fabric send nothing more to a balancer."""
        self.withdrawn.add(name)
        self.announce_fabric()

    def readmit(self, name: str) -> None:
        """Let the fabric send to a balancer again."""
        self.withdrawn.discard(name)
        self.announce_fabric()

    def kill(self, name: str) -> None:
        """Kill a process at once; the platform and the fabric aren't told."""
        child = self.children[name]
        child.process.kill()
        child.wait_end()
        self.records.pop(name, None)

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
        self.announce_fabric()

    def announce_fabric(self) -> None:
        """Tell the fabric which balancers it may send to."""
        ips: dict[str, list] = {t.workspace: [] for t in self.options.tenants}
        for plan in self.balancers.values():
            if plan.name in self.withdrawn:
                continue
            ips[plan.workspace].append(plan.address)
        self.set_fabric({"balancers": ips})

    def balancer_start(self, plan: BalancerPlan) -> Start:
        """Return how to start a balancer."""
        return balancer_start(plan, self.platform_url, self.directory)

    def start_later(self, start: Start) -> None:
        """Start one more process and wait until it serves."""
        self.start_due_s = time.monotonic() + self.options.change_limit_s
        self.start_all([start])

    def start_all(self, starts: list[Start]) -> None:
        """Start processes at the same time and wait until all of them serve."""
        started = [self.pool.submit(self.start_one, start) for start in starts]
        # Waits for all, also after a failure, so that none starts unseen later.
        wait(started)
        for one in started:
            one.result()

    def start_one(self, start: Start) -> None:
        """Start one process and wait until it serves."""
        record = start.record
        log = self.directory / "logs" / f"{record.name}.log"
        child = Child(record.name, start.arguments, log)
        self.children[record.name] = child
        with ThreadPoolExecutor(1) as reader:
            left_s = self.start_due_s - time.monotonic()
            child.wait_ready(reader, max(left_s, SHORTEST_WAIT_S))
        self.records[record.name] = record._replace(pid=child.process.pid)

    def put_json(self, url: str, value: dict) -> None:
        """Send a value to a control or a publishing path."""
        requests.put(url, json=value, timeout=HTTP_WAIT_S).raise_for_status()


def find_target(document: dict, service: str, target: str) -> dict:
    """Return the entry of a target in a template document.

    Raises:
        KeyError: There is no such target.
    """
    for workspace in document["workspaces"].values():
        for entry in workspace["services"].get(service, {}).get("targets", ()):
            if entry["name"] == target:
                return entry
    raise KeyError(f"no target {target} in {service}")


def new_directory() -> Path:
    """Make a folder of its own for a deployment, so that its ledgers are empty."""
    OUTPUT_DIR.mkdir(exist_ok=True)
    return Path(tempfile.mkdtemp(prefix="deployment-", dir=OUTPUT_DIR))
