"""Settings of a daemon, with the addresses of all processes."""

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
from gentianwall.utils.addresses import is_ip_address

ROLES = ("entry", "control")


def memory_option() -> float:
    """Returns the option of the memory that a process may use."""
    return option(
        "Memory in MB that the process may use; limits what clients can make "
        "it hold; 0 takes the memory of the machine or control group.",
        0.0,
        minimum=0.0,
    )


def descriptors_option() -> int:
    """Returns the option of the descriptors that a process may use."""
    return option(
        "File descriptors that the process may use; limits the connections of "
        "clients; 0 takes the limit of the process.",
        0,
        minimum=0,
    )


@attrs.frozen
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class InstanceSettings:
    """Name, role and addresses of one process."""

    name: str = option("Name of the process, unique in the system.")
    role: str = option("Role of the process.", choices=ROLES)
    failure_domain: str = option("Failure domain of the process.")
    link_address: str = option("IP:PORT for messages of other processes.")
    operators_address: str = option("IP:PORT for operators and metrics.")
    callers_address: str = option(
        "IP:PORT for callers; required for an entry.", ""
    )


@attrs.frozen(kw_only=True)
class LinkSettings:
    """Settings of the links between processes."""

    key_folder: str = option(
        "Folder with the keys of the links, relative to this file; empty "
        "disables encryption and authentication.",
        "",
    )
    heartbeat_ms: int = option(
        "Time in ms between heartbeats on an idle link.", 300, minimum=10
    )
    silence_ms: int = option(
        "Time in ms without data after which a link is closed and reconnected.",
        1000,
        minimum=30,
    )


@attrs.frozen(kw_only=True)
class ReplicationSettings:
    """Timing and snapshots of the replicated log."""

    heartbeat_ms: int = option(
        "Time in ms between heartbeats of the leader.", 100, minimum=5
    )
    election_timeout_ms: int = option(
        "Shortest time in ms without contact with the leader before an "
        "election; a random time of at most the same length is added.",
        500,
        minimum=30,
    )
    snapshot_entries: int = option(
        "Number of log entries after which a snapshot is written; the number "
        "of stored claims, if that is higher.",
        5000,
        minimum=10,
    )


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of one daemon."""

    instance: str = option(
        "Name of this process, which must be listed in `instances`."
    )
    data_folder: str = option(
        "Folder of the journal of a control instance; relative to this file.",
        "data",
    )
    operator_token_file: str = option(
        "File with the operators' bearer token, relative to this file; empty "
        "allows unauthenticated clients.",
        "",
    )
    server_token_folder: str = option(
        "Folder with one token file per service, relative to this file; empty "
        "allows unauthenticated servers.",
        "",
    )
    instances: tuple[InstanceSettings, ...] = option(
        "All processes of the system."
    )
    links: LinkSettings = option(
        "Links between processes.", factory=LinkSettings
    )
    replication: ReplicationSettings = option(
        "Timing and snapshots of the replicated log.",
        factory=ReplicationSettings,
    )
    memory_mb: float = memory_option()
    descriptors: int = descriptors_option()

    @property
    def own_instance(self) -> InstanceSettings:
        """The settings of this process."""
        return next(i for i in self.instances if i.name == self.instance)

    def instances_with_role(self, role: str) -> list[InstanceSettings]:
        """Returns the settings of all processes with a role."""
        return [i for i in self.instances if i.role == role]


def parse_address(text: str) -> Address | ConfigProblem:
    """Parses `IP:PORT`."""
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdecimal() and len(port) <= 5
    if not is_ip_address(host) or not is_port or not 0 < int(port) < 65536:
        return ConfigProblem(text, "must have the form IP:PORT")
    return Address(host, int(port))


def parse_settings(text: str) -> Settings | ConfigErrors:
    """Parses and checks the settings of a daemon."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return ConfigErrors((ConfigProblem("(file)", str(error)),))
    settings = structure(table, Settings, text)
    if isinstance(settings, ConfigErrors):
        return settings
    problems = _check_instances(settings)
    if problems:
        return ConfigErrors(tuple(problems))
    return settings


def load_settings(path: str) -> Settings | ConfigErrors:
    """Reads and checks a settings file.

    Relative paths in the file are resolved against its folder.
    """
    file = pathlib.Path(path)
    try:
        text = file.read_text(encoding="utf-8")
    except OSError as error:
        return ConfigErrors((ConfigProblem(path, error.strerror or ""),))
    settings = parse_settings(text)
    if isinstance(settings, ConfigErrors):
        return settings
    return attrs.evolve(
        settings,
        data_folder=str(file.parent / settings.data_folder),
        operator_token_file=_resolve_path(file, settings.operator_token_file),
        server_token_folder=_resolve_path(file, settings.server_token_folder),
        links=attrs.evolve(
            settings.links,
            key_folder=_resolve_path(file, settings.links.key_folder),
        ),
    )


def _resolve_path(file: pathlib.Path, name: str) -> str:
    return str(file.parent / name) if name else ""


def _check_instances(settings: Settings) -> list[ConfigProblem]:
    problems = []
    names = [i.name for i in settings.instances]
    if settings.instance not in names:
        problems.append(
            ConfigProblem(
                "instance", f"{settings.instance!r} is not listed in instances"
            )
        )
    if len(set(names)) != len(names):
        problems.append(
            ConfigProblem("instances", "process names must be unique")
        )
    for index, instance in enumerate(settings.instances):
        problems += _check_addresses(instance, f"instances[{index}]")
    return problems


def _check_addresses(
    instance: InstanceSettings, path: str
) -> list[ConfigProblem]:
    required_options = ["link_address", "operators_address"]
    if instance.role == "entry":
        required_options.append("callers_address")
    problems = []
    for name in required_options:
        parsed = parse_address(getattr(instance, name))
        if isinstance(parsed, ConfigProblem):
            problems.append(ConfigProblem(f"{path}.{name}", parsed.reason))
    return problems
