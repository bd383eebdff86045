"""Documents that targets and the operator write to the store."""


def target_entry(
    *, service, address, data_centre, born_ms, state="ready", warm_up_ms=0
):
    """Return the entry of a target.

    Args:
        service: Name of its service.
        address: Its host and port.
        data_centre: Its data centre.
        born_ms: Unix time of its start.
        state: Whether it is ``ready`` or ``draining``.
        warm_up_ms: How much longer it is cold.
    """
    host, port = address
    return {
        "service": service,
        "address": f"{host}:{port}",
        "zone": data_centre,
        "version": "v1",
        "max-concurrency": 2,
        "state": state,
        "warmup-left-ms": warm_up_ms,
        "seq-no": 1,
        "born": born_ms,
    }


def bearing(*, warm_up_s, per_s):
    """Return the fields of a service that state what its cold targets bear.

    Args:
        warm_up_s: How long a target is cold.
        per_s: Requests a second that it bears meanwhile.
    """
    return {"warmup-s": warm_up_s, "warmup-per-s": per_s}
