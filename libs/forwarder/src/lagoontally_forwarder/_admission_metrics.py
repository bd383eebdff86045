"""Metrics of admission."""


def admission_gauges(admission, time_ms):
    """Return what an ``Admission`` refuses, as values by name with labels."""
    by_name = {
        "refusal_probability": admission.probabilities(time_ms),
        "shedding_rate_per_s": admission.rates(),
        "mean_wait_ms": admission.mean_waits(time_ms),
    }
    gauges = {
        f'{name}{{service="{service}"}}': value
        for name, values in by_name.items()
        for service, value in values.items()
    }
    for (service, kind, reason), count in admission.refusals.items():
        labels = f'service="{service}",kind="{kind}",reason="{reason}"'
        gauges[f"refused{{{labels}}}"] = count
    return gauges
