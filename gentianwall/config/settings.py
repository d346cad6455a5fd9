"""Settings of one instance: who it is and whom it talks to."""

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

ROLES = ("entry", "control")


@attrs.frozen
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class InstanceSettings:
    """One process of the system, as the others reach it."""

    name: str = option("Name of the process, unique over the system.")
    role: str = option("What the process does.", choices=ROLES)
    failure_domain: str = option("The failure domain it stands in.")
    link_address: str = option("IP number and port for the other instances.")
    operators_address: str = option(
        "IP number and port for operators and metrics."
    )
    callers_address: str = option(
        "IP number and port for callers; entry only.", ""
    )


@attrs.frozen(kw_only=True)
class LinkSettings:
    """Links between instances."""

    key_folder: str = option(
        "Folder with the keys of the links; empty leaves them unencrypted.",
        "",
    )
    heartbeat_ms: int = option(
        "Time between heartbeats on an idle link.", 300, minimum=10
    )
    silence_ms: int = option(
        "Silence after which a link is dropped and dialled again.",
        1000,
        minimum=30,
    )


@attrs.frozen(kw_only=True)
class ReplicationSettings:
    """Timing of the replicated log."""

    heartbeat_ms: int = option(
        "Time between heartbeats of the leader.", 100, minimum=5
    )
    election_timeout_ms: int = option(
        "Silence of the leader before an election, doubled at most by chance.",
        500,
        minimum=30,
    )
    snapshot_entries: int = option(
        "Log entries after which a snapshot is written.", 5000, minimum=10
    )


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of one daemon."""

    instance: str = option("Name of this process, one of `instances`.")
    data_folder: str = option(
        "Folder for everything that must survive; control only.", "data"
    )
    operator_token_file: str = option(
        "File with the operators' bearer token; empty allows anyone.", ""
    )
    server_token_folder: str = option(
        "Folder with one token file per service; empty lets any server "
        "announce itself.",
        "",
    )
    instances: tuple[InstanceSettings, ...] = option(
        "All processes of the system."
    )
    links: LinkSettings = option(
        "Links between instances.", factory=LinkSettings
    )
    replication: ReplicationSettings = option(
        "Timing of the replicated log.", factory=ReplicationSettings
    )

    @property
    def own(self) -> InstanceSettings:
        """The settings of this process."""
        return next(i for i in self.instances if i.name == self.instance)

    def with_role(self, role: str) -> list[InstanceSettings]:
        """Returns all processes with a role."""
        return [i for i in self.instances if i.role == role]


def parse_address(text: str) -> Address | ConfigProblem:
    """Parses `IP:PORT`."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or not 0 < int(port) < 65536:
        return ConfigProblem(text, "must have the form IP:PORT")
    return Address(host, int(port))


def parse_settings(text: str) -> Settings | ConfigErrors:
    """Parses the settings of an instance."""
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
    """Reads the settings file; folders in it are relative to the file."""
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
        operator_token_file=_beside(file, settings.operator_token_file),
        server_token_folder=_beside(file, settings.server_token_folder),
        links=attrs.evolve(
            settings.links,
            key_folder=_beside(file, settings.links.key_folder),
        ),
    )


def _beside(file: pathlib.Path, name: str) -> str:
    return str(file.parent / name) if name else ""


def _check_instances(settings: Settings) -> list[ConfigProblem]:
    problems = []
    names = [i.name for i in settings.instances]
    if settings.instance not in names:
        problems.append(
            ConfigProblem("instance", f"{settings.instance!r} is not listed")
        )
    if len(set(names)) != len(names):
        problems.append(ConfigProblem("instances", "names must be unique"))
    for index, instance in enumerate(settings.instances):
        problems += _check_addresses(instance, f"instances[{index}]")
    return problems


def _check_addresses(
    instance: InstanceSettings, path: str
) -> list[ConfigProblem]:
    wanted = ["link_address", "operators_address"]
    if instance.role == "entry":
        wanted.append("callers_address")
    problems = []
    for name in wanted:
        parsed = parse_address(getattr(instance, name))
        if isinstance(parsed, ConfigProblem):
            problems.append(ConfigProblem(f"{path}.{name}", parsed.reason))
    return problems
