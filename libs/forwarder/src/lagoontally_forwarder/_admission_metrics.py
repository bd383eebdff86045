"""Metrics of admission."""


def admission_gauges(admission, time_ms):
    """Return what an ``Admission`` refuses, as values by name with labels."""
    gauges = {
        f'refusal_probability{{service="{service}"}}': value
        for service, value in admission.probabilities(time_ms).items()
    }
    for (service, kind, reason), count in admission.refusals.items():
        labels = f'service="{service}",kind="{kind}",reason="{reason}"'
        gauges[f"refused{{{labels}}}"] = count
    return gauges
