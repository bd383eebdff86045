"""Which service each version of the configuration gave to each route."""


class RouteHistory:
    """The services of routes over time.

    Args:
        routes: Services by route in the first configuration.
        now: When it was published.

    Attributes:
        changes: Pairs of a time and a service, None once the route is dropped, by
            route.
    """

    def __init__(self, routes, now):
        self.changes = {}
        self.record(routes, now)

    def record(self, routes, now):
        """Record the routes of a version that was published."""
        for route in self.changes.keys() | routes.keys():
            changes = self.changes.setdefault(route, [])
            service = routes.get(route)
            if not changes or changes[-1][1] != service:
                changes.append((now, service))

    def allowed(self, route, start, end):
        """Return the services that versions in force between two times may give.

        Returns:
            Services from the one at ``start`` to that at ``end``; None among them if
            the route doesn't exist in one of the versions.
        """
        changes = self.changes.get(route, [])
        before = [service for at, service in changes if at <= start][-1:] or [None]
        return {*before, *(service for at, service in changes if start < at <= end)}

    def ever(self, route):
        """Return all services that the route ever had."""
        return {service for _, service in self.changes.get(route, []) if service}

    def replaced_at(self, route, service, end):
        """Return when a route lost a service last before some time.

        Returns:
            The time, or minus infinity if it hasn't lost it.
        """
        changes = [change for change in self.changes[route] if change[0] <= end]
        lost = [
            at
            for (_, previous), (at, _) in zip(changes, changes[1:], strict=False)
            if previous == service
        ]
        return lost[-1] if lost else float("-inf")

    def added_at(self, route):
        """Return when a route was added last."""
        changes = self.changes[route]
        previous = [None, *(service for _, service in changes)]
        return [
            at
            for before, (at, service) in zip(previous, changes, strict=False)
            if before is None and service is not None
        ][-1]

    def dropped_at(self, route):
        """Return when a route was dropped, None while it exists."""
        at, service = self.changes[route][-1]
        return at if service is None else None

    def changed_since(self, start):
        """Return the routes that were added, moved or dropped since some time."""
        return sorted(
            route for route, changes in self.changes.items() if changes[-1][0] >= start
        )
