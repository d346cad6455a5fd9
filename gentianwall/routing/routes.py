"""Lookup of the route of a request and of the service it is sent to."""

from __future__ import annotations

import attrs

from gentianwall.config.routes import Route, RouteConfiguration


@attrs.define
class WeightedRoundRobin:
    """Distributes requests over targets by smooth weighted round-robin.

    Counted from the first request, the number sent to each target stays
    within about one request of its share by weight. A random choice would not
    achieve this.

    Attributes:
        current_weights: Current weight of each target of the route.
    """

    current_weights: list[float]

    def next_service(self, route: Route) -> str | None:
        """Returns the next request's service, or None if all weights are 0."""
        total = sum(target.weight for target in route.targets)
        if total <= 0:
            return None
        best = 0
        for index, target in enumerate(route.targets):
            self.current_weights[index] += target.weight
            if self.current_weights[index] > self.current_weights[best]:
                best = index
        self.current_weights[best] -= total
        return route.targets[best].service


class RouteTable:
    """Finds routes by host and longest path prefix."""

    def __init__(self, configuration: RouteConfiguration):
        self.configuration = configuration
        self._routes: dict[str, list[Route]] = {}
        self._round_robins: dict[str, WeightedRoundRobin] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, or None if no route matches.

        Args:
            host: Value of the `Host` header, with or without a port.
            path: Path of the request without the query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._routes.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def choose_service(self, route: Route) -> str | None:
        """Returns the service of the route's next request.

        Returns None if the route has several targets and all weights are 0.
        """
        if len(route.targets) == 1:
            return route.targets[0].service
        key = f"{route.host}{route.path_prefix}"
        round_robin = self._round_robins.get(key)
        if round_robin is None:
            round_robin = self._round_robins[key] = WeightedRoundRobin(
                [0.0] * len(route.targets)
            )
        return round_robin.next_service(route)
