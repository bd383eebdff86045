"""The resources of the services and the forms that their answers take."""

import json
from enum import StrEnum
from typing import NamedTuple

from aiocoap import GET, POST, PUT, Code, Message

from ._content import resource_etag

DEADLINE_OPTION = 65000
MAX_DEADLINE_BYTES = 4
LARGEST_SIZE_EXPONENT = 6
LOAD_PATH = ("load",)
IDENTITY_PATH = (".well-known", "lagoontally")


class Kind(StrEnum):
    """What a resource does with a request."""

    LINE = "line"
    COMMAND = "command"
    STORE = "store"
    BLOCKS = "blocks"


class Resource(NamedTuple):
    """One resource: its path is ``/<collection>/<id>`` with an optional part.

    Attributes:
        collection: First part of the path.
        part: Part after the id, empty for the item itself.
        method: The only method that is served.
        kind: What a request does.
    """

    collection: str
    part: str
    method: Code
    kind: Kind


RESOURCES = {
    "pivot-link": (
        Resource("pivot", "status", GET, Kind.LINE),
        Resource("pivot", "command", POST, Kind.COMMAND),
    ),
    "usage-ledger": (
        Resource("report", "", GET, Kind.BLOCKS),
        Resource("usage", "", PUT, Kind.STORE),
    ),
    "dossier-desk": (
        Resource("dossier", "status", GET, Kind.LINE),
        Resource("dossier", "signoff", POST, Kind.COMMAND),
    ),
    "pack-vault": (Resource("pack", "", GET, Kind.BLOCKS),),
}


def find_resource(service: str, path: tuple[str, ...]) -> Resource | None:
    """Return the resource of a service that a path names, None without one."""
    for resource in RESOURCES[service]:
        rest = (resource.part,) if resource.part else ()
        if path[:1] == (resource.collection,) and path[2:] == rest and len(path) > 1:
            return resource
    return None


def path_text(path: tuple[str, ...]) -> str:
    """Return a path with its slashes."""
    return "/" + "/".join(path)


def payload_id(payload: bytes) -> str | None:
    """Return the id in a JSON payload, None without one."""
    try:
        found = json.loads(payload)["id"]
    except (ValueError, KeyError, TypeError):
        return None
    return found if isinstance(found, str) else None


def json_message(code: Code, value: dict) -> Message:
    """Return a message whose payload is JSON."""
    message = Message(code=code, payload=json.dumps(value).encode())
    message.opt.content_format = 50
    return message


def time_left_ms(request: Message) -> float:
    """Return the time to a request's deadline, infinite without one."""
    options = request.opt.get_option(DEADLINE_OPTION) or ()
    for option in options:
        value = option.encode()
        if len(value) <= MAX_DEADLINE_BYTES:
            return int.from_bytes(value, "big")
    return float("inf")


def block_number(request: Message) -> int:
    """Return the number of the block that a request asks for."""
    return request.opt.block2.block_number if request.opt.block2 else 0


def block_of(request: Message, body: bytes) -> Message:
    """Return the answer with the block of a body that a request asks for."""
    asked = request.opt.block2
    number = block_number(request)
    exponent = LARGEST_SIZE_EXPONENT
    if asked:
        exponent = min(asked.size_exponent, LARGEST_SIZE_EXPONENT)
    size = 1 << (exponent + 4)
    start = number * size
    if start >= len(body):
        return Message(code=Code.BAD_OPTION)
    answer = Message(code=Code.CONTENT, payload=body[start : start + size])
    answer.opt.block2 = (number, start + size < len(body), exponent)
    answer.opt.etag = resource_etag(body)
    return answer
