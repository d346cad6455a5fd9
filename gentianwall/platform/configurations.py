"""Decodes the configurations that the platform's operators submit."""

from __future__ import annotations

from typing import Any

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
from gentianwall.config.schema import ConfigErrors, ConfigProblem
from gentianwall.http.documents import UnreadableDocument, decode_document

VERSION_PREFIX = "r"
# Numbers of up to 18 digits fit into the 64-bit integers of the replicas.
MAX_VERSION_DIGITS = 18
# Largest absolute value of a number, so that those converted to integers fit
# into 64 bits as well.
MAX_NUMBER = 2.0**62
KIND_BY_WIRE_NAME = {
    "safe": RouteKind.SAFE,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "upload": RouteKind.UPLOAD,
    "download": RouteKind.DOWNLOAD,
}
# Names on the wire of options that the checks of configurations name.
WIRE_NAME_BY_OPTION = {
    "keys": "apiKeys",
    "rate_per_s": "ratePerS",
    "warmup_ms": "warmupS",
    "warmup_per_s": "warmupPerS",
}


class _InvalidDocumentError(Exception):
    """Raised for a malformed part of a configuration document."""

    def __init__(self, option: str, reason: str):
        super().__init__(reason)
        self.problem = ConfigProblem(option, reason)


def decode_configuration(body: bytes) -> RouteConfiguration | ConfigErrors:
    """Decodes a complete configuration and checks that it is valid."""
    document = decode_document(body)
    if isinstance(document, UnreadableDocument):
        return ConfigErrors((ConfigProblem("(body)", document.reason),))
    try:
        configuration = _read_configuration(document)
    except _InvalidDocumentError as error:
        return ConfigErrors((error.problem,))
    problems = [
        _with_wire_names(problem)
        for problem in check_configuration(configuration)
    ]
    return ConfigErrors(tuple(problems)) if problems else configuration


def _with_wire_names(problem: ConfigProblem) -> ConfigProblem:
    return attrs.evolve(problem, option=to_wire_option(problem.option))


def to_wire_option(option: str) -> str:
    """Returns the path of an option with its names on the wire."""
    path, dot, name = option.rpartition(".")
    if option.startswith("organisations."):
        path = f"tenants{path.removeprefix('organisations')}"
    # A path of two names, such as `services.keys`, does not end in an option.
    if "." in path:
        name = WIRE_NAME_BY_OPTION.get(name, name)
    return f"{path}{dot}{name}"


def _read_configuration(document: dict[str, Any]) -> RouteConfiguration:
    routes, services, limits = [], [], CallerLimits()
    organisations = []
    for item in _read_value(document, "resources", list, "(body)"):
        if not isinstance(item, dict):
            raise _InvalidDocumentError(
                "resources", "must contain only objects"
            )
        resource_type = _read_value(item, "type", str, "resources")
        spec = _read_value(item, "spec", dict, resource_type)
        metadata = item.get("metadata") or {}
        name = metadata.get("name", "") if isinstance(metadata, dict) else ""
        match resource_type:
            case "routes":
                routes.append(_read_route(str(name), spec))
            case "services":
                services.append(_read_service(str(name), spec))
            case "limits":
                limits = _read_limits(spec)
            case "tenants":
                organisations.append(_read_organisation(str(name), spec))
            case _:
                raise _InvalidDocumentError(
                    "resources.type", f"unknown type {resource_type!r}"
                )
    return RouteConfiguration(
        _parse_version(_read_value(document, "version", str, "(body)")),
        tuple(routes),
        tuple(services),
        limits,
        tuple(organisations),
    )


def _parse_version(version: str) -> int:
    """Returns the number of a configuration, for example 7 for `r7`."""
    digits = version.removeprefix(VERSION_PREFIX)
    is_number = digits.isascii() and digits.isdecimal()
    is_in_range = len(digits) <= MAX_VERSION_DIGITS
    if not (version.startswith(VERSION_PREFIX) and is_number and is_in_range):
        raise _InvalidDocumentError(
            "version", f"must be r and 1 to 18 digits, got {version!r}"
        )
    return int(digits)


