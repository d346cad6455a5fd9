"""Routes, services and limits: the configuration that operators number."""

from __future__ import annotations

import enum
import math

import attrs

from gentianwall.config.schema import ConfigProblem

# A target this far above the timeout can only be a slip of the unit.
MAX_TARGET_OVER_TIMEOUT_MS = 60_000.0


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self is RouteKind.SAFE


@attrs.frozen
class RouteTarget:
    """A service that a route leads to, with its share of the requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of a host below a path go, and how long that may take.

    Attributes:
        name: Name of the route.
        host: The host that it belongs to, in lower case.
        path_prefix: Paths that begin so belong to it.
        kind: What may be repeated.
        timeout_ms: Longest time that a caller is kept waiting.
        target_ms: Time within which an answer is worth most.
        priority: 0 is the most urgent.
        most_attempts: Servers that one request may be sent to.
        targets: Services with their weights.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    target_ms: float
    priority: int
    most_attempts: int
    targets: tuple[RouteTarget, ...]


@attrs.frozen
class RoutedService:
    """A service as the operator declares it.

    Attributes:
        name: Name of the service.
        health_path: Path that answers whether a server is well.
        most_connections: Connections that a server takes in all.
    """

    name: str
    health_path: str
    most_connections: int


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen
class RouteConfiguration:
    """One numbered configuration; the highest number is in force.

    Attributes:
        number: Chosen by the operator.
        routes: All routes.
        services: All services.
        limits: Limits for callers.
    """

    number: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: CallerLimits


def check_configuration(
    configuration: RouteConfiguration,
) -> list[ConfigProblem]:
    """Returns everything that makes a configuration invalid."""
    services = {service.name for service in configuration.services}
    problems = []
    for route in configuration.routes:
        problems += _check_route(route, services)
    return problems


def _check_route(route: Route, services: set[str]) -> list[ConfigProblem]:
    where = f"routes.{route.name}"
    problems = []
    figures = [route.timeout_ms, route.target_ms]
    figures += [target.weight for target in route.targets]
    if not all(math.isfinite(figure) for figure in figures):
        problems.append(ConfigProblem(where, "all figures must be finite"))
    if not route.host:
        problems.append(ConfigProblem(f"{where}.host", "must not be empty"))
    if not route.path_prefix.startswith("/"):
        reason = f"must begin with a slash, got {route.path_prefix!r}"
        problems.append(ConfigProblem(f"{where}.path_prefix", reason))
    if route.target_ms >= route.timeout_ms + MAX_TARGET_OVER_TIMEOUT_MS:
        reason = f"{route.target_ms:g} ms is far above the timeout"
        problems.append(ConfigProblem(f"{where}.target_ms", reason))
    for target in route.targets:
        if target.service not in services:
            reason = f"names an unknown service {target.service!r}"
            problems.append(ConfigProblem(f"{where}.targets", reason))
        if target.weight < 0:
            reason = f"must be at least 0, got {target.weight:g}"
            problems.append(ConfigProblem(f"{where}.weight", reason))
    return problems
