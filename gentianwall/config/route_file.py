"""The numbered configuration as operators write it, in TOML."""

from __future__ import annotations

import tomllib

import attrs

from gentianwall.config.routes import (
    CallerLimits,
    Route,
    RouteConfiguration,
    RoutedService,
    RouteKind,
    RouteTarget,
    check_configuration,
)
from gentianwall.config.schema import (
    ConfigErrors,
    ConfigProblem,
    find_line,
    option,
    structure,
)

# What replicas store of a number has 64 bits.
MAX_NUMBER = 2**62
KINDS = tuple(kind.value for kind in RouteKind)


@attrs.frozen(kw_only=True)
class RouteOptions:
    """One route, `[routes.NAME]`."""

    host: str = option("Host that it belongs to.")
    path_prefix: str = option("Paths that begin so belong to it.")
    kind: str = option("What may be repeated of its requests.", choices=KINDS)
    timeout_ms: float = option(
        "Longest time that a caller is kept waiting.", minimum=1
    )
    target_ms: float = option(
        "Time within which an answer is worth most; 0 is the timeout.",
        0.0,
        minimum=0,
    )
    priority: int = option("0 is the most urgent.", 0, minimum=0)
    most_attempts: int = option(
        "Servers that one request may be sent to.", 2, minimum=1
    )
    targets: dict[str, float] = option(
        "Services with their weights.", minimum=0
    )


@attrs.frozen(kw_only=True)
class ServiceOptions:
    """One service, `[services.NAME]`."""

    health_path: str = option(
        "Path that tells whether a server is well.", "/healthz"
    )
    most_connections: int = option(
        "Connections that a server takes in all; 0 sets no limit.",
        0,
        minimum=0,
    )


@attrs.frozen(kw_only=True)
class LimitOptions:
    """Limits for callers, `[limits]`."""

    header_bytes: int = option("Longest head.", 16 * 1024, minimum=256)
    body_bytes: int = option("Longest body.", 64 * 1024 * 1024, minimum=0)
    header_timeout_ms: float = option(
        "Longest time for a head.", 3000.0, minimum=1
    )
    idle_timeout_ms: float = option(
        "Longest time without a request on a connection.", 15_000.0, minimum=1
    )


@attrs.frozen(kw_only=True)
class RouteFile:
    """The whole file."""

    number: int = option(
        "Number of this configuration; the highest is in force.",
        minimum=0,
        maximum=MAX_NUMBER,
    )
    services: dict[str, ServiceOptions] = option("Services by name.")
    routes: dict[str, RouteOptions] = option("Routes by name.")
    limits: LimitOptions = option("Limits for callers.", factory=LimitOptions)


def parse_route_file(document: bytes) -> RouteConfiguration | ConfigErrors:
    """Reads a configuration; returns it, or everything wrong with it."""
    try:
        text = document.decode("utf-8")
        table = tomllib.loads(text)
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return ConfigErrors((ConfigProblem("(file)", str(error)),))
    file = structure(table, RouteFile, text)
    if isinstance(file, ConfigErrors):
        return file
    configuration = _configuration(file)
    problems = [
        attrs.evolve(problem, line=find_line(text, problem.option))
        for problem in check_configuration(configuration)
    ]
    return ConfigErrors(tuple(problems)) if problems else configuration


def _configuration(file: RouteFile) -> RouteConfiguration:
    return RouteConfiguration(
        file.number,
        tuple(_route(name, route) for name, route in file.routes.items()),
        tuple(
            RoutedService(name, service.health_path, service.most_connections)
            for name, service in file.services.items()
        ),
        CallerLimits(**attrs.asdict(file.limits)),
    )


def _route(name: str, options: RouteOptions) -> Route:
    return Route(
        name=name,
        host=options.host.lower(),
        path_prefix=options.path_prefix,
        kind=RouteKind(options.kind),
        timeout_ms=options.timeout_ms,
        target_ms=options.target_ms or options.timeout_ms,
        priority=options.priority,
        most_attempts=options.most_attempts,
        targets=tuple(
            RouteTarget(service, weight)
            for service, weight in options.targets.items()
        ),
    )
