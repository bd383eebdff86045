"""The scenario of the fault matrix: both tenants, planned changes, open lines."""

import json
from typing import NamedTuple

from lagoontally_model import Timing

from ._outer_nodes import CallerNode, UpstreamNode
from ._world import World

PIVOT_WORKSPACE = "pivot-command-relay"
DOSSIER_WORKSPACE = "dossier-hub-balancing"
WORKSPACES = (PIVOT_WORKSPACE, DOSSIER_WORKSPACE)
PIVOT_SERVICE = "pivot-link"
DOSSIER_SERVICE = "dossier-desk"
PIVOT_CENTRES = ("tifton", "moultrie")
DOSSIER_CENTRES = ("kgn-a",)
BALANCERS_PER_CENTRE = 2
PIVOT_TARGETS = 3
DOSSIER_TARGETS = 2
PIVOT_CALLERS = 4
COMMAND_INTERVAL_MS = 1_500

START_LOAD_MS = 4_000
REPLACE_MS = 12_000
DRAIN_MS = 24_000
STOP_LOAD_MS = 45_000
END_MS = 120_000

LINE_RENEW_INTERVAL_S = 10.0
LINE_SILENCE_TIMEOUT_S = 15.0
TIMING = Timing()


class TargetSpec(NamedTuple):
    """A target of the scenario before it is published."""

    name: str
    address: str
    data_centre: str
    state: str = "active"


