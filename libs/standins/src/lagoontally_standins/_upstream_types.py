"""Settings of an upstream, and what it keeps of requests and lines."""

from enum import StrEnum
from typing import NamedTuple

from aiocoap import Message

from ._resources import Resource

Endpoint = tuple[str, int]


class UpstreamMode(StrEnum):
    """How an upstream treats work that is new to it."""

    UP = "up"
    DRAINING = "draining"
    SILENT = "silent"
    SHED = "shed"


class UpstreamSettings(NamedTuple):
    """Settings of one upstream.

    Attributes:
        target: Name of the target.
        workspace: Workspace that it serves.
        service: Service that it serves.
        address: ``IP:port`` of its CoAP socket.
        control: ``IP:port`` of its control over HTTP.
        ledger_dir: Folder of its ledger.
        work_ms: Time that one request takes.
        notify_ms: Interval between a line's notifications.
        cold_start_ms: How long after its start requests take longer.
        slots: Requests that run at the same time.
        connections: Lines that it holds at most.
        queue: Requests that wait for a slot at most.
        blocks: Number of 64-byte parts in a block-wise body.
    """

    target: str
    workspace: str
    service: str
    address: str
    control: str
    ledger_dir: str
    work_ms: float = 20.0
    notify_ms: float = 1000.0
    cold_start_ms: float = 0.0
    slots: int = 2
    connections: int = 4300
    queue: int = 16
    blocks: int = 64


class Outgoing(NamedTuple):
    """A datagram to send."""

    endpoint: Endpoint
    data: bytes


class Work(NamedTuple):
    """A request that waits for a slot or runs in one."""

    endpoint: Endpoint
    request: Message
    resource: Resource
    deadline_ms: float


class Line:
    """One open line of an endpoint."""

    def __init__(self, endpoint: Endpoint, token: bytes, path: tuple[str, ...]):
        self.endpoint = endpoint
        self.token = token
        self.path = path
        self.sequence = 0
        self.last_mid = -1
