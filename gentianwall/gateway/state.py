"""State of an entry that routes requests; only the reducer changes it."""

from __future__ import annotations

import enum
import random
import sys

import attrs

from gentianwall.config.fleet import OverloadPolicy
from gentianwall.config.routes import Route
from gentianwall.gateway.admission import TypicalWaits
from gentianwall.gateway.budget import RetryLimits, RetryWindow
from gentianwall.gateway.cold_servers import (
    STOP_MARGIN_MS,
    ColdLimits,
    ColdPlan,
    draw,
    make_plan,
)
from gentianwall.gateway.evacuations import Evacuations
from gentianwall.gateway.events import Relay, RequestArrived, ServerCrashed
from gentianwall.gateway.homes import choose_homes
from gentianwall.gateway.limit_leases import LeasedLimits
from gentianwall.gateway.overload import Overload, is_enabled
from gentianwall.gateway.peers import Peers
from gentianwall.gateway.rate_limits import RateLimits
from gentianwall.gateway.reachability import Reachability
from gentianwall.gateway.relay_signatures import RelayKeys
from gentianwall.gateway.rests import Rests
from gentianwall.gateway.servers import RoutedServer
from gentianwall.gateway.stopping import Stop
from gentianwall.gateway.trials import Permission, Trials
from gentianwall.routing.reports import SpeedReport
from gentianwall.routing.routes import RouteTable

# Assumed service time before the first answer, as a share of the route's
# target time.
INITIAL_SERVICE_SHARE = 0.4
SERVICE_TIME_WEIGHT = 0.05
# An entry receives several reports for each request under load, so that this
# weight follows a burst within a few requests.
FULL_SHARE_WEIGHT = 0.05
# Servers that left are remembered, since a late heartbeat may list one again,
# until this many others have left after it.
MAX_LEAVING = 1024
# Time after which a lower number of entries is accepted: three retry windows,
# so that the retries spent under the old number have left the window.
ENTRIES_DECREASE_MS = 30_000.0
# Time after the first notice before the number of entries is used. Within this
# time, even a new leader has received a poll from every running entry.
ENTRY_COUNT_DELAY_MS = 3000.0


class Phase(enum.Enum):
    """Phase of a request between its arrival and its answer."""

    QUERYING = "querying"
    SENT = "sent"


@attrs.frozen(kw_only=True)
class RunningAttempt:
    """An attempt of a request that has neither been answered nor failed.

    Attributes:
        server: Name of the server; empty if a peer relays the request.
        peer: Host of the peer that relays it; empty for none.
        sent_ms: When it was sent there.
        expected_ms: Its expected time.
        load_factor: That time as a multiple of the service time at an idle,
            average server.
    """

    server: str = ""
    peer: str = ""
    sent_ms: float
    expected_ms: float
    load_factor: float = 1.0


@attrs.frozen
class ErrorAnswer:
    """An answer by which a server failed a request.

    Attributes:
        attempt: The attempt that was answered.
        server: Name of the server, to which a peer may have relayed it.
        status: HTTP status of the answer.
    """

    attempt: RunningAttempt
    server: str
    status: int


