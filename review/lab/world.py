"""A small deployment of one zone on a free loopback network."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from client import Clients, Router
from store import Store
from target import Target
from wire import to_int

ROOT = Path(__file__).resolve().parent.parent.parent
COMMAND = ["python3", "-I", "-S", "target/app/balancer.pyc"]  # as in the deploy file
GRACE_S = 6
RESTART_DELAY_S = 0.3
START_TIMEOUT_S = 20
ZONE = "zone-a"
REORDER_S = 2.0
FOREIGN_PACKETS = 3


class CannotRunError(Exception):
    """The case can't run here."""


class Balancer:
    """A process of the project, started anew when it ends."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"edge-{number}"
        self.host = world.host(1, number)
        self.process = None
        self.starts = 0
        self.stopped = False
        self._settings = world.folder / f"{self.name}.json"
        self._log = world.folder / f"{self.name}.log"

    def write_settings(self):
        """Write the settings file, filled in from the template of the deploy file."""
        world = self.world
        settings = {
            "instance": self.name,
            "data_centre": ZONE,
            "host": self.host,
            "packet_address": f"{self.host}:{world.packet_port}",
            "ready_address": f"{self.host}:{world.ready_port}",
            "peer_address": f"{self.host}:{world.peer_port}",
            "port_range": [7720, 7735],
            "seeds": [f"{world.host(1, one)}:{world.peer_port}" for one in (1, 2)],
            "store_address": "{}:{}".format(*world.store_address),
            "grace_s": GRACE_S,
            "link_mbps": 350.0,
            "regions": {ZONE: "region-a"},
        }
        scratch = self._settings.with_suffix(".new")
        scratch.write_text(json.dumps(settings))
        scratch.replace(self._settings)

    def start(self):
        """Start the process with the command of the deploy file."""
        self.write_settings()
        environment = {"PATH": os.environ["PATH"], "HOME": str(self.world.folder)}
        environment["LAGOONTALLY_SETTINGS"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.starts += 1

    async def supervise(self):
        """Start the process again whenever it ends."""
        self.start()
        while not self.stopped:
            if self.process.poll() is not None:
                self.world.note(f"{self.name} ended: {self.process.returncode}")
                await asyncio.sleep(RESTART_DELAY_S)
                self.start()
            await asyncio.sleep(0.02)

    async def terminate(self):
        """Stop the process as the platform does."""
        process = self.process
        self.world.note(f"{self.name} gets SIGTERM")
        process.send_signal(signal.SIGTERM)
        for _ in range(GRACE_S * 50):
            if process.poll() is not None:
                return
            await asyncio.sleep(0.02)
        process.kill()

    def end(self):
        """End the process for good."""
        self.stopped = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class World:
    """The store, targets, balancers, the router and clients."""

    def __init__(self, record):
        self.record = record
        self.lines = []
        self.loop = asyncio.get_running_loop()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = self._free_network()
        self.packet_port, self.ready_port, self.peer_port = 8172, 8167, 8166
        self.store_address = (self.host(7, 1), 8169)
        self.route_address = (to_int(self.host(250, 1)), 8443)
        self.store = Store()
        self.router = Router(self)
        self.clients = Clients(self, self.host(200, 1), self.router)
        self.targets = []
        self.balancers = []
        self.tasks = []
        self.started_at = time.monotonic()

    @property
    def now(self):
        """Seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def host(self, group, number):
        """Return an address of this network."""
        return f"127.{self.network}.{group}.{number}"

    def note(self, text):
        """Write a line of the record."""
        self.lines.append((self.now, text))

    def configuration(self, version, **services_by_port):
        """Return a configuration; routes are named by service and port."""
        host = self.host(250, 1)
        names = {"p8443": "pivot-link"} | services_by_port
        routes = [
            {
                "name": f"r-{port}",
                "host": host,
                "prefix": f"/{port[1:]}/",
                "type": "unsafe",
                "timeout-ms": 3006,
                "slo-ms": 509,
                "priority": 1,
                "service": service,
                "max-attempts": 2,
            }
            for port, service in names.items()
        ]
        services = [
            {
                "name": name,
                "health-path": "/health",
                "max-conns": 4000,
                "protocol": "h1",
                "tls": False,
            }
            for name in sorted(set(names.values()))
        ]
        return {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {"idle-timeout-ms": 15000},
        }

    async def start(self, *, balancers, targets):
        """Start everything and wait until all balancers are in rotation."""
        if not (ROOT / COMMAND[-1]).exists():
            raise CannotRunError("the build of the deploy file is missing")
        await self.store.start(self.store_address)
        self.store.put("op/config", self.configuration(7))
        for number in range(1, targets + 1):
            identity = f"i-{random.getrandbits(32):08x}"
            address = (self.host(100, number), 8080)
            target = Target(self, identity, "pivot-link", address, ZONE)
            await target.start()
            self.targets.append(target)
        for number in range(1, balancers + 1):
            balancer = Balancer(self, number)
            self.balancers.append(balancer)
            self.tasks.append(asyncio.create_task(balancer.supervise()))
            self.tasks.append(self.router.add(balancer.host))
        for _ in range(START_TIMEOUT_S * 10):
            if not any(self.router.misses.values()):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("the balancers aren't in rotation")

    def end(self):
        """End all processes and write the record."""
        for balancer in self.balancers:
            balancer.end()
        for task in self.tasks:
            task.cancel()
        for at, rotation in self.router.changes:
            self.lines.append((at, f"rotation: {', '.join(rotation)}"))
        for target in self.targets:
            for at, request, flow in target.runs:
                self.lines.append((at, f"run {request} at {target.identity} {flow}"))
            for at, flow in target.lost:
                text = f"lost: the answer of {target.identity} to the SYN of {flow}"
                self.lines.append((at, text))
        for flow in self.clients.flows:
            for one in flow.requests:
                text = f"request {one.name} of {flow.flow}: {one.outcome}"
                self.lines.append((one.sent_at, text))
        lines = [f"{at:8.3f} {text}\n" for at, text in sorted(self.lines)]
        self.record.write_text("".join(lines))
        if os.environ.get("KEEP") == "1":
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def late_arrivals(self, target, acknowledged_at, drain_s=3.0):
        """Return a text for each request that breaks the rule DRAIN."""
        opened = {}
        for at, flow, flags, host in target.arrivals:
            if flags & 2:
                opened.setdefault(flow, (at, host))
        served = {flow for _, _, flow in target.runs}
        return [
            f"DRAIN: at {at:.3f}, {at - acknowledged_at:.1f} s after the store "
            f"acknowledged that {target.identity} is draining, {self._name(host)} "
            f"sent it {flow}"
            for flow, (at, host) in opened.items()
            if at > acknowledged_at + drain_s and flow in served
        ]

    def broken_flows(self, in_touch=None):
        """Return a text for each flow that breaks the rule FLOW.

        Args:
            in_touch: Hosts of the balancers whose packets count, None for all.
        """
        found = []
        for flow in self.clients.flows:
            target = self._target_of(flow)
            if target is None:
                continue
            found += self._foreign_resets(flow, target)
            found += self._foreign_packets(flow, target, in_touch)
        return found

    def _target_of(self, flow):
        for target in self.targets:
            if target.address[0] == flow.target_host:
                return target
        return None

    def _foreign_resets(self, flow, target):
        return [
            f"FLOW (a): at {at:.3f} {flow.flow}, open at {target.identity}, got a "
            f"reset from {self._name(host)}"
            for at, host in flow.resets
            if host != target.address[0]
        ]

    def _foreign_packets(self, flow, target, in_touch=None):
        """Find ``reorder-ms`` in which packets reach other targets and none its own."""
        own = sorted(a for a, key, *_ in target.arrivals if key == flow.flow)
        others = sorted(
            (at, other.identity)
            for other in self.targets
            if other is not target
            for at, key, flags, host in other.arrivals
            if key == flow.flow and at > flow.opened_at and not flags & 2
            if in_touch is None or host in in_touch
        )
        end = flow.ended_at if flow.ended_at is not None else self.now
        edges = [at for at in own if at < end] + [end]
        for start, stop in zip(edges, edges[1:], strict=False):
            within = [one for one in others if start < one[0] < stop]
            if len(within) >= FOREIGN_PACKETS and stop - within[0][0] >= REORDER_S:
                names = ", ".join(sorted({name for _, name in within}))
                return [
                    f"FLOW (b): from {within[0][0]:.3f} to {stop:.3f} {len(within)} "
                    f"packets of {flow.flow}, open at {target.identity}, reached "
                    f"{names} and none its own target"
                ]
        return []

    def _name(self, host):
        for balancer in self.balancers:
            if balancer.host == host:
                return balancer.name
        for target in self.targets:
            if target.address[0] == host:
                return target.identity
        return host

    @staticmethod
    def _free_network():
        """Return the second octet of a loopback network that nobody uses."""
        for number in random.sample(range(60, 250), 50):
            try:
                with socket.create_server((f"127.{number}.7.1", 8169)):
                    return number
            except OSError:
                continue
        raise CannotRunError("no loopback network is free")


def run_case(play, folder):
    """Play a case and return the exit status.

    Args:
        play: Coroutine function of a ``World`` and whether to make the disruption;
            returns a list of the breaks of the rule.
        folder: Folder of the case.
    """

    async def main():
        world = World(folder / "record.txt")
        cancel = asyncio.current_task().cancel
        for number in (signal.SIGTERM, signal.SIGINT):
            world.loop.add_signal_handler(number, cancel)
        try:
            breaks = await play(world, os.environ.get("TROUBLE") != "0")
        except (CannotRunError, asyncio.CancelledError) as error:
            reason = str(error) or "ended by a signal"
            world.note(f"can't run: {reason}")
            print(f"can't run: {reason}")
            return 2
        else:
            for text in breaks:
                world.note(text)
            print(f"{len(breaks)} breaks of the rule", *breaks[:3], sep="\n")
            return 1 if breaks else 0
        finally:
            world.end()

    return asyncio.run(main())
