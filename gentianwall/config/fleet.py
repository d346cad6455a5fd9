"""Settings of a fleet process, which discovers the others from its seeds."""

from __future__ import annotations

import enum
import pathlib
import tomllib

import attrs

from gentianwall.config.schema import (
    ConfigErrors,
    ConfigProblem,
    option,
    structure,
)
from gentianwall.config.settings import (
    ROLES,
    Address,
    descriptors_option,
    memory_option,
    parse_address,
)

MIN_VOTERS = 3


class OverloadPolicy(enum.Enum):
    """Which requests an entry refuses first when there is too little room."""

    NONE = "none"
    COST = "cost"
    AUTO = "auto"


@attrs.frozen(kw_only=True)
class FleetSettings:
    """Settings of one process of a fleet whose members change at run time."""

    name: str = option("Name of the machine or process, used in logs.")
    role: str = option("Role of the process.", choices=ROLES)
    failure_domain: str = option("Failure domain of the process.")
    host: str = option("IP address that the process listens on.")
    link_port: int = option(
        "Port on which entries receive messages of other processes; the same "
        "in the whole fleet.",
        minimum=1,
        maximum=65535,
    )
    control_link_port: int = option(
        "Port on which control instances receive messages of other processes; "
        "the same in the whole fleet.",
        minimum=1,
        maximum=65535,
    )
    peer_port: int = option(
        "Port on which entries accept requests from entries that reach no "
        "server; the same in the whole fleet; 0 to refuse them.",
        0,
        minimum=0,
        maximum=65535,
    )
    metrics_port: int = option(
        "Port for metrics; 0 serves none.", 0, minimum=0, maximum=65535
    )
    seeds: tuple[str, ...] = option(
        "Addresses (IP:PORT) of some control instances, from which the process "
        "discovers the others; not all of them need to be running."
    )
    is_first_start: bool = option(
        "Whether the whole fleet starts for the first time; the seeds are then "
        "the founding members.",
        False,
    )
    disks_lost_at_once: int = option(
        "Number of control instances that may lose their disks at the same "
        "time; the cluster has twice this number plus 1 voters, at least 3.",
        1,
        minimum=0,
    )
    data_folder: str = option(
        "Folder of the journal; required for a control instance.", ""
    )
    callers_address: str = option(
        "IP:PORT for callers; required for an entry.", ""
    )
    readiness_address: str = option(
        "IP:PORT of the readiness check; required for an entry.", ""
    )
    control_address: str = option(
        "IP:PORT for servers and operators; required for a control instance.",
        "",
    )
    operator_token_file: str = option(
        "File with the operators' bearer token, for a control instance; empty "
        "allows unauthenticated clients.",
        "",
    )
    server_token_folder: str = option(
        "Folder with one token file per service, for a control instance; empty "
        "allows unauthenticated servers.",
        "",
    )
    server_heartbeat_ms: int = option(
        "Time in ms between heartbeats of a server.", 1500, minimum=10
    )
    grace_s: float = option(
        "Time in s between the termination signal and the kill; requests are "
        "answered within it.",
        6.0,
        minimum=0.1,
    )
    retry_ratio: float = option(
        "Retries allowed per call of a service, over all entries; 0 allows "
        "only the slack.",
        0.2,
        minimum=0.0,
        maximum=10.0,
    )
    retry_slack: float = option(
        "Further retries of a service allowed in each window, over all "
        "entries; 0 allows none beyond the ratio.",
        20.0,
        minimum=0.0,
    )
    retry_window_s: float = option(
        "Length in s of the window in which retries are counted.",
        10.0,
        minimum=0.1,
    )
    overload_policy: str = option(
        "Which requests an entry refuses first when there is too little room: "
        '"none" judges each request by itself; "cost" refuses those that cost '
        'callers least; "auto" does so if the configuration in force has '
        "organisations or a route of kind download.",
        OverloadPolicy.NONE.value,
        choices=tuple(policy.value for policy in OverloadPolicy),
    )
    warmup_overage: float = option(
        "Factor on the requests a second that a service states for its cold "
        "servers; with `warmup_slack` it gives what such a server withstands "
        "in any second, from all entries together.",
        1.5,
        minimum=0.0,
        maximum=100.0,
    )
    warmup_slack: float = option(
        "Further requests that a cold server withstands in any second.",
        8.0,
        minimum=0.0,
    )
    memory_mb: float = memory_option()
    descriptors: int = descriptors_option()

    @property
    def target_voters(self) -> int:
        """Number of voters; a majority survives `disks_lost_at_once` losses."""
        return max(MIN_VOTERS, 2 * self.disks_lost_at_once + 1)

    @property
    def link_address(self) -> str:
        """Address for messages; identifies the process within the fleet."""
        is_control = self.role == "control"
        port = self.control_link_port if is_control else self.link_port
        return f"{self.host}:{port}"

    @property
    def seed_link_addresses(self) -> tuple[str, ...]:
        """Addresses of the seeds for messages."""
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
    problems = _check_settings(settings)
    return ConfigErrors(tuple(problems)) if problems else settings


def _check_settings(settings: FleetSettings) -> list[ConfigProblem]:
    addresses_by_option = {"host": f"{settings.host}:1"}
    if settings.role == "entry":
        addresses_by_option["callers_address"] = settings.callers_address
        addresses_by_option["readiness_address"] = settings.readiness_address
    else:
        addresses_by_option["control_address"] = settings.control_address
    for index, seed in enumerate(settings.seeds):
        addresses_by_option[f"seeds[{index}]"] = seed
    problems = []
    for name, text in addresses_by_option.items():
        parsed = parse_address(text)
        if not isinstance(parsed, Address):
            problems.append(ConfigProblem(name, parsed.reason))
    if settings.role == "control" and not settings.data_folder:
        problems.append(
            ConfigProblem("data_folder", "is required for a control instance")
        )
    return problems
