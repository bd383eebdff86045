"""Comparison of what balancers know with the store, once all faults are over."""

from ._violation import Violation

SHOWN_DIFFERENCES = 3


def view_violations(deployment):
    """Return a violation for each difference between a balancer and the store."""
    return [
        violation
        for balancer in deployment.balancers.values()
        for violation in (
            *_target_violations(balancer, deployment.listed_targets()),
            *_configuration_violations(balancer, deployment.published_configuration()),
        )
    ]


def _target_violations(balancer, listed):
    wrong = sorted((balancer.fetch_targets() or set()) ^ listed)
    if wrong:
        detail = f"{balancer.name}: {wrong[:SHOWN_DIFFERENCES]}"
        yield Violation("all balancers follow the store", detail)


def _configuration_violations(balancer, published):
    known = balancer.fetch_configuration()
    if known == published:
        return
    if known is None:
        detail = f"{balancer.name} returns no configuration"
    else:
        version, routes = known
        newest, newest_routes = published
        wrong = [
            (route, routes.get(route), newest_routes.get(route))
            for route in sorted(routes.keys() | newest_routes.keys())
            if routes.get(route) != newest_routes.get(route)
        ]
        detail = f"{balancer.name}: version {version} of {newest}, "
        detail += f"{len(wrong)} wrong routes: {wrong[:SHOWN_DIFFERENCES]}"
    yield Violation("all balancers have the newest configuration", detail)
