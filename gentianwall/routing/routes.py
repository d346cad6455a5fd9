"""Finds the route of a request and the service that it goes to."""

from __future__ import annotations

import attrs

from gentianwall.config.routes import Route, RouteConfiguration


@attrs.define
class SplitTurns:
    """Spreads requests over targets by smooth weighted round-robin.

    Any run of requests is shared out as the weights say, within one request
    of each target, which random choice would miss.
    """

    credits: list[float]

    def next_target(self, route: Route) -> str | None:
        """Returns the service of the next request; None if no weight is set."""
        total = sum(target.weight for target in route.targets)
        if total <= 0:
            return None
        best = 0
        for index, target in enumerate(route.targets):
            self.credits[index] += target.weight
            if self.credits[index] > self.credits[best]:
                best = index
        self.credits[best] -= total
        return route.targets[best].service


class RouteTable:
    """Routes by host, the longest prefix first."""

    def __init__(self, configuration: RouteConfiguration):
        self.configuration = configuration
        self._routes: dict[str, list[Route]] = {}
        self._turns: dict[str, SplitTurns] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, if there is one.

        Args:
            host: The `Host` header, with or without a port.
            path: The path without a query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._routes.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def choose_service(self, route: Route) -> str | None:
        """Returns the service of the route's next request."""
        if len(route.targets) == 1:
            return route.targets[0].service
        key = f"{route.host}{route.path_prefix}"
        turns = self._turns.get(key)
        if turns is None:
            turns = self._turns[key] = SplitTurns([0.0] * len(route.targets))
        return turns.next_target(route)
