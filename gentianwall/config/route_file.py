"""Parses the numbered route configuration, a TOML file."""

from __future__ import annotations

import tomllib

import attrs

from gentianwall.config.routes import (
    CallerLimits,
    Organisation,
    Route,
    RouteConfiguration,
    RoutedService,
    RouteKind,
    RouteTarget,
    check_configuration,
    digest_key,
)
from gentianwall.config.schema import (
    ConfigErrors,
    ConfigProblem,
    find_line,
    option,
    structure,
)

# Replicas store the number in 64 bits.
MAX_CONFIGURATION_NUMBER = 2**62
KINDS = tuple(kind.value for kind in RouteKind)


@attrs.frozen(kw_only=True)
class RouteOptions:
    """Options of one route, `[routes.NAME]`."""

    host: str = option("Host whose requests the route matches, without port.")
    path_prefix: str = option(
        "Prefix of the paths that the route matches; the longest matching "
        "prefix is used."
    )
    kind: str = option(
        "Kind of the requests: only `safe` ones and those of the kind "
        "`download`, which have large answers, may be executed more than once; "
        "`upload` ones have large bodies and are sent to another failure "
        "domain only if a server there is much faster.",
        choices=KINDS,
    )
    timeout_ms: float = option(
        "Time in ms until the deadline of a request; a caller may set a "
        "shorter one.",
        minimum=1,
    )
    target_ms: float = option(
        "Time in ms within which answers should arrive; 0 means `timeout_ms`.",
        0.0,
        minimum=0,
    )
    priority: int = option(
        "Priority of the route, 0 is the highest; stored but not evaluated.",
        0,
        minimum=0,
    )
    most_attempts: int = option(
        "Most attempts for one request, the first included.", 2, minimum=1
    )
    targets: dict[str, float] = option(
        "Services with their weights; a service of weight 0 gets no requests, "
        "unless it is the only target.",
        minimum=0,
    )
    public: bool = option(
        "Whether requests need no key where the file has organisations.", False
    )


@attrs.frozen(kw_only=True)
class ServiceOptions:
    """Options of one service, `[services.NAME]`."""

    health_path: str = option(
        "Path of the health check, which also returns the load of a server; "
        "empty disables load queries.",
        "/healthz",
    )
    most_connections: int = option(
        "Connections that a server accepts from all entries together; 0 sets "
        "no limit.",
        0,
        minimum=0,
    )
    warmup_ms: float = option(
        "Time in ms for which a server is cold after its start.",
        0.0,
        minimum=0,
    )
    warmup_per_s: float = option(
        "Requests a second that a cold server takes from all entries "
        "together; 0 sets no limit.",
        0.0,
        minimum=0,
    )


@attrs.frozen(kw_only=True)
class OrganisationOptions:
    """Options of one organisation, `[organisations.NAME]`."""

    keys: tuple[str, ...] = option(
        "Keys that its callers send as `Authorization: Bearer KEY`; nobody can "
        "use an organisation without keys.",
        (),
        is_secret=True,
    )
    priority: int | None = option(
        "Priority of its requests, 0 is the highest; without it, that of the "
        "route.",
        None,
        minimum=0,
    )
    rate_per_s: float = option(
        "Requests a second over all entries together; 0 sets no limit.",
        0.0,
        minimum=0,
    )
    burst: float = option(
        "Requests beyond that rate that may come at once.", 0.0, minimum=0
    )


@attrs.frozen(kw_only=True)
class LimitOptions:
    """Limits on requests and connections of callers, `[limits]`."""

    header_bytes: int = option(
        "Largest request headers in bytes.", 16 * 1024, minimum=256
    )
    body_bytes: int = option(
        "Largest request body in bytes; 0 refuses every body.",
        64 * 1024 * 1024,
        minimum=0,
    )
    header_timeout_ms: float = option(
        "Time in ms within which the headers of a request must arrive.",
        3000.0,
        minimum=1,
    )
    idle_timeout_ms: float = option(
        "Time in ms without a request after which a connection is closed.",
        15_000.0,
        minimum=1,
    )


@attrs.frozen(kw_only=True)
class RouteFile:
    """Options of a route file."""

    number: int = option(
        "Number of this configuration; the highest is in force.",
        minimum=0,
        maximum=MAX_CONFIGURATION_NUMBER,
    )
    services: dict[str, ServiceOptions] = option("Services by name.")
    routes: dict[str, RouteOptions] = option("Routes by name.")
    limits: LimitOptions = option(
        "Limits on requests and connections of callers.", factory=LimitOptions
    )
    organisations: dict[str, OrganisationOptions] = option(
        "Organisations by name. If there are any, requests need a key of one "
        "of them, unless their route is public.",
        factory=dict,
    )


def parse_route_file(document: bytes) -> RouteConfiguration | ConfigErrors:
    """Parses and checks a route file.

    Returns:
        The configuration, or all problems with their options and lines.
    """
    try:
        text = document.decode("utf-8")
        table = tomllib.loads(text)
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return ConfigErrors((ConfigProblem("(file)", str(error)),))
    file = structure(table, RouteFile, text)
    if isinstance(file, ConfigErrors):
        return file
    configuration = _build_configuration(file)
    problems = [
        attrs.evolve(problem, line=find_line(text, problem.option))
        for problem in check_configuration(configuration)
    ]
    return ConfigErrors(tuple(problems)) if problems else configuration


def _build_configuration(file: RouteFile) -> RouteConfiguration:
    return RouteConfiguration(
        file.number,
        tuple(_build_route(name, route) for name, route in file.routes.items()),
        tuple(
            RoutedService(name, **attrs.asdict(service))
            for name, service in file.services.items()
        ),
        CallerLimits(**attrs.asdict(file.limits)),
        tuple(
            Organisation(
                name,
                tuple(digest_key(key.encode()) for key in organisation.keys),
                organisation.priority,
                organisation.rate_per_s,
                organisation.burst,
            )
            for name, organisation in file.organisations.items()
        ),
    )


def _build_route(name: str, options: RouteOptions) -> Route:
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
        is_public=options.public,
    )
