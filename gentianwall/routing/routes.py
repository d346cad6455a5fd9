"""Lookup of the route, the organisation and the service of a request."""

from __future__ import annotations

import attrs

from gentianwall.config.routes import Organisation, Route, RouteConfiguration


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
    """Finds routes by host and longest path prefix, and organisations.

    Attributes:
        configuration: The configuration that the table was built from.
        organisation_by_name: Organisations by name.
        organisation_by_digest: Organisations by the digests of their keys.
    """

    def __init__(self, configuration: RouteConfiguration):
        self.configuration = configuration
        self._routes: dict[str, dict[str, Route]] = {}
        self._prefix_lengths: dict[str, list[int]] = {}
        self._round_robins: dict[str, WeightedRoundRobin] = {}
        for route in configuration.routes:
            routes = self._routes.setdefault(route.host, {})
            routes.setdefault(route.path_prefix, route)
        for host, routes in self._routes.items():
            lengths = {len(prefix) for prefix in routes}
            self._prefix_lengths[host] = sorted(lengths, reverse=True)
        self.organisation_by_name: dict[str, Organisation] = {
            organisation.name: organisation
            for organisation in configuration.organisations
        }
        self.organisation_by_digest: dict[bytes, Organisation] = {
            digest: organisation
            for organisation in configuration.organisations
            for digest in organisation.key_digests
        }

    @property
    def has_organisations(self) -> bool:
        """Whether requests need a key, unless their route is public."""
        return bool(self.organisation_by_name)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, or None if no route matches.

        Args:
            host: Value of the `Host` header, with or without a port.
            path: Path of the request without the query.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        host = name.lower()
        routes = self._routes.get(host, {})
        for length in self._prefix_lengths.get(host, ()):
            route = routes.get(path[:length])
            if route is not None:
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
