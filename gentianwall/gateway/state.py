"""The state of an entry that follows routes; changed by its reducer."""

from __future__ import annotations

import enum
import random
import sys

import attrs

from gentianwall.config.routes import Route
from gentianwall.gateway.admission import TypicalWaits
from gentianwall.gateway.budget import RetryLimits, RetryWindow
from gentianwall.gateway.events import RequestArrived
from gentianwall.gateway.servers import RoutedServer
from gentianwall.routing.routes import RouteTable

# A request's time before any was answered, as a share of its target.
INITIAL_SERVICE_SHARE = 0.4
SERVICE_TIME_WEIGHT = 0.05


class Phase(enum.Enum):
    """Where a request stands."""

    QUERYING = "asking"
    SENT = "sent"


@attrs.define
class RoutedCall:
    """A request between its arrival and its answer.

    Attributes:
        call_id: Names it in this process.
        request_id: Names it to callers and servers.
        route: Its route, as it was when the request arrived.
        service: The service that it goes to.
        arrived_ms: When it arrived.
        deadline_ms: When the caller or the route gives up.
        target_at_ms: Until when an answer is worth most.
        phase: Where it stands.
        attempt: How often it was sent.
        tried: Servers that it was sent to, or that could not be reached.
        unreported: Servers that were asked for their load and did not answer.
        queried: Servers that were asked since it last waited.
        server: The server that has it.
        sent_ms: When it was sent there.
        expected_ms: How long it was expected to take there.
        slowness: How slow that server was then.
        is_maybe_run: Whether a server may have run it.
    """

    call_id: int
    request_id: str
    route: Route
    service: str
    arrived_ms: float
    deadline_ms: float
    target_at_ms: float
    phase: Phase = Phase.QUERYING
    attempt: int = 0
    tried: set[str] = attrs.field(factory=set)
    unreported: set[str] = attrs.field(factory=set)
    queried: set[str] = attrs.field(factory=set)
    server: str = ""
    sent_ms: float = 0.0
    expected_ms: float = 0.0
    slowness: float = 1.0
    is_maybe_run: bool = False


@attrs.define
class ServiceState:
    """One service at this entry.

    Attributes:
        name: Its name.
        retries: What may be sent twice.
        health_path: Path of the health check; empty for none.
        servers: Its servers by name.
        has_load_reports: Whether its servers tell their load; None while no
            server has answered.
        service_ms: Time of a request at an idle, usual server; 0 while unknown.
        most_connections: Connections that a server takes from all entries; 0
            sets no limit.
    """

    name: str
    retries: RetryWindow
    health_path: str = ""
    servers: dict[str, RoutedServer] = attrs.field(factory=dict)
    has_load_reports: bool | None = None
    service_ms: float = 0.0
    most_connections: int = 0

    def connections_per_entry(self, entries: int) -> int:
        """Returns how many connections an entry may have to one server.

        Entries do not tell each other, so each keeps to an equal part.
        """
        if not self.most_connections:
            return sys.maxsize
        return max(1, self.most_connections // max(1, entries))

    def service_ms_for(self, route: Route) -> float:
        """Returns the time of a request of a route."""
        return self.service_ms or INITIAL_SERVICE_SHARE * route.target_ms

    def record_service_time(self, taken_ms: float, route: Route) -> None:
        """Learns from the time of a good answer."""
        known_ms = self.service_ms_for(route)
        self.service_ms = known_ms + SERVICE_TIME_WEIGHT * (taken_ms - known_ms)


@attrs.define
class GatewayState:
    """Everything an entry that follows routes knows.

    Attributes:
        name: Name of the process.
        failure_domain: Where it stands.
        rng: Breaks ties and spreads returns.
        retry_limits: Limits of retries over all entries.
        controls: Control instances that are known.
        seeds: Those of the settings; they are always known.
        leader: Who told the feed last.
        table: The routes in force; None before the first.
        number: Number of the configuration; -1 for none.
        revision: Revision of the servers.
        quarantine_version: Version of the quarantines.
        quarantines: Fingerprints that are refused.
        services: Services by name.
        places: Service of each server by its name.
        calls: Requests that wait, by id.
        querying: Those of them that wait for load reports.
        entries: How many entries there are.
        entries_confirmed_ms: When that number was told or confirmed.
        first_feed_ms: When the feed was first heard.
        told_ms: When the feed was last heard.
        poll_due_ms: When the feed is asked for again.
        is_draining: Whether the process is about to end.
        crash_reports: Number of the last crash report.
        typical_waits: How long callers of each route usually wait.
        unrouted: Requests that came before the first configuration.
        started_ms: When the process started.
    """

    name: str
    failure_domain: str
    rng: random.Random
    retry_limits: RetryLimits
    seeds: tuple[str, ...]
    controls: tuple[str, ...] = ()
    leader: str = ""
    table: RouteTable | None = None
    number: int = -1
    revision: int = 0
    quarantine_version: int = 0
    quarantines: frozenset[str] = frozenset()
    services: dict[str, ServiceState] = attrs.field(factory=dict)
    places: dict[str, str] = attrs.field(factory=dict)
    calls: dict[int, RoutedCall] = attrs.field(factory=dict)
    querying: dict[int, RoutedCall] = attrs.field(factory=dict)
    entries: int = 1
    entries_confirmed_ms: float = float("-inf")
    first_feed_ms: float | None = None
    told_ms: float = float("-inf")
    poll_due_ms: float = 0.0
    is_draining: bool = False
    crash_reports: int = 0
    typical_waits: TypicalWaits = attrs.field(factory=TypicalWaits)
    unrouted: dict[int, RequestArrived] = attrs.field(factory=dict)
    started_ms: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.table is not None and not self.is_draining

    def service(self, name: str) -> ServiceState:
        """Returns the state of a service; new ones start empty."""
        service = self.services.get(name)
        if service is None:
            retries = RetryWindow(self.retry_limits)
            service = self.services[name] = ServiceState(name, retries)
        return service

    def remove_server(self, name: str) -> None:
        """Forgets a server that is known."""
        del self.services[self.places.pop(name)].servers[name]

    def server(self, name: str) -> RoutedServer | None:
        """Returns a server by its name."""
        place = self.places.get(name)
        return self.services[place].servers.get(name) if place else None
