"""Reviews a route configuration before it is sent.

Errors are those for which control instances refuse a configuration. Warnings
name parts that are valid but have no effect or contradict each other.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable

import attrs

from gentianwall.config.routes import (
    CallerLimits,
    Organisation,
    Route,
    RouteConfiguration,
    RoutedService,
)
from gentianwall.config.schema import ConfigErrors
from gentianwall.routing.routes import RouteTable

# Values of a field as shown in a change.
Value = str | int | float | bool | None
Part = Route | RoutedService | Organisation | CallerLimits


class Severity(enum.Enum):
    """Severity of a finding."""

    ERROR = "error"
    WARNING = "warning"
    INFORMATION = "information"


class ChangeKind(enum.Enum):
    """What becomes of a part of the configuration in force."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen
class Finding:
    """A finding about one option.

    Attributes:
        severity: Severity of the finding.
        option: Dotted path of the option or table, such as `services.stampa`.
        reason: Description of the finding.
        line: Line number in the file, from 1; 0 if unknown.
    """

    severity: Severity
    option: str
    reason: str
    line: int = 0


@attrs.frozen
class FieldChange:
    """Old and new value of a field."""

    field: str
    old: Value
    new: Value


@attrs.frozen
class Change:
    """Difference in a route, service or organisation, or in the limits.

    Attributes:
        kind: What becomes of the part.
        part: Dotted path of the part, such as `routes.orders`.
        fields: Changed fields, if the part exists in both configurations.
        keys_added: Number of keys that an organisation gains.
        keys_removed: Number of keys that an organisation loses.
    """

    kind: ChangeKind
    part: str
    fields: tuple[FieldChange, ...] = ()
    keys_added: int = 0
    keys_removed: int = 0


@attrs.frozen
class Review:
    """Result of a review.

    Attributes:
        number: Number of the configuration; None if it is invalid.
        number_in_force: Number of the configuration that it was compared
            with, if any.
        findings: All findings, errors first.
        changes: Differences from the configuration that it was compared with.
    """

    number: int | None
    number_in_force: int | None = None
    findings: tuple[Finding, ...] = ()
    changes: tuple[Change, ...] = ()

    def has(self, severity: Severity) -> bool:
        """Whether a finding has the given severity."""
        return any(finding.severity is severity for finding in self.findings)


def make_findings(
    errors: ConfigErrors, option_prefix: str = ""
) -> tuple[Finding, ...]:
    """Converts the problems of an invalid configuration to findings."""
    return tuple(
        Finding(
            Severity.ERROR,
            f"{option_prefix}{problem.option}",
            problem.reason,
            problem.line,
        )
        for problem in errors.problems
    )


def review_configuration(
    configuration: RouteConfiguration,
    in_force: RouteConfiguration | None = None,
) -> Review:
    """Reviews a valid configuration.

    Args:
        configuration: The configuration to review.
        in_force: The configuration to compare it with, if any.
    """
    findings: list[Finding] = []
    if in_force is not None and configuration.number <= in_force.number:
        reason = (
            f"must be above {in_force.number}, the number in force, got "
            f"{configuration.number}"
        )
        findings.append(Finding(Severity.ERROR, "number", reason))
    findings += _review_routes(configuration)
    findings += _review_services(configuration)
    findings += _review_limits(configuration.limits)
    for organisation in configuration.organisations:
        findings += _review_organisation(organisation)
    return Review(
        configuration.number,
        None if in_force is None else in_force.number,
        tuple(findings),
        () if in_force is None else find_changes(in_force, configuration),
    )


def locate_findings(review: Review, find_line: Callable[[str], int]) -> Review:
    """Adds the lines of findings that have none.

    Args:
        review: The review.
        find_line: Returns the line that sets an option, or 0. An option that
            the file does not set has the line of its table.
    """

    def locate(finding: Finding) -> Finding:
        table = finding.option.rpartition(".")[0]
        line = (
            finding.line
            or find_line(finding.option)
            or (find_line(table) if table else 0)
        )
        return attrs.evolve(finding, line=line)

    return attrs.evolve(
        review, findings=tuple(locate(finding) for finding in review.findings)
    )


def _warning(option: str, reason: str) -> Finding:
    return Finding(Severity.WARNING, option, reason)


def _review_routes(configuration: RouteConfiguration) -> list[Finding]:
    findings = []
    table = RouteTable(configuration)
    for route in configuration.routes:
        path = f"routes.{route.name}"
        # `find` takes what follows the last colon of a host for a port.
        used = table.find(f"{route.host}:0", route.path_prefix)
        if used is not None and used is not route:
            reason = (
                f"never matches: {used.name!r} has the same host and path "
                "prefix and is used"
            )
            findings.append(_warning(path, reason))
        if len(route.targets) > 1 and not any(
            target.weight > 0 for target in route.targets
        ):
            reason = "all weights are 0, no service gets requests"
            findings.append(_warning(f"{path}.targets", reason))
        if route.target_ms > route.timeout_ms:
            reason = (
                f"{route.target_ms:g} ms is above the timeout of "
                f"{route.timeout_ms:g} ms"
            )
            findings.append(_warning(f"{path}.target_ms", reason))
        if route.is_public and configuration.organisations:
            reason = "is public: its requests need no key"
            findings.append(
                Finding(Severity.INFORMATION, f"{path}.public", reason)
            )
    return findings