@attrs.define
class RoutedCall:
    """A request between its arrival and its answer.

    Attributes:
        call_id: Identifies the request in this process.
        request_id: Identifies the request to callers and servers.
        route: Its route as configured when the request arrived.
        service: Name of the target service.
        arrived_ms: Time of arrival.
        deadline_ms: When the wait of the caller or the route's timeout ends.
        target_at_ms: Arrival plus the route's target time, less the time
            that the caller has probably waited before. Later answers are
            worth less.
        phase: Current phase.
        attempt: Number of attempts so far, without those that could not be
            sent.
        running: Attempts that run, by the number that identifies them. There
            are two while an overdue request also runs at another server.
        reassign_due_ms: When another server may be looked for again.
        retry_counted_ms: When its last retry was counted; None for none, or if
            that was taken back.
        tried_servers: Servers that it was sent to, or that could not be
            reached.
        unreported: Queried servers that have not reported their load yet.
        queried: Servers queried since the dispatch or the last recheck started.
        queries_left: How many more may be queried until the next recheck.
        server: Name of the server it was last sent to; empty if it was last
            sent to a peer.
        peer: Host of the peer it was last sent to; empty for none.
        tried_peers: Hosts of the peers that it was sent to.
        relay: Decisions of the peer that it came from; None if it came from a
            caller.
        is_maybe_executed: Whether a server may have executed the request.
        error_answer: Last answer by which a server failed it. The caller gets
            that if no further attempt is answered; None for none.
        others: Names of servers considered beside the home servers.
        organisation: Name of the organisation that sent it; empty for none.
        priority: Priority of the organisation, or else of the route; 0 is the
            highest.
        quota_generation: Lease session of the token that is reserved for it of
            its organisation's quota; -1 for none.
        is_quota_spent: Whether it has spent a token, or needs none.
        is_protected: Whether the overload policy treats it as one of the
            highest priority, so that no kind is starved.
        trial: The permission under which it is sent although it is
            quarantined; None if it is not.
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
    running: dict[int, RunningAttempt] = attrs.field(factory=dict)
    reassign_due_ms: float = float("-inf")
    retry_counted_ms: float | None = None
    tried_servers: set[str] = attrs.field(factory=set)
    unreported: set[str] = attrs.field(factory=set)
    queried: set[str] = attrs.field(factory=set)
    queries_left: int = 0
    server: str = ""
    is_maybe_executed: bool = False
    error_answer: ErrorAnswer | None = None
    others: tuple[str, ...] = ()
    peer: str = ""
    tried_peers: set[str] = attrs.field(factory=set)
    relay: Relay | None = None
    organisation: str = ""
    priority: int = 0
    quota_generation: int = -1
    is_quota_spent: bool = False
    is_protected: bool = False
    trial: Permission | None = None

    @property
    def most_attempts(self) -> int:
        """To how many servers it may be sent; a quarantined one to one."""
        return 1 if self.trial is not None else self.route.most_attempts

    def add_attempt(self, attempt: RunningAttempt) -> int:
        """Adds an attempt that starts now; returns its number."""
        number = 1 + max(self.attempt, max(self.running, default=0))
        self.phase = Phase.SENT
        self.attempt += 1
        self.server = attempt.server
        self.peer = attempt.peer
        self.running[number] = attempt
        return number


@attrs.define
class ServiceState:
    """State of one service at this entry.

    Attributes:
        name: Its name.
        retry_window: Limit on its retries.
        health_path: Path of its health check; empty for none.
        servers: Its servers by name.
        homes: Names of the servers that this entry prefers.
        has_load_reports: Whether its servers report their load; None until
            the first server has answered.
        service_ms: Service time at an idle, average server; 0 while unknown.
        route_service_ms: The same by name of the route; None where it is not
            distinguished by route.
        full_share: Moving average of the share of load queries that found all
            slots busy. Reports in answers do not count: the server has just
            freed a slot.
        most_connections: Connections that a server accepts from all entries
            together; 0 means no limit.
        warmup_ms: Time for which a server is cold after its start.
        warmup_per_s: Requests a second that a cold server takes from all
            entries together; 0 means no limit.
    """

    name: str
    retry_window: RetryWindow
    health_path: str = ""
    servers: dict[str, RoutedServer] = attrs.field(factory=dict)
    homes: tuple[str, ...] = ()
    has_load_reports: bool | None = None
    service_ms: float = 0.0
    route_service_ms: dict[str, float] | None = None
    full_share: float = 0.0
    most_connections: int = 0
    warmup_ms: float = 0.0
    warmup_per_s: float = 0.0

    def connections_per_entry(self, entries: int) -> int:
        """Returns how many connections an entry may open to one server.

        Entries do not coordinate, so each one gets an equal share.
        """
        if not self.most_connections:
            return sys.maxsize
        return max(1, self.most_connections // max(1, entries))

    def service_ms_for(self, route: Route) -> float:
        """Returns the expected service time of a request of a route."""
        if self.route_service_ms is not None:
            known_ms = self.route_service_ms.get(route.name)
            return known_ms or INITIAL_SERVICE_SHARE * route.target_ms
        return self.service_ms or INITIAL_SERVICE_SHARE * route.target_ms

    def record_query(self, report: SpeedReport) -> None:
        """Updates the share of full servers from a queried load report."""
        is_full = report.running >= report.slots
        self.full_share += FULL_SHARE_WEIGHT * (is_full - self.full_share)

    def record_service_time(self, service_time_ms: float, route: Route) -> None:
        """Updates the average service time from a successful answer."""
        known_ms = self.service_ms_for(route)
        known_ms += SERVICE_TIME_WEIGHT * (service_time_ms - known_ms)
        if self.route_service_ms is not None and route.name:
            self.route_service_ms[route.name] = known_ms
        else:
            self.service_ms = known_ms


@attrs.define
class GatewayState:
    """State of an entry that routes requests.

    Attributes:
        name: Name of the process.
        failure_domain: Failure domain of the process.
        rng: Breaks ties between servers and spreads retry-after times.
        retry_limits: Limits on retries over all entries together.
        controls: Control instances named by the feed.
        seeds: Control instances from the settings; they never change.
        leader: Presumed leader: the sender of the last notice, or the control
            instance that a later redirect named.
        table: Routes in force; None before the first configuration.
        number: Number of the configuration in force; -1 for none.
        revision: Revision of the list of servers.
        quarantine_version: Version of the list of quarantines.
        quarantines: Names of quarantined requests; see `quarantine_key`.
        services: Services by name.
        service_by_server: Name of the service of each server, by server name.
        calls: Requests that were not answered yet, by call id.
        querying: Those of `calls` that wait for load reports or a recheck.
        entries: Number of entries that share the limits.
        entries_confirmed_ms: When that number was last set or confirmed.
        first_notice_ms: When the first notice was received.
        feed_received_ms: When the last notice was received.
        poll_due_ms: When the next poll of the feed is due.
        is_draining: Whether the process stops once no request is outstanding.
        stop: Which requests are still passed on before the process stops.
        crash_reports: Number of crash reports so far.
        unconfirmed_crashes: Crashes that may turn out to be a partition.
        suspects: When this entry last reported a crash by a request, by the
            name of the request, the oldest first.
        withdrawn: When this entry last withdrew a quarantine that is still
            listed, by the name of the request.
        trials: Quarantined requests that the entry refused or may try.
        typical_waits: Typical waits of the callers of each route.
        unrouted: Requests queued for the first configuration, by call id.
        started_ms: When the process started.
        link_name: Name under which the entry polls the control instances.
        rate_limits: Rate limits of servers and this entry's shares of them.
        leaving: Incarnations of the servers that stated to this entry that
            they leave, by their names.
        rests: Servers that asked this entry for rest.
        evacuations: Failure domains whose servers get no requests.
        cold_limits: What cold servers withstand beyond their stated rate.
        reachability: Whether the entry has a path to any server.
        has_peers: Whether entries may relay requests to each other.
        peers: Other entries that relay requests while it has none.
        relay_keys: Keys by which entries recognize each other's requests.
        overload_policy: Which requests are refused first under overload.
        overload: State of that policy; None where it is not enabled.
        limits: Limits over all entries and this entry's tokens of them.
        waiting_for_quota: Until when requests wait for a token, by call id, by
            organisation.
        quota_waits: Number of requests that waited for a token.
        quota_refusals: Number of requests refused because of a quota.
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
    service_by_server: dict[str, str] = attrs.field(factory=dict)
    calls: dict[int, RoutedCall] = attrs.field(factory=dict)
    querying: dict[int, RoutedCall] = attrs.field(factory=dict)
    entries: int = 1
    entries_confirmed_ms: float = float("-inf")
    first_notice_ms: float | None = None
    feed_received_ms: float = float("-inf")
    poll_due_ms: float = 0.0
    is_draining: bool = False
    stop: Stop = attrs.field(factory=Stop)
    crash_reports: int = 0
    unconfirmed_crashes: list[ServerCrashed] = attrs.field(factory=list)
    suspects: dict[str, float] = attrs.field(factory=dict)
    withdrawn: dict[str, float] = attrs.field(factory=dict)
    trials: Trials = attrs.field(factory=Trials)
    typical_waits: TypicalWaits = attrs.field(factory=TypicalWaits)
    unrouted: dict[int, RequestArrived] = attrs.field(factory=dict)
    started_ms: float = 0.0
    link_name: str = ""
    rate_limits: RateLimits = attrs.field(factory=RateLimits)
    leaving: dict[str, int] = attrs.field(factory=dict)
    rests: Rests = attrs.field(factory=Rests)
    evacuations: Evacuations = attrs.field(factory=Evacuations)
    cold_limits: ColdLimits = attrs.field(factory=ColdLimits)
    reachability: Reachability = attrs.field(factory=Reachability)
    has_peers: bool = False
    peers: Peers = attrs.field(factory=Peers)
    relay_keys: RelayKeys = attrs.field(factory=RelayKeys, repr=False)
    overload_policy: OverloadPolicy = OverloadPolicy.NONE
    overload: Overload | None = None
    limits: LeasedLimits = attrs.field(factory=LeasedLimits)
    waiting_for_quota: dict[str, dict[int, float]] = attrs.field(factory=dict)
    quota_waits: int = 0
    quota_refusals: int = 0

    def apply_overload_policy(self) -> None:
        """Enables or disables the overload policy for the configuration."""
        enabled = is_enabled(self.overload_policy, self.table.configuration)
        if enabled == (self.overload is not None):
            return
        self.overload = Overload(self.rng) if enabled else None
        for service in self.services.values():
            service.route_service_ms = {} if enabled else None

    @property
    def is_ready(self) -> bool:
        """Whether the entry accepts new callers."""
        return self.table is not None and not self.is_draining

    @property
    def is_fingerprint_needed(self) -> bool:
        """Whether any request is quarantined or suspected of a crash."""
        return bool(
            self.quarantines or self.suspects or self.unconfirmed_crashes
        )

    def is_quarantined(self, name: str) -> bool:
        """Returns whether a request is quarantined under a name."""
        return name in self.quarantines and name not in self.withdrawn

    def wait_ms(self, server: str, now_ms: float) -> float:
        """Returns the time for which a server must not be sent a request.

        It is 0 if the server may be sent one now.
        """
        return max(
            self.rate_limits.wait_ms((server,), now_ms),
            self.rests.wait_ms(server, now_ms),
            self.cold_wait_ms(server, now_ms),
        )

    def cold_wait_ms(self, server: str, now_ms: float) -> float:
        """Returns for how long a cold server must not be sent a request.

        Without a recent number of entries that is until it is warm. Others
        may count this entry no more once it has heard no leader for as long as
        they keep a higher number.
        """
        known = self.server(server)
        if known is None or now_ms >= known.warmup_end_ms:
            return 0.0
        plan = self.cold_plan(self.service(known.record.notice.key.service))
        if plan is None:
            return 0.0
        if known.cold_draw is None:
            # The limit is newer than the statement that the server is cold.
            self.set_cold(known, known.warmup_end_ms, now_ms)
        is_count_known = (
            self.first_notice_ms is not None
            and now_ms - self.first_notice_ms > ENTRY_COUNT_DELAY_MS
            and now_ms - self.feed_received_ms
            < ENTRIES_DECREASE_MS - STOP_MARGIN_MS
        )
        if not is_count_known:
            return known.warmup_end_ms - now_ms
        return known.cold_wait_ms(plan, now_ms)

    def count_cold_servers(self, now_ms: float) -> int:
        """Returns how many servers are cold and get a limited rate."""
        return sum(
            now_ms < server.warmup_end_ms
            for service in self.services.values()
            if service.warmup_per_s > 0.0
            for server in service.servers.values()
        )

    def cold_plan(self, service: ServiceState) -> ColdPlan | None:
        """Returns how entries share cold servers; None without a limit."""
        if service.warmup_per_s <= 0.0:
            return None
        return make_plan(self.entries, service.warmup_per_s, self.cold_limits)

    def set_cold(
        self, server: RoutedServer, until_ms: float, now_ms: float
    ) -> bool:
        """Sets the end of a server's warm-up.

        Returns:
            Whether the server has become cold or warm with it.
        """
        notice = server.record.notice
        plan = self.cold_plan(self.service(notice.key.service))
        if plan is None:
            server.warmup_end_ms = until_ms
            return False
        was_cold = now_ms < server.warmup_end_ms
        own_draw = draw(self.name, server.name, notice.incarnation)
        server.set_cold(until_ms, own_draw, plan, now_ms)
        return was_cold != (now_ms < until_ms)

    def record_sent(self, server: RoutedServer, now_ms: float) -> None:
        """Counts a request that is sent to a server towards its limits."""
        self.rate_limits.spend(server.name)
        if now_ms < server.warmup_end_ms:
            name = server.record.notice.key.service
            plan = self.cold_plan(self.service(name))
            if plan is not None:
                server.cold_due_ms = now_ms + plan.spacing_ms

    def may_send(self, server: str, now_ms: float) -> bool:
        """Returns whether a server may be sent a request now."""
        return (
            not self.is_evacuated(server)
            and not self.is_leaving(server)
            and self.wait_ms(server, now_ms) <= 0.0
        )

    def is_evacuated(self, server: str) -> bool:
        """Returns whether the failure domain of a server is evacuated."""
        if not self.evacuations.domains:
            return False
        known = self.server(server)
        return known is not None and self.evacuations.contains(
            known.record.notice
        )

    def is_leaving(self, server: str) -> bool:
        """Returns whether a server has stated to this entry that it leaves."""
        known = self.server(server) if server in self.leaving else None
        return (
            known is not None
            and known.record.notice.incarnation == self.leaving[server]
        )

    def record_leaving(self, server: str) -> bool:
        """Records that a server leaves; returns whether that is new."""
        known = self.server(server)
        if known is None or self.is_leaving(server):
            return False
        self.leaving[server] = known.record.notice.incarnation
        if len(self.leaving) > MAX_LEAVING:
            del self.leaving[next(iter(self.leaving))]
        return True

    def service(self, name: str) -> ServiceState:
        """Returns the state of a service; creates it if it is unknown."""
        service = self.services.get(name)
        if service is None:
            retry_window = RetryWindow(self.retry_limits)
            service = self.services[name] = ServiceState(name, retry_window)
            if self.overload is not None:
                service.route_service_ms = {}
        return service

    def remove_server(self, name: str) -> None:
        """Removes a server; it must be known."""
        service = self.services[self.service_by_server.pop(name)]
        del service.servers[name]
        if name in service.homes:
            self.choose_homes(service)

    def choose_homes(self, service: ServiceState) -> None:
        """Chooses the home servers of a service whose servers have changed."""
        servers = self.servers_in_use(service).values()
        service.homes = choose_homes(self.name, self.failure_domain, servers)

    def servers_in_use(self, service: ServiceState) -> dict[str, RoutedServer]:
        """Returns the servers of a service that are not evacuated, by name."""
        if not self.evacuations.domains:
            return service.servers
        return {
            name: server
            for name, server in service.servers.items()
            if not self.evacuations.contains(server.record.notice)
        }

    def server(self, name: str) -> RoutedServer | None:
        """Returns a server by its name, or None if it is unknown."""
        service = self.service_by_server.get(name)
        return self.services[service].servers.get(name) if service else None
