"""The declaration: what operators keep under version control and apply."""

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
    """One line of the price list."""

    name: str = option("Name of the tier, shown to callers.")
    max_wait_ms: float = option(
        "How long a caller of this tier agrees to wait.", minimum=1
    )
    price: float = option("Charged for each answered call.", minimum=0)


@attrs.frozen(kw_only=True)
class MeasuringSettings:
    """What measuring the servers may cost."""

    budget_ratio: float = option(
        "Share of a server's time that probes may take, over all entries.",
        0.001,
        minimum=0,
        maximum=0.5,
    )
    probe_cost_ms: float = option(
        "Time that one probe takes of a server.", 6.0, minimum=0.01
    )
    silence_ms: float = option(
        "Time without an answer after which a server is in doubt.",
        1000.0,
        minimum=10,
    )


@attrs.frozen(kw_only=True)
class ServiceSettings:
    """One service and its limits."""

    default_max_wait_ms: float = option(
        "Deadline of a call that names none.", 5000.0, minimum=1
    )
    request_limit_bytes: int = option(
        "Largest request body.", 16 * 1024 * 1024, minimum=1
    )
    answer_limit_bytes: int = option(
        "Largest answer body.", 16 * 1024 * 1024, minimum=1
    )
    idempotent_methods: tuple[str, ...] = option(
        "Methods whose requests may be repeated.",
        ("GET", "HEAD", "PUT", "DELETE", "OPTIONS"),
    )
    retry_budget_ratio: float = option(
        "Retries allowed as a share of calls.", 0.1, minimum=0, maximum=1
    )
    max_queued_calls: int = option(
        "Calls that may wait at one entry.", 256, minimum=0
    )
    server_lease_ms: int = option(
        "How long an announcement holds without a heartbeat.",
        2500,
        minimum=100,
    )
    expected_service_ms: float = option(
        "Time of an ordinary call, until it is measured.", 10.0, minimum=0.1
    )
    connection_silence_ms: float = option(
        "Silence of a connection with work outstanding before it is doubted.",
        3000.0,
        minimum=10,
    )
    reuse_unnamed_connections: bool = option(
        "Send further requests on a connection whose server does not echo "
        "the request id; without it, a late second answer of such a server "
        "can never be taken for the next one's, at the cost of a connection "
        "for each call.",
        False,
    )
    timed_keys_only: bool = option(
        "Refuse idempotency keys that are not UUIDs of version 7.", False
    )


@attrs.frozen(kw_only=True)
class Declaration:
    """All that operators declare."""

    tiers: tuple[TierSettings, ...] = option("The price list.")
    services: dict[str, ServiceSettings] = option("The services by name.")
    measuring: MeasuringSettings = option(
        "What measuring may cost.", factory=MeasuringSettings
    )
    claim_retention_ms: int = option(
        "How long an idempotency key is remembered.",
        24 * 3600 * 1000,
        minimum=1000,
    )
    quarantine_ms: int = option(
        "How long a request that crashed two servers is refused.",
        600_000,
        minimum=1000,
    )


def parse_declaration(text: str) -> Declaration | ConfigErrors:
    """Parses and checks a declaration.

    Returns:
        The declaration, or every problem with its option and line.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return ConfigErrors((ConfigProblem("(file)", str(error)),))
    declaration = structure(table, Declaration, text)
    if isinstance(declaration, ConfigErrors):
        return declaration
    problems = _check_tiers(declaration.tiers) + _check_names(declaration)
    if problems:
        return ConfigErrors(tuple(problems))
    return declaration


def _check_tiers(tiers: tuple[TierSettings, ...]) -> list[ConfigProblem]:
    if not tiers:
        return [ConfigProblem("tiers", "must hold at least one tier")]
    problems = []
    if len({tier.name for tier in tiers}) != len(tiers):
        problems.append(ConfigProblem("tiers", "names must be unique"))
    ordered = sorted(tiers, key=lambda tier: tier.max_wait_ms)
    for quick, patient in zip(ordered, ordered[1:], strict=False):
        if quick.max_wait_ms == patient.max_wait_ms:
            reason = f"{quick.name} and {patient.name} wait equally long"
            problems.append(ConfigProblem("tiers", reason))
        if patient.price > quick.price:
            reason = (
                f"{patient.name} waits longer than {quick.name} but pays more"
            )
            problems.append(ConfigProblem("tiers", reason))
    return problems


def _check_names(declaration: Declaration) -> list[ConfigProblem]:
    reserved = {"gentianwall", "prices", "livez", "readyz"}
    return [
        ConfigProblem(f"services.{name}", "this name is reserved")
        for name in declaration.services
        if name in reserved
    ]
