"""Generates a declaration and settings from a team's questionnaire answers."""

from __future__ import annotations

import tomllib

import attrs
import tomli_w

from gentianwall.config.schema import (
    ConfigErrors,
    ConfigProblem,
    option,
    structure,
)

WEIGH_CHOICES = ("tail-latency", "measuring-cost")
CONTROL_COUNTS = (5, 3, 1)
BYTES_PER_MIB = 1024 * 1024
ENTRY_PORT = 9100
CONTROL_PORT = 9200
CALLERS_PORT = 8080
OPERATORS_PORT = 8081
CONTROL_OPERATORS_PORT = 8084
BASE_PRICE = 1.0


@attrs.frozen(kw_only=True)
class ServiceAnswers:
    """Answers about one service."""

    name: str = option("Name of the service, the first part of its paths.")
    usual_ms: float = option(
        "Typical service time of a call in ms.", 10.0, minimum=0.1
    )
    longest_ms: float = option(
        "Service time of the longest call in ms.", 2000.0, minimum=1
    )
    largest_mb: int = option(
        "Largest body of a request or answer in MiB.",
        16,
        minimum=1,
        maximum=512,
    )
    repeatable_methods: tuple[str, ...] = option(
        "HTTP methods whose requests may be executed more than once.",
        ("GET", "HEAD", "PUT", "DELETE", "OPTIONS"),
    )


@attrs.frozen(kw_only=True)
class CallerAnswers:
    """Answers about one kind of caller."""

    name: str = option("Name of the kind of caller and of its tier.")
    patience_ms: float = option(
        "Time in ms that a caller of this kind can wait.", minimum=1
    )
    price: float = option(
        "Price of an answered call; 0 derives it from the wait.",
        0.0,
        minimum=0,
    )


@attrs.frozen(kw_only=True)
class InstanceAnswers:
    """Answers about one instance."""

    name: str = option("Name of the instance.")
    host: str = option("IP address of the instance.")
    failure_domain: str = option("Failure domain of the instance.")
    has_disk: bool = option(
        "Whether the instance has a disk that survives a restart.", False
    )


@attrs.frozen(kw_only=True)
class Answers:
    """All answers of a team."""

    team: str = option("Name of the team.")
    weigh: str = option(
        "What matters more: a low tail latency or a low cost of measuring.",
        choices=WEIGH_CHOICES,
    )
    probe_cost_ms: float = option(
        "Service time of one probe in ms.", 1.0, minimum=0.01
    )
    measuring_share: float = option(
        "Share of a server's time that probes may take; 0 sends no probes.",
        0.001,
        minimum=0,
        maximum=0.5,
    )
    services: tuple[ServiceAnswers, ...] = option("The services.")
    callers: tuple[CallerAnswers, ...] = option("The kinds of caller.")
    instances: tuple[InstanceAnswers, ...] = option("The instances.")


@attrs.frozen
class GeneratedFiles:
    """Texts of the generated files by file name."""

    files: dict[str, str]


def parse_answers(text: str) -> Answers | ConfigErrors:
    """Parses and checks an answers file."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return ConfigErrors((ConfigProblem("(file)", str(error)),))
    answers = structure(table, Answers, text)
    if isinstance(answers, ConfigErrors):
        return answers
    problems = []
    for name in ("services", "callers", "instances"):
        if not getattr(answers, name):
            problems.append(ConfigProblem(name, "must not be empty"))
    if not any(instance.has_disk for instance in answers.instances):
        reason = "at least one instance must have a disk"
        problems.append(ConfigProblem("instances", reason))
    return ConfigErrors(tuple(problems)) if problems else answers


def generate_files(answers: Answers) -> GeneratedFiles:
    """Generates the declaration and the settings of every process."""
    files = {"declaration.toml": _declaration_text(answers)}
    processes = _process_tables(answers)
    for process in processes:
        settings = {
            "instance": process["name"],
            "data_folder": f"data-{process['name']}",
            "instances": processes,
        }
        files[f"{process['name']}.toml"] = tomli_w.dumps(settings)
    return GeneratedFiles(files)


def _declaration_text(answers: Answers) -> str:
    is_latency_preferred = answers.weigh == "tail-latency"
    table = {
        "tiers": _tier_tables(answers.callers),
        "measuring": {
            "budget_ratio": answers.measuring_share,
            "probe_cost_ms": answers.probe_cost_ms,
            "silence_ms": 300.0 if is_latency_preferred else 5000.0,
        },
        "services": {
            service.name: _service_table(service, answers, is_latency_preferred)
            for service in answers.services
        },
    }
    header = f"# Generated from the answers of {answers.team}; priority: "
    return f"{header}{answers.weigh}.\n\n{tomli_w.dumps(table)}"


def _tier_tables(callers: tuple[CallerAnswers, ...]) -> list[dict]:
    """Builds the tiers; a longer wait has a lower price.

    Prices fall with the square root of the wait. The kind of caller with the
    longest wait pays the base price.
    """
    longest_wait_ms = max(caller.patience_ms for caller in callers)
    tiers = []
    for caller in sorted(callers, key=lambda c: c.patience_ms):
        wait_ratio = longest_wait_ms / caller.patience_ms
        price = caller.price or round(BASE_PRICE * wait_ratio**0.5, 2)
        tiers.append(
            {
                "name": caller.name,
                "max_wait_ms": caller.patience_ms,
                "price": price,
            }
        )
    return tiers


def _service_table(
    service: ServiceAnswers, answers: Answers, is_latency_preferred: bool
) -> dict:
    longest_wait_ms = max(caller.patience_ms for caller in answers.callers)
    size_bytes = service.largest_mb * BYTES_PER_MIB
    return {
        "default_max_wait_ms": longest_wait_ms,
        "expected_service_ms": service.usual_ms,
        "request_limit_bytes": size_bytes,
        "answer_limit_bytes": size_bytes,
        "idempotent_methods": list(service.repeatable_methods),
        "connection_silence_ms": 1.5 * service.longest_ms,
        "retry_budget_ratio": 0.2 if is_latency_preferred else 0.1,
    }


def _process_tables(answers: Answers) -> list[dict]:
    control_hosts = _select_control_hosts(answers.instances)
    processes = []
    for instance in answers.instances:
        processes.append(
            {
                "name": instance.name,
                "role": "entry",
                "failure_domain": instance.failure_domain,
                "link_address": f"{instance.host}:{ENTRY_PORT}",
                "operators_address": f"{instance.host}:{OPERATORS_PORT}",
                "callers_address": f"{instance.host}:{CALLERS_PORT}",
            }
        )
        if instance in control_hosts:
            processes.append(
                {
                    "name": f"{instance.name}-control",
                    "role": "control",
                    "failure_domain": instance.failure_domain,
                    "link_address": f"{instance.host}:{CONTROL_PORT}",
                    "operators_address": (
                        f"{instance.host}:{CONTROL_OPERATORS_PORT}"
                    ),
                }
            )
    return processes


def _select_control_hosts(
    instances: tuple[InstanceAnswers, ...],
) -> list[InstanceAnswers]:
    """Selects an odd number of instances with disks.

    Spreads them over the failure domains.
    """
    with_disk = [instance for instance in instances if instance.has_disk]
    count = next(n for n in CONTROL_COUNTS if n <= len(with_disk))
    selected: list[InstanceAnswers] = []
    while len(selected) < count:
        selected_domains = [instance.failure_domain for instance in selected]
        remaining = [
            instance for instance in with_disk if instance not in selected
        ]
        selected.append(
            min(
                remaining,
                key=lambda i: selected_domains.count(i.failure_domain),
            )
        )
    return selected
