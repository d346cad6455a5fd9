"""From a team's answers to its declaration and its instances' settings."""

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

WEIGHTS = ("tail-latency", "measuring-cost")
CONTROL_COUNTS = (5, 3, 1)
BYTES_PER_MB = 1024 * 1024
ENTRY_PORT = 9100
CONTROL_PORT = 9200
CALLERS_PORT = 8080
OPERATORS_PORT = 8081
CONTROL_OPERATORS_PORT = 8084
PRICE_OF_PATIENT = 1.0


@attrs.frozen(kw_only=True)
class ServiceAnswers:
    """What a team says of one service."""

    name: str = option("Name of the service, the first part of its paths.")
    usual_ms: float = option("Time of an ordinary call.", 10.0, minimum=0.1)
    longest_ms: float = option("Time of the longest call.", 2000.0, minimum=1)
    largest_mb: int = option(
        "Largest request or answer.", 16, minimum=1, maximum=512
    )
    repeatable_methods: tuple[str, ...] = option(
        "Methods that may run twice.",
        ("GET", "HEAD", "PUT", "DELETE", "OPTIONS"),
    )


@attrs.frozen(kw_only=True)
class CallerAnswers:
    """What a team says of one kind of caller."""

    name: str = option("Name of the kind of caller, which names its tier.")
    patience_ms: float = option("How long it can wait.", minimum=1)
    price: float = option(
        "What a call costs it; 0 lets the questionnaire decide.",
        0.0,
        minimum=0,
    )


@attrs.frozen(kw_only=True)
class InstanceAnswers:
    """What a team says of one instance."""

    name: str = option("Name of the instance.")
    host: str = option("Its IP number.")
    failure_domain: str = option("The failure domain it stands in.")
    has_disk: bool = option("Whether its disk survives a restart.", False)


@attrs.frozen(kw_only=True)
class Answers:
    """All answers of a team."""

    team: str = option("Name of the team.")
    weigh: str = option(
        "What matters more: the latest answers or the cost of measuring.",
        choices=WEIGHTS,
    )
    probe_cost_ms: float = option(
        "Time that one probe takes of a server.", 1.0, minimum=0.01
    )
    measuring_share: float = option(
        "Share of a server's time that measuring may take.",
        0.001,
        minimum=0,
        maximum=0.5,
    )
    services: tuple[ServiceAnswers, ...] = option("The services.")
    callers: tuple[CallerAnswers, ...] = option("The kinds of caller.")
    instances: tuple[InstanceAnswers, ...] = option("The instances.")


@attrs.frozen
class Generated:
    """The files made from the answers: name to text."""

    files: dict[str, str]


def parse_answers(text: str) -> Answers | ConfigErrors:
    """Parses an answers file."""
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
        reason = "at least one instance needs a disk"
        problems.append(ConfigProblem("instances", reason))
    return ConfigErrors(tuple(problems)) if problems else answers


def generate(answers: Answers) -> Generated:
    """Makes the declaration and the settings of every process."""
    files = {"declaration.toml": _declaration_text(answers)}
    processes = _processes(answers)
    for process in processes:
        settings = {
            "instance": process["name"],
            "data_folder": f"data-{process['name']}",
            "instances": processes,
        }
        files[f"{process['name']}.toml"] = tomli_w.dumps(settings)
    return Generated(files)


def _declaration_text(answers: Answers) -> str:
    weighs_tail = answers.weigh == "tail-latency"
    table = {
        "tiers": _tiers(answers.callers),
        "measuring": {
            "budget_ratio": answers.measuring_share,
            "probe_cost_ms": answers.probe_cost_ms,
            "silence_ms": 300.0 if weighs_tail else 5000.0,
        },
        "services": {
            service.name: _service(service, answers, weighs_tail)
            for service in answers.services
        },
    }
    head = f"# Made from the answers of {answers.team}; it weighs "
    return f"{head}{answers.weigh}.\n\n{tomli_w.dumps(table)}"


def _tiers(callers: tuple[CallerAnswers, ...]) -> list[dict]:
    """Prices fall with patience, from what the most patient caller pays."""
    most_ms = max(caller.patience_ms for caller in callers)
    tiers = []
    for caller in sorted(callers, key=lambda c: c.patience_ms):
        share = most_ms / caller.patience_ms
        price = caller.price or round(PRICE_OF_PATIENT * share**0.5, 2)
        tiers.append(
            {
                "name": caller.name,
                "max_wait_ms": caller.patience_ms,
                "price": price,
            }
        )
    return tiers


def _service(
    service: ServiceAnswers, answers: Answers, weighs_tail: bool
) -> dict:
    patience_ms = max(caller.patience_ms for caller in answers.callers)
    size_bytes = service.largest_mb * BYTES_PER_MB
    return {
        "default_max_wait_ms": patience_ms,
        "expected_service_ms": service.usual_ms,
        "request_limit_bytes": size_bytes,
        "answer_limit_bytes": size_bytes,
        "idempotent_methods": list(service.repeatable_methods),
        "connection_silence_ms": 1.5 * service.longest_ms,
        "retry_budget_ratio": 0.2 if weighs_tail else 0.1,
    }


def _processes(answers: Answers) -> list[dict]:
    controls = _control_hosts(answers.instances)
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
        if instance in controls:
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


def _control_hosts(
    instances: tuple[InstanceAnswers, ...],
) -> list[InstanceAnswers]:
    """Picks an odd number with disks, spread over the failure domains."""
    with_disk = [instance for instance in instances if instance.has_disk]
    count = next(n for n in CONTROL_COUNTS if n <= len(with_disk))
    picked: list[InstanceAnswers] = []
    while len(picked) < count:
        used = [instance.failure_domain for instance in picked]
        rest = [instance for instance in with_disk if instance not in picked]
        picked.append(min(rest, key=lambda i: used.count(i.failure_domain)))
    return picked
