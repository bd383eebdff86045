"""The scenario of the matrix: both tenants, planned changes, open lines."""

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

LINE_RENEW_S = 10.0
LINE_SILENCE_S = 15.0
TIMING = Timing()


class Sketch(NamedTuple):
    """A target of the scenario before it is published."""

    name: str
    address: str
    data_centre: str
    state: str = "active"


class Scenario:
    """A world under load, with one balancer replaced and one upstream drained.

    Attributes:
        world: The world.
        version: Version published last.
        drained: When the planned drain was published, or None.
        published: ``(time, version)`` of each version.
        drains: ``(target, version, workspace)`` of each drain.
        first_document: The document published first.
        planned_leaver: Name of the balancer that is replaced.
    """

    def __init__(self, seed):
        self.world = World(seed, timing=TIMING)
        self.version = 0
        self.targets = {
            PIVOT_SERVICE: _sketches(PIVOT_SERVICE, PIVOT_TARGETS, PIVOT_CENTRES, 1),
            DOSSIER_SERVICE: _sketches(
                DOSSIER_SERVICE, DOSSIER_TARGETS, DOSSIER_CENTRES, 2
            ),
        }
        self.drained_ms = None
        self.published = []
        self.drains = []
        self.first_document = b""
        self.callers = []
        self.command_number = 0
        self.planned_leaver = f"{PIVOT_CENTRES[0]}-1"
        self._populate()

    def _populate(self):
        world = self.world
        for service, workspace in _SERVICES.items():
            for sketch in self.targets[service]:
                UpstreamNode(
                    world,
                    name=sketch.name,
                    address=sketch.address,
                    data_centre=sketch.data_centre,
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
            caller = self._caller(f"pivot{number}", PIVOT_SERVICE)
            world.after(START_LOAD_MS + 37 * number, self._open_line, caller, number)
            world.after(START_LOAD_MS + 211 * number, self._commands, caller, number)
        dossier = self._caller("desk0", DOSSIER_SERVICE)
        world.after(START_LOAD_MS, self._commands, dossier, 0)

    def _caller(self, name, service):
        workspace = _SERVICES[service]
        caller = CallerNode(self.world, name=name, workspace=workspace, service=service)
        self.callers.append(caller)
        return caller

    def _open_line(self, caller, number):
        path = f"/pivot/{number}/status"
        caller.open_line(path, renew_s=LINE_RENEW_S, silence_s=LINE_SILENCE_S)

    def _commands(self, caller, number):
        if self.world.now_ms >= STOP_LOAD_MS:
            return
        self.command_number += 1
        request_id = f"{caller.name}-{self.command_number}"
        path = _COMMAND_PATHS[caller.service].format(number)
        caller.command(path, request_id)
        wait_ms = self.world.random.randrange(COMMAND_INTERVAL_MS)
        self.world.after(200 + wait_ms, self._commands, caller, number)

    def publish(self):
        """Publish the targets as they now stand, as a new version."""
        self.version += 1
        self.published.append((self.world.now_ms, self.version))
        document = self.document()
        self.first_document = self.first_document or document
        self.world.publish(document)

    def document(self):
        """Return the document of the present targets and version."""
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
                "name": sketch.name,
                "address": sketch.address,
                "data_centre": sketch.data_centre,
                "state": sketch.state,
                "slots": 2,
                "connections": 4000,
            }
            for sketch in self.targets[service]
        ]
        return {
            "entry_port": _PORTS[service],
            "placement": "flow" if service == PIVOT_SERVICE else "request",
            "imbalance_weight": 0.5,
            "targets": targets,
        }

    def replace_balancer(self):
        """Start a new balancer, and let an old one leave."""
        world = self.world
        world.add_balancer("tifton-9", PIVOT_CENTRES[0], PIVOT_WORKSPACE)
        world.after(3_000, self._leave_planned)

    def _leave_planned(self):
        node = self.world.balancers[self.planned_leaver]
        if node.alive:
            node.leave()

    def drain_target(self):
        """Drain one target, as planned."""
        self.drained_ms = self.world.now_ms
        self.drain(self.targets[PIVOT_SERVICE][0].name)

    def drain(self, *names):
        """Publish targets as leaving, unless none would stay."""
        for service, sketches in self.targets.items():
            leaving = [
                sketch._replace(state="leaving") if sketch.name in names else sketch
                for sketch in sketches
            ]
            if all(sketch.state == "leaving" for sketch in leaving):
                continue
            self.drains += [
                (after.address, self.version + 1, _SERVICES[service])
                for before, after in zip(sketches, leaving, strict=True)
                if before != after
            ]
            self.targets[service] = leaving
        self.publish()

    def remaining_targets(self, upstream):
        """Return the targets that serve on when an upstream goes."""
        upstreams = self.world.upstreams
        first = self.targets[PIVOT_SERVICE][0].address
        return [
            sketch.name
            for sketch in self.targets[upstream.service]
            if sketch.state == "active"
            and upstreams[sketch.address].alive
            and sketch.address not in (upstream.address, first)
        ]

    def drain_all_but_one(self):
        """Drain the pivot service's targets but the last."""
        self.drain(*(sketch.name for sketch in self.targets[PIVOT_SERVICE][:-1]))

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


def _sketches(service, count, centres, block):
    return [
        Sketch(
            f"{service}-{number + 1}",
            f"127.20.{block}.{number + 1}:7001",
            centres[number % len(centres)],
        )
        for number in range(count)
    ]