class Scenario:
    """A world under load, with one balancer replaced and one upstream drained.

    Attributes:
        world: The world.
        version: Latest published version.
        drained_ms: When the planned drain was published, or None.
        published: ``(time, version)`` of each version.
        drains: ``(target, version, workspace)`` of each drain.
        first_document: The document published first.
        replaced_balancer: Name of the balancer that is replaced.
    """

    def __init__(self, seed):
        self.world = World(seed, timing=TIMING)
        self.version = 0
        self.targets = {
            PIVOT_SERVICE: _target_specs(
                PIVOT_SERVICE, PIVOT_TARGETS, PIVOT_CENTRES, 1
            ),
            DOSSIER_SERVICE: _target_specs(
                DOSSIER_SERVICE, DOSSIER_TARGETS, DOSSIER_CENTRES, 2
            ),
        }
        self.drained_ms = None
        self.published = []
        self.drains = []
        self.first_document = b""
        self.callers = []
        self.command_number = 0
        self.replaced_balancer = f"{PIVOT_CENTRES[0]}-1"
        self._populate()

    def _populate(self):
        world = self.world
        for service, workspace in _SERVICES.items():
            for spec in self.targets[service]:
                UpstreamNode(
                    world,
                    name=spec.name,
                    address=spec.address,
                    data_centre=spec.data_centre,
                    service=service,
                    workspace=workspace,
                )
        for workspace, centres in _CENTRES.items():
            for centre in centres:
                for number in range(1, BALANCERS_PER_CENTRE + 1):
                    world.add_balancer(f"{centre}-{number}", centre, workspace)
        world.after(0, self.publish)
        self._add_callers()
        world.after(REPLACE_MS, self.replace_balancer)
        world.after(DRAIN_MS, self.drain_target)

    def _add_callers(self):
        world = self.world
        for number in range(PIVOT_CALLERS):
            caller = self._add_caller(f"pivot{number}", PIVOT_SERVICE)
            world.after(START_LOAD_MS + 37 * number, self._open_line, caller, number)
            world.after(
                START_LOAD_MS + 211 * number, self._send_commands, caller, number
            )
        dossier = self._add_caller("desk0", DOSSIER_SERVICE)
        world.after(START_LOAD_MS, self._send_commands, dossier, 0)

    def _add_caller(self, name, service):
        workspace = _SERVICES[service]
        caller = CallerNode(self.world, name=name, workspace=workspace, service=service)
        self.callers.append(caller)
        return caller

    def _open_line(self, caller, number):
        path = f"/pivot/{number}/status"
        caller.open_line(
            path, renew_s=LINE_RENEW_INTERVAL_S, silence_s=LINE_SILENCE_TIMEOUT_S
        )

    def _send_commands(self, caller, number):
        if self.world.now_ms >= STOP_LOAD_MS:
            return
        self.command_number += 1
        request_id = f"{caller.name}-{self.command_number}"
        path = _COMMAND_PATHS[caller.service].format(number)
        caller.command(path, request_id)
        wait_ms = self.world.random.randrange(COMMAND_INTERVAL_MS)
        self.world.after(200 + wait_ms, self._send_commands, caller, number)

    def publish(self):
        """Publish the current targets as a new version."""
        self.version += 1
        self.published.append((self.world.now_ms, self.version))
        document = self.document()
        self.first_document = self.first_document or document
        self.world.publish(document)

    def document(self):
        """Return the document of the current targets and version."""
        workspaces = {
            workspace: {
                "tenant": workspace.split("-")[0],
                "services": {service: self._service(service)},
            }
            for service, workspace in _SERVICES.items()
        }
        document = {
            "format": 1,
            "version": self.version,
            "published_at": "2026-12-03T21:00:00Z",
            "quarantine_s": 600,
            "workspaces": workspaces,
            "retired": [],
        }
        return json.dumps(document).encode()

    def _service(self, service):
        targets = [
            {
                "name": spec.name,
                "address": spec.address,
                "data_centre": spec.data_centre,
                "state": spec.state,
                "slots": 2,
                "connections": 4000,
            }
            for spec in self.targets[service]
        ]
        return {
            "entry_port": _PORTS[service],
            "placement": "flow" if service == PIVOT_SERVICE else "request",
            "imbalance_weight": 0.5,
            "targets": targets,
        }

    def replace_balancer(self):
        """Start a new balancer and shut down an old one."""
        world = self.world
        world.add_balancer("tifton-9", PIVOT_CENTRES[0], PIVOT_WORKSPACE)
        world.after(3_000, self._stop_replaced_balancer)

    def _stop_replaced_balancer(self):
        node = self.world.balancers[self.replaced_balancer]
        if node.alive:
            node.leave()

    def drain_target(self):
        """Drain one target, as planned."""
        self.drained_ms = self.world.now_ms
        self.drain(self.targets[PIVOT_SERVICE][0].name)

    def drain(self, *names):
        """Publish targets as leaving, except in services without any other target."""
        for service, specs in self.targets.items():
            leaving = [
                spec._replace(state="leaving") if spec.name in names else spec
                for spec in specs
            ]
            if all(spec.state == "leaving" for spec in leaving):
                continue
            self.drains += [
                (after.address, self.version + 1, _SERVICES[service])
                for before, after in zip(specs, leaving, strict=True)
                if before != after
            ]
            self.targets[service] = leaving
        self.publish()

    def remaining_targets(self, upstream):
        """Return the names of the targets that remain when an upstream goes.

        The target of the planned drain doesn't count.
        """
        upstreams = self.world.upstreams
        first = self.targets[PIVOT_SERVICE][0].address
        return [
            spec.name
            for spec in self.targets[upstream.service]
            if spec.state == "active"
            and upstreams[spec.address].alive
            and spec.address not in (upstream.address, first)
        ]

    def drain_all_but_one(self):
        """Drain the pivot service's targets but the last."""
        self.drain(*(spec.name for spec in self.targets[PIVOT_SERVICE][:-1]))

    def run(self):
        """Run to the end; return the world."""
        self.world.run_until(END_MS)
        return self.world


_SERVICES = {PIVOT_SERVICE: PIVOT_WORKSPACE, DOSSIER_SERVICE: DOSSIER_WORKSPACE}
_CENTRES = {PIVOT_WORKSPACE: PIVOT_CENTRES, DOSSIER_WORKSPACE: DOSSIER_CENTRES}
_PORTS = {PIVOT_SERVICE: 5701, DOSSIER_SERVICE: 5711}
_COMMAND_PATHS = {
    PIVOT_SERVICE: "/pivot/{}/command",
    DOSSIER_SERVICE: "/dossier/{}/signoff",
}


def _target_specs(service, count, centres, block):
    return [
        TargetSpec(
            f"{service}-{number + 1}",
            f"127.20.{block}.{number + 1}:7001",
            centres[number % len(centres)],
        )
        for number in range(count)
    ]
