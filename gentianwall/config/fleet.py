"""Settings of a process that is told only a few others, and finds the rest."""

from __future__ import annotations

import pathlib
import tomllib

import attrs

from gentianwall.config.schema import (
    ConfigErrors,
    ConfigProblem,
    option,
    structure,
)
from gentianwall.config.settings import ROLES, Address, parse_address

MIN_VOTERS = 3


@attrs.frozen(kw_only=True)
class FleetSettings:
    """One process of a fleet whose members change at run time."""

    name: str = option("Name of the machine or process, for logs.")
    role: str = option("What the process does.", choices=ROLES)
    failure_domain: str = option("The failure domain it stands in.")
    host: str = option("IP number that it listens on.")
    link_port: int = option(
        "Port for messages between processes; the same on all.",
        minimum=1,
        maximum=65535,
    )
    control_link_port: int = option(
        "Port for messages to control instances; the same on all.",
        minimum=1,
        maximum=65535,
    )
    metrics_port: int = option("Port for metrics.", 0, minimum=0, maximum=65535)
    seeds: tuple[str, ...] = option(
        "Addresses (IP:PORT) of some control instances; they need not be up."
    )
    is_first_start: bool = option(
        "Whether the whole fleet starts for the first time; the seeds found "
        "it together.",
        False,
    )
    disks_lost_at_once: int = option(
        "Control instances whose disks may be lost at the same time.",
        1,
        minimum=0,
    )
    data_folder: str = option("Folder of a control instance's journal.", "")
    callers_address: str = option("IP:PORT for callers, at an entry.", "")
    readiness_address: str = option("IP:PORT that tells readiness.", "")
    control_address: str = option(
        "IP:PORT for servers and operators, at a control instance.", ""
    )
    operator_token_file: str = option(
        "File with the operators' bearer token, at a control instance; empty "
        "allows anyone.",
        "",
    )
    server_token_folder: str = option(
        "Folder with one token file per service, at a control instance; empty "
        "lets any server announce itself.",
        "",
    )
    server_heartbeat_ms: int = option(
        "Time between heartbeats of a server.", 1500, minimum=10
    )
    grace_s: float = option(
        "Time between the signal to end and the kill.", 6.0, minimum=0.1
    )
    retry_ratio: float = option(
        "Retries per call of a service, over all entries.",
        0.2,
        minimum=0.0,
        maximum=10.0,
    )
    retry_slack: float = option(
        "Retries on top of the ratio in a window, over all entries.",
        20.0,
        minimum=0.0,
    )
    retry_window_s: float = option(
        "Window of the retry budget.", 10.0, minimum=0.1
    )

    @property
    def voters(self) -> int:
        """How many control instances vote: losses must leave a majority."""
        return max(MIN_VOTERS, 2 * self.disks_lost_at_once + 1)

    @property
    def link_address(self) -> str:
        """Where this process takes messages; also its name for others."""
        is_control = self.role == "control"
        port = self.control_link_port if is_control else self.link_port
        return f"{self.host}:{port}"

    @property
    def seed_links(self) -> tuple[str, ...]:
        """Link addresses of the seeds."""
        hosts = (seed.rpartition(":")[0] for seed in self.seeds)
        return tuple(f"{host}:{self.control_link_port}" for host in hosts)


def load_fleet_settings(path: str) -> FleetSettings | ConfigErrors:
    """Reads and checks a settings file."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        table = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return ConfigErrors((ConfigProblem("(file)", str(error)),))
    settings = structure(table, FleetSettings, text)
    if isinstance(settings, ConfigErrors):
        return settings
    problems = _check(settings)
    return ConfigErrors(tuple(problems)) if problems else settings


def _check(settings: FleetSettings) -> list[ConfigProblem]:
    wanted = {"host": f"{settings.host}:1"}
    if settings.role == "entry":
        wanted["callers_address"] = settings.callers_address
        wanted["readiness_address"] = settings.readiness_address
    else:
        wanted["control_address"] = settings.control_address
    for index, seed in enumerate(settings.seeds):
        wanted[f"seeds[{index}]"] = seed
    problems = []
    for name, text in wanted.items():
        parsed = parse_address(text)
        if not isinstance(parsed, Address):
            problems.append(ConfigProblem(name, parsed.reason))
    if settings.role == "control" and not settings.data_folder:
        problems.append(
            ConfigProblem("data_folder", "is required of a control instance")
        )
    return problems
