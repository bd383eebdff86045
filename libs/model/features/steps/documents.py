"""Documents shared by several features, and functions that modify them."""

import copy
import json
from pathlib import Path

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"
PUBLISHED_AT = "2026-12-03T21:00:00Z"


def target(name, address):
    """Return a target with the required fields only."""
    return {"name": name, "address": address, "data_centre": "tifton"}


def service(port, net, name, count):
    """Return a service with ``count`` targets in a subnet of its own."""
    numbers = range(1, count + 1)
    targets = [target(f"{name}-{n}", f"127.20.{net}.{n}:7001") for n in numbers]
    fields = {"entry_port": port, "placement": "flow", "imbalance_weight": 0.3}
    return fields | {"targets": targets}


def two_workspaces():
    """Return a template of two workspaces and three services."""
    alpha = {"front": service(5701, 1, "front", 3), "back": service(5702, 2, "back", 1)}
    beta = {"front": service(5703, 3, "front", 2)}
    return {
        "format": 1,
        "version": 1,
        "published_at": PUBLISHED_AT,
        "quarantine_s": 600,
        "workspaces": {
            "alpha": {"tenant": "alpha", "services": alpha},
            "beta": {"tenant": "beta", "services": beta},
        },
        "retired": [],
    }


def example_settings():
    """Return the example settings of one instance."""
    return json.loads((EXAMPLES / "tifton-1.settings.json").read_text())


def set_field(document, path, text):
    """Set a path such as ``workspaces.alpha.tenant`` to a JSON value.

    ``nothing`` removes the field; an index equal to a list's length appends.
    """
    *parents, last = path.split(".")
    for part in parents:
        document = document[int(part) if isinstance(document, list) else part]
    if isinstance(document, list):
        last = int(last)
        if last == len(document):
            document.append(None)
    if text == "nothing":
        del document[last]
    else:
        document[last] = json.loads(text)


def set_fields(document, table):
    """Set a field of a document for each row of a step's table."""
    for row in table:
        set_field(document, row["place"], row["value"])


def targets(document, name):
    """Return the targets of a service named ``workspace/service``."""
    workspace, name = name.split("/")
    return document["workspaces"][workspace]["services"][name]["targets"]


def next_version(document):
    """Return a copy of a template with the next version."""
    return copy.deepcopy(document) | {"version": document["version"] + 1}


def encode(document):
    """Return a document as JSON."""
    return json.dumps(document).encode()
