"""Entries that another writer leaves among those of targets, and that name none."""

import json

DEEP = 50_000  # levels; parsers that recurse give up at a thousand
DIGITS = 5_000  # more than ``int`` parses

_MARK = "@"  # replaced by text that ``json`` doesn't write


def odd_entries(entry):
    """Return entries that name no target, as bytes by what is odd about them.

    Args:
        entry: The entry of a target; each differs from it in one way.
    """
    host = entry["address"].rpartition(":")[0]
    changed = {
        "a service that nothing names": {"service": "print-spooler"},
        "a service of another type": {"service": ["pivot-link"]},
        "a service with a lone surrogate": {"service": "\ud800"},
        "a service with a very long name": {"service": "x" * 400_000},
        "a zone with a very long name": {"zone": "é" * 300},
        "an unknown state": {"state": "asleep"},
        "a port out of range": {"address": f"{host}:65536"},
        "a port of many digits": {"address": f"{host}:{'9' * DIGITS}"},
        "a host out of range": {"address": "10.0.0.256:8080"},
        "a negative number": {"max-concurrency": -1},
        "a number too large": {"max-concurrency": 10**400},
        "a number that just fits 8 bytes": {"max-concurrency": (1 << 63) - 1},
        "a warm-up without end": {"warmup-left-ms": (1 << 63) - 1},
        "a start in the far future": {"born": (1 << 63) - 1},
        "a start that is no number": {"born": "yesterday"},
    }
    texts = {
        "a deeply nested field": ("version", "[" * DEEP + "]" * DEEP),
        "a deeply nested object": ("extra", '{"a":' * DEEP + "1" + "}" * DEEP),
        "a number of many digits": ("warmup-left-ms", "9" * DIGITS),
        "an infinite number": ("max-concurrency", "1e999"),
        "a number that is none": ("max-concurrency", "NaN"),
    }
    found = {
        name: json.dumps(entry | fields).encode() for name, fields in changed.items()
    }
    for missing in entry:
        fields = {name: value for name, value in entry.items() if name != missing}
        found[f"no {missing}"] = json.dumps(fields).encode()
    for name, (field, text) in texts.items():
        document = json.dumps(entry | {field: _MARK})
        found[name] = document.replace(f'"{_MARK}"', text).encode()
    return found | {
        "nothing but brackets": b"[" * DEEP + b"]" * DEEP,
        "nothing at all": b"",
        "bytes that aren't text": b"\xff\xfe\x00",
        "half a document": b'{"service":',
        "another encoding": json.dumps(entry).encode("utf-16"),
        "a list": b"[1]",
    }


def odd_keys():
    """Return keys that contain no id of a target, behind the prefix of entries."""
    return (
        "",
        "-",
        "i-",
        "i-xyz",
        "i-1_0",
        "i- 5",
        "i-\u0665",
        "i-" + "f" * 17,
        "legacy-0",
        "0" * 16,
        "é-5",
        "\ud800-5",
        "i\x00-5",
    )
