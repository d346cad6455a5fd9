"""The numbered configuration: routes, services and limits for callers."""

from __future__ import annotations

import enum
import hashlib
import math
import re

import attrs

from gentianwall.config.schema import ConfigProblem

# A target time this far above the timeout is taken for a wrong unit.
MAX_TARGET_OVER_TIMEOUT_MS = 60_000.0
# Servers receive the name in a header, and peers receive it within the limit
# for the headers of relayed requests.
MAX_ORGANISATION_NAME_BYTES = 256
# Printable ASCII without spaces at its ends, which parsers of headers remove.
_ORGANISATION_NAME = re.compile(r"[!-~](?:[ -~]*[!-~])?")


def digest_key(key: bytes) -> bytes:
    """Returns the digest of a key by which it is stored and looked up."""
    return hashlib.sha256(key).digest()


_EMPTY_KEY_DIGEST = digest_key(b"")


class RouteKind(enum.Enum):
    """Kind of a route, which determines retries and placement."""

    SAFE = "safe"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"
    DOWNLOAD = "download"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        return self in (RouteKind.SAFE, RouteKind.DOWNLOAD)


@attrs.frozen
class RouteTarget:
    """A service of a route with its share of the requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Targets and time limits of the requests for a host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host whose requests the route matches, in lower case.
        path_prefix: Prefix of the paths that the route matches.
        kind: Kind of the requests; only safe ones and downloads may be
            executed more than once.
        timeout_ms: Time until the deadline; a caller may set a shorter one.
        target_ms: Time within which answers should arrive.
        priority: Priority, 0 is the highest.
        most_attempts: Most attempts for one request, the first included.
        targets: Services with their weights.
        is_public: Whether requests need no key of an organisation.
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
    is_public: bool = False


@attrs.frozen
class RoutedService:
    """A service of a route configuration.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check; empty for none.
        most_connections: Connections that a server accepts from all entries
            together; 0 means no limit.
        warmup_ms: Time for which a server is cold after its start.
        warmup_per_s: Requests a second that a cold server takes from all
            entries together; 0 means no limit.
    """

    name: str
    health_path: str
    most_connections: int
    warmup_ms: float = 0.0
    warmup_per_s: float = 0.0


@attrs.frozen
class Organisation:
    """An organisation, whose callers identify themselves by its keys.

    Attributes:
        name: Name of the organisation, which servers receive.
        key_digests: SHA-256 digests of its keys.
        priority: Priority of its requests, 0 is the highest; None for that of
            the route.
        rate_per_s: Requests a second over all entries together; 0 means no
            limit.
        burst: Requests beyond that rate that may come at once.
    """

    name: str
    key_digests: tuple[bytes, ...] = attrs.field(default=(), repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@attrs.frozen
class CallerLimits:
    """Limits on the size and duration of requests and on idle connections."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen
class RouteConfiguration:
    """One numbered configuration; the highest number is in force.

    Attributes:
        number: Version number, chosen by the operator.
        routes: All routes.
        services: All services.
        limits: Limits on requests and connections of callers.
        organisations: Organisations; if there are any, requests of routes that
            are not public need a key of one of them.
    """

    number: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] = ()


def check_configuration(
    configuration: RouteConfiguration,
) -> list[ConfigProblem]:
    """Returns all problems of a configuration."""
    services = {service.name for service in configuration.services}
    problems = []
    for route in configuration.routes:
        problems += _check_route(route, services)
    for service in configuration.services:
        service_path = f"services.{service.name}"
        for option in ("warmup_ms", "warmup_per_s"):
            problems += _check_not_negative(service, option, service_path)
    return problems + _check_organisations(configuration.organisations)


def _check_organisations(
    organisations: tuple[Organisation, ...],
) -> list[ConfigProblem]:
    problems = []
    names: set[str] = set()
    name_by_digest: dict[bytes, str] = {}
    for organisation in organisations:
        path = f"organisations.{organisation.name}"
        if organisation.name in names:
            problems.append(
                ConfigProblem(f"{path}.name", "two organisations have it")
            )
        names.add(organisation.name)
        if not _is_organisation_name(organisation.name):
            reason = (
                f"must be 1 to {MAX_ORGANISATION_NAME_BYTES} printable ASCII "
                "characters without a space at either end"
            )
            problems.append(ConfigProblem(f"{path}.name", reason))
        for option in ("priority", "rate_per_s", "burst"):
            problems += _check_not_negative(organisation, option, path)
        for digest in organisation.key_digests:
            owner = name_by_digest.setdefault(digest, organisation.name)
            if owner != organisation.name:
                reason = f"shares a key with the organisation {owner!r}"
                problems.append(ConfigProblem(f"{path}.keys", reason))
            if digest == _EMPTY_KEY_DIGEST:
                reason = "must not contain an empty key"
                problems.append(ConfigProblem(f"{path}.keys", reason))
    return problems


def _is_organisation_name(name: str) -> bool:
    return (
        len(name) <= MAX_ORGANISATION_NAME_BYTES
        and _ORGANISATION_NAME.fullmatch(name) is not None
    )


def _check_not_negative(
    part: RoutedService | Organisation, option: str, path: str
) -> list[ConfigProblem]:
    number = getattr(part, option)
    if number is None or (math.isfinite(number) and number >= 0):
        return []
    reason = f"must be a finite number of at least 0, got {number:g}"
    return [ConfigProblem(f"{path}.{option}", reason)]


def _check_route(route: Route, services: set[str]) -> list[ConfigProblem]:
    route_path = f"routes.{route.name}"
    problems = []
    numbers = [route.timeout_ms, route.target_ms]
    numbers += [target.weight for target in route.targets]
    if not all(math.isfinite(number) for number in numbers):
        problems.append(ConfigProblem(route_path, "all numbers must be finite"))
    if not route.host:
        problems.append(
            ConfigProblem(f"{route_path}.host", "must not be empty")
        )
    if not route.path_prefix.startswith("/"):
        reason = f"must begin with a slash, got {route.path_prefix!r}"
        problems.append(ConfigProblem(f"{route_path}.path_prefix", reason))
    if route.timeout_ms <= 0:
        reason = f"must be above 0, got {route.timeout_ms:g} ms"
        problems.append(ConfigProblem(f"{route_path}.timeout_ms", reason))
    if route.target_ms >= route.timeout_ms + MAX_TARGET_OVER_TIMEOUT_MS:
        reason = f"{route.target_ms:g} ms is 60 s or more above the timeout"
        problems.append(ConfigProblem(f"{route_path}.target_ms", reason))
    if not route.targets:
        reason = "must name at least one service"
        problems.append(ConfigProblem(f"{route_path}.targets", reason))
    for target in route.targets:
        if target.service not in services:
            reason = f"names an unknown service {target.service!r}"
            problems.append(ConfigProblem(f"{route_path}.targets", reason))
        if target.weight < 0:
            reason = f"must be at least 0, got {target.weight:g}"
            problems.append(ConfigProblem(f"{route_path}.weight", reason))
    return problems