def _review_services(configuration: RouteConfiguration) -> list[Finding]:
    findings = []
    routed = {
        target.service
        for route in configuration.routes
        for target in route.targets
    }
    for service in configuration.services:
        path = f"services.{service.name}"
        if service.name not in routed:
            findings.append(_warning(path, "no route has it as a target"))
        if service.warmup_per_s > 0 and service.warmup_ms <= 0:
            reason = (
                "is set without a warm-up time: it limits only servers that "
                "state that they are cold"
            )
            findings.append(_warning(f"{path}.warmup_per_s", reason))
    return findings


def _review_limits(limits: CallerLimits) -> list[Finding]:
    if limits.idle_timeout_ms >= limits.header_timeout_ms:
        return []
    reason = (
        f"{limits.idle_timeout_ms:g} ms is below the header timeout of "
        f"{limits.header_timeout_ms:g} ms"
    )
    return [_warning("limits.idle_timeout_ms", reason)]


def _review_organisation(organisation: Organisation) -> list[Finding]:
    findings = []
    path = f"organisations.{organisation.name}"
    if not organisation.key_digests:
        reason = "has no keys, nobody can use it"
        findings.append(_warning(f"{path}.keys", reason))
    if len(set(organisation.key_digests)) < len(organisation.key_digests):
        findings.append(_warning(f"{path}.keys", "contains a key twice"))
    rate_per_s, burst = organisation.rate_per_s, organisation.burst
    if burst > 0 and rate_per_s <= 0:
        reason = f"{burst:g} has no effect without a rate"
        findings.append(_warning(f"{path}.burst", reason))
    if burst < rate_per_s:
        reason = f"{burst:g} is below one second of the rate, {rate_per_s:g}"
        findings.append(_warning(f"{path}.burst", reason))
    return findings


def find_changes(
    old: RouteConfiguration, new: RouteConfiguration
) -> tuple[Change, ...]:
    """Returns the differences between two configurations, without keys."""
    old_parts, new_parts = _parts_by_path(old), _parts_by_path(new)
    changes = []
    for path in old_parts | new_parts:
        change = _find_change(path, old_parts.get(path), new_parts.get(path))
        if change is not None:
            changes.append(change)
    return tuple(changes)


def _parts_by_path(configuration: RouteConfiguration) -> dict[str, Part]:
    parts: dict[str, Part] = {}
    for section in ("routes", "services", "organisations"):
        counts: Counter[str] = Counter()
        for part in getattr(configuration, section):
            counts[part.name] += 1
            # The users' platform accepts routes and services of one name.
            count = counts[part.name]
            suffix = f" ({count})" if count > 1 else ""
            parts[f"{section}.{part.name}{suffix}"] = part
    parts["limits"] = configuration.limits
    return parts


def _find_change(
    path: str, old: Part | None, new: Part | None
) -> Change | None:
    old_keys, new_keys = _count_keys(old), _count_keys(new)
    keys_added = (new_keys - old_keys).total()
    keys_removed = (old_keys - new_keys).total()
    if old is None:
        return Change(ChangeKind.ADDED, path, (), keys_added, keys_removed)
    if new is None:
        return Change(ChangeKind.REMOVED, path, (), keys_added, keys_removed)
    old_values, new_values = _show_values(old), _show_values(new)
    fields = tuple(
        FieldChange(field, old_values[field], value)
        for field, value in new_values.items()
        if value != old_values[field]
    )
    if not fields and not keys_added and not keys_removed:
        return None
    return Change(ChangeKind.CHANGED, path, fields, keys_added, keys_removed)


def _count_keys(part: Part | None) -> Counter[bytes]:
    is_organisation = isinstance(part, Organisation)
    return Counter(part.key_digests if is_organisation else ())


def _show_values(part: Part) -> dict[str, Value]:
    """Returns the values of all fields, except for the name and keys."""
    values: dict[str, Value] = {}
    for field in attrs.fields(type(part)):
        value = getattr(part, field.name)
        match field.name:
            case "name" | "key_digests":
                continue
            case "kind":
                values[field.name] = value.value
            case "targets":
                values[field.name] = ", ".join(
                    f"{target.service} = {target.weight}" for target in value
                )
            case "is_public":
                values["public"] = value
            case _:
                values[field.name] = value
    return values