def _read_route(name: str, spec: dict) -> Route:
    path = f"routes.{name}"
    kind = _read_value(spec, "routeType", str, path)
    if kind not in KIND_BY_WIRE_NAME:
        raise _InvalidDocumentError(
            f"{path}.routeType", f"unknown type {kind!r}"
        )
    timeout_ms = _read_number(spec, "timeoutMs", path, 60_000.0)
    return Route(
        name=name,
        host=_read_value(spec, "host", str, path).lower(),
        path_prefix=_read_value(spec, "pathPrefix", str, path),
        kind=KIND_BY_WIRE_NAME[kind],
        timeout_ms=timeout_ms,
        target_ms=_read_number(spec, "targetLatencyMs", path, timeout_ms),
        priority=int(_read_number(spec, "priority", path, 0)),
        # `maxAttempts` includes the first attempt; less than 1 is read as 1.
        most_attempts=max(1, int(_read_number(spec, "maxAttempts", path, 1))),
        targets=_read_targets(spec, path),
        is_public=spec.get("public") is True,
    )


def _read_targets(spec: dict, path: str) -> tuple[RouteTarget, ...]:
    if not spec.get("trafficSplit"):
        return (RouteTarget(_read_value(spec, "service", str, path), 1.0),)
    targets = []
    for part in _read_value(spec, "trafficSplit", list, path):
        if not isinstance(part, dict):
            raise _InvalidDocumentError(
                f"{path}.trafficSplit", "must contain only objects"
            )
        service = _read_value(part, "service", str, path)
        targets.append(
            RouteTarget(service, _read_number(part, "weight", path, 1))
        )
    return tuple(targets)


def _read_service(name: str, spec: dict) -> RoutedService:
    path = f"services.{name}"
    health_path = spec.get("healthPath") or ""
    if not isinstance(health_path, str):
        raise _InvalidDocumentError(f"{path}.healthPath", "must be a string")
    most_connections = int(_read_number(spec, "maxConns", path, 0))
    return RoutedService(
        name,
        health_path,
        most_connections,
        1000.0 * _read_number(spec, "warmupS", path, 0),
        _read_number(spec, "warmupPerS", path, 0),
    )


def _read_organisation(name: str, spec: dict) -> Organisation:
    path = f"tenants.{name}"
    keys = spec.get("apiKeys") or []
    # The reason does not show the value, which may be a key.
    if not isinstance(keys, list) or not all(isinstance(k, str) for k in keys):
        raise _InvalidDocumentError(
            f"{path}.apiKeys", "must be a list of strings"
        )
    has_priority = spec.get("priority") is not None
    return Organisation(
        name,
        tuple(digest_key(key.encode("utf-8", "surrogatepass")) for key in keys),
        int(_read_number(spec, "priority", path, 0)) if has_priority else None,
        _read_number(spec, "ratePerS", path, 0),
        _read_number(spec, "burst", path, 0),
    )


def _read_limits(spec: dict) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        int(
            _read_number(
                spec, "maxHeaderBytes", "limits", defaults.header_bytes
            )
        ),
        int(_read_number(spec, "maxBodyBytes", "limits", defaults.body_bytes)),
        _read_number(
            spec, "headerTimeoutMs", "limits", defaults.header_timeout_ms
        ),
        _read_number(spec, "idleTimeoutMs", "limits", defaults.idle_timeout_ms),
    )


def _read_value(table: dict, key: str, expected_type: type, path: str) -> Any:
    value = table.get(key)
    if not isinstance(value, expected_type):
        raise _InvalidDocumentError(
            f"{path}.{key}", f"must be of type {expected_type.__name__}"
        )
    return value


def _read_number(table: dict, key: str, path: str, default: float) -> float:
    value = table.get(key, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not abs(value) <= MAX_NUMBER:
        raise _InvalidDocumentError(
            f"{path}.{key}",
            f"must be a number from -2**62 to 2**62, got {value!r}",
        )
    return float(value)
