"""Settings and documents as in the platform's documentation."""

import base64
import json

SETTINGS = {
    "instance": "edge-tifton-1",
    "data_centre": "tifton",
    "host": "127.0.0.1",
    "packet_address": "127.0.0.1:8172",
    "ready_address": "127.0.0.1:8167",
    "peer_address": "127.0.0.1:8166",
    "seeds": ["127.0.0.1:8166"],
    "store_address": "127.0.0.1:8169",
    "link_mbps": 350.0,
    "grace_s": 6,
}
ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "tifton",
    "version": "v1",
    "max-concurrency": 2,
    "state": "ready",
    "warmup-left-ms": 0,
    "seq-no": 4,
    "born": 1_790_000_000_000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-a3hwrr6",
            "host": "198.18.0.1",
            "prefix": "/8443/",
            "type": "safe",
            "timeout-ms": 501,
            "slo-ms": 100,
            "priority": 2,
            "traffic-split": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
            "max-attempts": 2,
        },
        {
            "name": "r-x73d3zj",
            "host": "198.18.0.1",
            "prefix": "/8080/",
            "type": "unsafe",
            "timeout-ms": 601,
            "slo-ms": 120,
            "priority": 1,
            "service": "huvo11a",
            "max-attempts": 2,
        },
    ],
    "services": [{"name": "huvo11a"}, {"name": "wuno96b"}],
    "limits": {"idle-timeout-ms": 15_000},
}


def item(key, document, revision=5):
    """Return an item of the store; a document given as bytes isn't encoded."""
    text = document if isinstance(document, bytes) else json.dumps(document).encode()
    value = base64.b64encode(text).decode()
    return {"key": key, "value": value, "revision": revision, "created": revision}


def page(items, revision=9, more=False):
    """Return the body of a page response."""
    return json.dumps({"items": items, "has-more": more, "as-of": revision}).encode()


def changes(events, revision=9):
    """Return the body of a watch response."""
    return json.dumps({"events": events, "as-of": revision}).encode()
