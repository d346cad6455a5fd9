"""The declaration of tiers and services that operators apply."""

from __future__ import annotations

import tomllib

import attrs

from gentianwall.config.schema import (
    ConfigErrors,
    ConfigProblem,
    option,
    structure,
)


@attrs.frozen(kw_only=True)
class TierSettings:
    """One price tier."""

    name: str = option("Name of the tier, shown to callers.")
    max_wait_ms: float = option(
        "Wait in ms that a caller accepts in this tier; a call gets the "
        "cheapest tier whose wait does not exceed its own, or the tier with "
        "the shortest wait if there is none.",
        minimum=1,
    )
    price: float = option(
        "Price of an answered call; answers with status 500 and above are "
        "free. 0 makes the whole tier free.",
        minimum=0,
    )


@attrs.frozen(kw_only=True)
class MeasuringSettings:
    """Limits on probes of the servers."""

    budget_ratio: float = option(
        "Share of a server's time that probes of all entries together may "
        "take; 0 sends no probes.",
        0.001,
        minimum=0,
        maximum=0.5,
    )
    probe_cost_ms: float = option(
        "Service time of one probe in ms, charged to the probe budget.",
        6.0,
        minimum=0.01,
    )
    silence_ms: float = option(
        "Time in ms without an answer after which an idle server is probed.",
        1000.0,
        minimum=10,
    )


@attrs.frozen(kw_only=True)
class ServiceSettings:
    """Settings and limits of one service."""

    default_max_wait_ms: float = option(
        "Time in ms until the deadline of a call that sets no wait.",
        5000.0,
        minimum=1,
    )
    request_limit_bytes: int = option(
        "Largest request body in bytes.", 16 * 1024 * 1024, minimum=1
    )
    answer_limit_bytes: int = option(
        "Largest answer body in bytes.", 16 * 1024 * 1024, minimum=1
    )
    idempotent_methods: tuple[str, ...] = option(
        "HTTP methods whose requests may be executed more than once.",
        ("GET", "HEAD", "PUT", "DELETE", "OPTIONS"),
    )
    retry_budget_ratio: float = option(
        "Retries allowed per call at one entry, as an average; up to 10 unused "
        "retries accumulate and are available at the start.",
        0.1,
        minimum=0,
        maximum=1,
    )
    max_queued_calls: int = option(
        "Calls that may be queued at one entry; 0 refuses every call that "
        "would have to wait.",
        256,
        minimum=0,
    )
    server_lease_ms: int = option(
        "Lease of an announced server in ms; it expires if no heartbeat renews "
        "it.",
        2500,
        minimum=100,
    )
    expected_service_ms: float = option(
        "Initial estimate in ms of the average service time, used until calls "
        "have been measured.",
        10.0,
        minimum=0.1,
    )
    connection_silence_ms: float = option(
        "Time in ms without data on a connection with an outstanding call "
        "after which the server is tested with a new connection; must exceed "
        "the longest service time.",
        3000.0,
        minimum=10,
    )
    reuse_unnamed_connections: bool = option(
        "Reuse connections of a server that does not echo the request id. If "
        "false, each call to such a server takes a new connection, and a late "
        "second answer is never mistaken for the answer to the next call.",
        False,
    )
    timed_keys_only: bool = option(
        "Refuse idempotency keys that are not UUIDs of version 7, which "
        "contain their time.",
        False,
    )


@attrs.frozen(kw_only=True)
class Declaration:
    """The declaration, the same for all instances."""

    tiers: tuple[TierSettings, ...] = option("The price tiers.")
    services: dict[str, ServiceSettings] = option("The services by name.")
    measuring: MeasuringSettings = option(
        "Limits on probes of the servers.", factory=MeasuringSettings
    )
    claim_retention_ms: int = option(
        "Time in ms for which the claim of an idempotency key is kept.",
        24 * 3600 * 1000,
        minimum=1000,
    )
    quarantine_ms: int = option(
        "Time in ms for which a request that crashed two servers is refused.",
        600_000,
        minimum=1000,
    )


def parse_declaration(text: str) -> Declaration | ConfigErrors:
    """Parses and checks a declaration.

    Returns:
        The declaration, or all problems with their options and lines.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return ConfigErrors((ConfigProblem("(file)", str(error)),))
    declaration = structure(table, Declaration, text)
    if isinstance(declaration, ConfigErrors):
        return declaration
    problems = _check_tiers(declaration.tiers) + _check_service_names(
        declaration
    )
    if problems:
        return ConfigErrors(tuple(problems))
    return declaration


def _check_tiers(tiers: tuple[TierSettings, ...]) -> list[ConfigProblem]:
    if not tiers:
        return [ConfigProblem("tiers", "must contain at least one tier")]
    problems = []
    if len({tier.name for tier in tiers}) != len(tiers):
        problems.append(ConfigProblem("tiers", "tier names must be unique"))
    ordered = sorted(tiers, key=lambda tier: tier.max_wait_ms)
    for shorter, longer in zip(ordered, ordered[1:], strict=False):
        if shorter.max_wait_ms == longer.max_wait_ms:
            reason = (
                f"{shorter.name} and {longer.name} have the same max_wait_ms"
            )
            problems.append(ConfigProblem("tiers", reason))
        if longer.price > shorter.price:
            reason = (
                f"{longer.name} waits longer than {shorter.name} but pays more"
            )
            problems.append(ConfigProblem("tiers", reason))
    return problems


def _check_service_names(declaration: Declaration) -> list[ConfigProblem]:
    reserved = {"gentianwall", "prices", "livez", "readyz"}
    return [
        ConfigProblem(f"services.{name}", "this service name is reserved")
        for name in declaration.services
        if name in reserved
    ]
