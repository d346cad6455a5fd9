"""Scenarios of the load model: deployment, requests and disruptions."""

from __future__ import annotations

import enum
import tomllib

import attrs
import cattrs

from gentianwall.config.fleet import OverloadPolicy
from gentianwall.config.routes import RouteKind


class Full(enum.Enum):
    """What a full server does with a further request."""

    REFUSE = "refuse"
    DROP = "drop"


class DisruptionKind(enum.Enum):
    """Kind of a disruption."""

    BURST = "burst"
    SLOW = "slow"
    CRASH = "crash"
    ABUSE = "abuse"
    SHIFT = "shift"
    ORGANISATION = "organisation"
    KILL_ENTRIES = "kill_entries"
    DISCONNECT = "disconnect"


@attrs.frozen(kw_only=True)
class ServiceModel:
    """Servers of one service.

    Attributes:
        name: Name of the service.
        servers_per_domain: Number of servers in each failure domain.
        slots: Requests that a server runs at the same time.
        queue: Requests that a server queues.
        full: What a full server does with a further request.
        shared_factor: Slowdown of a server that is more than four fifths full.
        noise_share: Share of time in which a server is slowed by others.
        noise_factor: Slowdown in that time.
        noise_ms: Length of a period with or without noise.
    """

    name: str
    servers_per_domain: tuple[int, ...]
    slots: int
    queue: int
    full: Full = Full.REFUSE
    shared_factor: float = 1.7
    noise_share: float = 0.25
    noise_factor: float = 4.0
    noise_ms: float = 300.0


@attrs.frozen(kw_only=True)
class RequestModel:
    """One kind of requests, with a route of its own.

    Attributes:
        name: Name, also the first part of the path.
        service: Service of its route.
        kind: Kind of the route.
        per_s: Requests per second over all failure domains.
        work_ms: Mean service time.
        target_ms: Time within which an answer earns its full worth.
        deadline_ms: Wait of the caller.
        worth: Worth of an answer within the target time; late ones earn a
            tenth of it.
        spread: Standard deviation of the logarithm of the service time.
        priority: Priority of its route, 0 is the highest.
    """

    name: str
    service: str
    kind: RouteKind
    per_s: float
    work_ms: float
    target_ms: float
    deadline_ms: float
    worth: float = 1.0
    spread: float = 0.3
    priority: int = 1


@attrs.frozen(kw_only=True)
class Disruption:
    """A disruption from `at_s` on for `for_s` seconds.

    Attributes:
        kind: Its kind.
        at_s: Start, in seconds.
        for_s: Duration, in seconds.
        share: Share of the servers, entries or callers that are affected.
        factor: Factor of the load, of service times or of the retries; for
            callers that disconnect, the share of their target time after
            which they do.
        domain: Only in this failure domain; -1 for all.
        only: Only this kind of requests, or this organisation; empty for all.
    """

    kind: DisruptionKind
    at_s: float
    for_s: float = 5.0
    share: float = 0.2
    factor: float = 2.0
    domain: int = -1
    only: str = ""


@attrs.frozen(kw_only=True)
class OrganisationModel:
    """An organisation with its share of the requests of all kinds.

    Attributes:
        name: Name of the organisation.
        share: Share of the requests that it sends; those of no organisation
            have none.
    """

    name: str
    share: float


@attrs.frozen(kw_only=True)
class Scenario:
    """A deployment under load.

    Attributes:
        seconds: Duration.
        entries_per_domain: Number of entries in each failure domain.
        local_ms: One-way delay within a failure domain.
        remote_ms: One-way delay between failure domains.
        services: Services.
        requests: Kinds of requests.
        disruptions: Disruptions.
        organisations: Organisations that send the requests.
        overload_policy: Setting of the entries of that name.
    """

    seconds: float
    entries_per_domain: tuple[int, ...]
    local_ms: float
    remote_ms: float
    services: tuple[ServiceModel, ...]
    requests: tuple[RequestModel, ...]
    disruptions: tuple[Disruption, ...] = ()
    organisations: tuple[OrganisationModel, ...] = ()
    overload_policy: OverloadPolicy = OverloadPolicy.NONE


def load_scenario(path: str) -> Scenario:
    """Loads a scenario from a TOML file.

    Raises:
        OSError: The file cannot be read.
        ValueError: The file is not a valid scenario.
    """
    with open(path, "rb") as file:
        content = tomllib.load(file)
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        return converter.structure(content, Scenario)
    except cattrs.BaseValidationError as error:
        details = "; ".join(cattrs.transform_error(error))
        raise ValueError(f"{path}: {details}") from error
