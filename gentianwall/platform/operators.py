"""The platform's operators: configurations as they put and read them."""

from __future__ import annotations

import json
from typing import Any

from gentianwall.config.routes import (
    CallerLimits,
    Route,
    RouteConfiguration,
    RoutedService,
    RouteKind,
    RouteTarget,
    check_configuration,
)
from gentianwall.config.schema import ConfigErrors, ConfigProblem

VERSION_TAG = "r"
# Whatever has no more digits fits the 64 bits that replicas store.
MAX_DIGITS = 18
MAX_AMOUNT = 2.0**62
KINDS = {
    "safe": RouteKind.SAFE,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "upload": RouteKind.UPLOAD,
}


class _UnreadableError(Exception):
    """A part of a configuration that cannot be read."""

    def __init__(self, option: str, reason: str):
        super().__init__(reason)
        self.problem = ConfigProblem(option, reason)


def decode_configuration(body: bytes) -> RouteConfiguration | ConfigErrors:
    """Reads a complete configuration and checks that it is valid."""
    try:
        document = json.loads(body)
        configuration = _configuration(document)
    except (ValueError, RecursionError) as error:
        return ConfigErrors((ConfigProblem("(body)", str(error)),))
    except _UnreadableError as error:
        return ConfigErrors((error.problem,))
    problems = check_configuration(configuration)
    return ConfigErrors(tuple(problems)) if problems else configuration


def _configuration(document: Any) -> RouteConfiguration:
    if not isinstance(document, dict):
        raise _UnreadableError("(body)", "must be an object")
    routes, services, limits = [], [], CallerLimits()
    for item in _get(document, "resources", list, "(body)"):
        if not isinstance(item, dict):
            raise _UnreadableError("resources", "must hold objects")
        kind = _get(item, "type", str, "resources")
        spec = _get(item, "spec", dict, kind)
        metadata = item.get("metadata") or {}
        name = metadata.get("name", "") if isinstance(metadata, dict) else ""
        match kind:
            case "routes":
                routes.append(_route(str(name), spec))
            case "services":
                services.append(_service(str(name), spec))
            case "limits":
                limits = _limits(spec)
            case _:
                raise _UnreadableError("resources.type", f"unknown: {kind!r}")
    return RouteConfiguration(
        _number(_get(document, "version", str, "(body)")),
        tuple(routes),
        tuple(services),
        limits,
    )


def _number(version: str) -> int:
    digits = version.removeprefix(VERSION_TAG)
    is_number = digits.isascii() and digits.isdecimal()
    is_short = len(digits) <= MAX_DIGITS
    if not (version.startswith(VERSION_TAG) and is_number and is_short):
        raise _UnreadableError(
            "version", f"must be r and a number, not {version!r}"
        )
    return int(digits)


def _route(name: str, spec: dict) -> Route:
    where = f"routes.{name}"
    kind = _get(spec, "routeType", str, where)
    if kind not in KINDS:
        raise _UnreadableError(f"{where}.routeType", f"unknown: {kind!r}")
    timeout_ms = _amount(spec, "timeoutMs", where, 60_000.0)
    return Route(
        name=name,
        host=_get(spec, "host", str, where).lower(),
        path_prefix=_get(spec, "pathPrefix", str, where),
        kind=KINDS[kind],
        timeout_ms=timeout_ms,
        target_ms=_amount(spec, "targetLatencyMs", where, timeout_ms),
        priority=int(_amount(spec, "priority", where, 0)),
        most_attempts=max(1, int(_amount(spec, "maxAttempts", where, 1))),
        targets=_targets(spec, where),
    )


def _targets(spec: dict, where: str) -> tuple[RouteTarget, ...]:
    if "trafficSplit" not in spec:
        return (RouteTarget(_get(spec, "service", str, where), 1.0),)
    targets = []
    for part in _get(spec, "trafficSplit", list, where):
        if not isinstance(part, dict):
            raise _UnreadableError(f"{where}.trafficSplit", "must hold objects")
        service = _get(part, "service", str, where)
        targets.append(RouteTarget(service, _amount(part, "weight", where, 1)))
    return tuple(targets)


def _service(name: str, spec: dict) -> RoutedService:
    where = f"services.{name}"
    health_path = spec.get("healthPath") or ""
    if not isinstance(health_path, str):
        raise _UnreadableError(f"{where}.healthPath", "must be text")
    most = int(_amount(spec, "maxConns", where, 0))
    return RoutedService(name, health_path, most)


def _limits(spec: dict) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        int(_amount(spec, "maxHeaderBytes", "limits", usual.header_bytes)),
        int(_amount(spec, "maxBodyBytes", "limits", usual.body_bytes)),
        _amount(spec, "headerTimeoutMs", "limits", usual.header_timeout_ms),
        _amount(spec, "idleTimeoutMs", "limits", usual.idle_timeout_ms),
    )


def _get(table: dict, key: str, kind: type, where: str) -> Any:
    value = table.get(key)
    if not isinstance(value, kind):
        raise _UnreadableError(f"{where}.{key}", f"must be {kind.__name__}")
    return value


def _amount(table: dict, key: str, where: str, usual: float) -> float:
    value = table.get(key, usual)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not abs(value) <= MAX_AMOUNT:
        raise _UnreadableError(
            f"{where}.{key}", f"must be a number, not {value!r}"
        )
    return float(value)
