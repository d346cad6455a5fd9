"""Runs entries with their real reducer against model servers.

Virtual time. Callers retry once or twice, as told by the retry-after time.
Control instances are not modelled: every entry knows all servers from the start
and learns of a lost one from its own attempts and load queries.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from benchmarks.fleet_load.results import Result
from benchmarks.fleet_load.scenario import (
    Disruption,
    DisruptionKind,
    RequestModel,
    Scenario,
)
from benchmarks.fleet_load.servers import Job, ModelServer
from gentianwall.config.routes import (
    CallerLimits,
    Organisation,
    Route,
    RouteConfiguration,
    RoutedService,
    RouteTarget,
    digest_key,
)
from gentianwall.control.messages import FeedNotice
from gentianwall.core.events import CallerDisconnected, FailureKind, Tick
from gentianwall.gateway import effects as fx
from gentianwall.gateway.budget import RetryLimits
from gentianwall.gateway.events import (
    DeadlineExpired,
    FeedArrived,
    GatewayEvent,
    LoadQueryEnded,
    RecheckDue,
    RequestArrived,
    ServerAnswered,
    ServerFailed,
)
from gentianwall.gateway.reducer import reduce_gateway
from gentianwall.gateway.state import GatewayState
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.membership.registry import RegisteredServer
from gentianwall.runtime.gateway import TICK_MS
from gentianwall.runtime.gateway_requests import (
    CONNECT_TIMEOUT_S,
    LOAD_QUERY_WAIT_MS,
)
from gentianwall.runtime.server_checks import HEALTH_CHECK_TIMEOUT_MS

HOST = "model.example"
HEALTH_PATH = "/h"
MAX_ATTEMPTS = 2
RETRY_LIMITS = RetryLimits(0.2, 200.0, 10_000.0)
MOST_CONNECTIONS = 2400
# Requests before this time fill the servers and are not counted.
WARM_UP_MS = 4000.0
# Time that an idle connection to a server is kept.
IDLE_CONNECTION_MS = 4000.0
# A caller that cannot connect tries again after this time.
RECONNECT_MS = 100.0
# Most times that a patient caller sends a request again, drawn evenly.
MOST_RETRIES = 2
# A caller waits for a retry-after time of at most this share of its time left.
RETRY_AFTER_SHARE = 1.0 / 3.0


@attrs.define(eq=False)
class _Request:
    """A request of a caller, over all its attempts through entries."""

    model: RequestModel
    domain: int
    started_ms: float
    work_ms: float
    retries_left: int
    is_impatient: bool
    is_counted: bool
    organisation: str = ""
    has_ended: bool = False

    @property
    def deadline_ms(self) -> float:
        return self.started_ms + self.model.deadline_ms


@attrs.define(eq=False)
class _Sent:
    server: ModelServer
    job: Job | None = None


class FleetModel:
    """A fleet under the load and the disruptions of a scenario.

    Args:
        scenario: The scenario.
        seed: Seed of all random choices.

    Attributes:
        result: What the callers got so far.
        now_ms: The virtual time.
        call_ids: Ids of requests, unique over all entries.
        servers: Servers of all services by name.
    """

    def __init__(self, scenario: Scenario, seed: int):
        self.scenario = scenario
        self.result = Result()
        self.now_ms = 0.0
        self._last_arrival_ms = WARM_UP_MS + scenario.seconds * 1000.0
        self._load_rng = random.Random(f"{seed} load")
        self._caller_rng = random.Random(f"{seed} callers")
        self._queue: list = []
        self._numbers = itertools.count()
        self.call_ids = itertools.count(1)
        self._burst_factor: dict[int, float] = {}
        self._moved_share: dict[int, float] = {}
        self._abuse: tuple[float, float] = (0.0, 0.0)
        self._kind_factor: dict[str, float] = {}
        self._organisation_factor: dict[str, float] = {}
        self._disconnect: tuple[float, float] = (0.0, 0.0)
        self.servers: dict[str, ModelServer] = {}
        records = self._make_servers(seed)
        self._entries = [
            _Entry(self, f"e{domain}-{number}", domain, records, seed)
            for domain, count in enumerate(scenario.entries_per_domain)
            for number in range(count)
        ]

    def _make_servers(self, seed: int) -> tuple[RegisteredServer, ...]:
        records = []
        for service in self.scenario.services:
            for domain, count in enumerate(service.servers_per_domain):
                for number in range(count):
                    name = f"{service.name}-{domain}-{number}"
                    rng = random.Random(f"{seed} {name}")
                    self.servers[name] = ModelServer(name, domain, service, rng)
                    notice = ServerNotice(
                        ServerKey(service.name, name),
                        "10.0.0.1",
                        80,
                        service.slots,
                        f"d{domain}",
                        1,
                        "up",
                    )
                    revision = len(records) + 1
                    records.append(RegisteredServer(notice, 1, 0.0, revision))
        return tuple(records)

    # Scheduling.

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Calls a function after a delay in virtual time."""
        at_ms = self.now_ms + max(0.0, delay_ms)
        heapq.heappush(self._queue, (at_ms, next(self._numbers), action))

    def run(self) -> Result:
        """Runs the scenario and returns what callers got."""
        end_ms = self._last_arrival_ms + max(
            request.deadline_ms for request in self.scenario.requests
        )
        for model in self.scenario.requests:
            for domain in range(len(self.scenario.entries_per_domain)):
                self._schedule_arrival(model, domain)
        for disruption in self.scenario.disruptions:
            at_ms = WARM_UP_MS + disruption.at_s * 1000.0
            self.schedule(at_ms, lambda d=disruption: self._begin(d))
        for entry in self._entries:
            self.schedule(self._caller_rng.random() * TICK_MS, entry.tick)
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        for server in self.servers.values():
            self.result.arrivals += server.arrivals
            self.result.arrivals_when_full += server.arrivals_when_full
        return self.result

    def wake_server(self, server: ModelServer) -> None:
        """Schedules the next change of a server."""
        at_ms = server.next_change_ms()
        if at_ms == float("inf"):
            return
        version = server.version

        def on_change() -> None:
            if server.version == version:
                server.version += 1
                server.finish_due(self.now_ms)
                self.wake_server(server)

        self.schedule(at_ms - self.now_ms, on_change)

    # Disruptions.

    def _begin(self, disruption: Disruption) -> None:
        domains = (
            range(len(self.scenario.entries_per_domain))
            if disruption.domain < 0
            else (disruption.domain,)
        )
        for_ms = disruption.for_s * 1000.0
        match disruption.kind:
            case DisruptionKind.BURST if disruption.only:
                self._kind_factor[disruption.only] = disruption.factor
                self.schedule(for_ms, self._kind_factor.clear)
            case DisruptionKind.ORGANISATION:
                self._organisation_factor[disruption.only] = disruption.factor
                self.schedule(for_ms, self._organisation_factor.clear)
            case DisruptionKind.DISCONNECT:
                self._disconnect = (disruption.share, disruption.factor)
                self.schedule(for_ms, self._end_disconnects)
            case DisruptionKind.KILL_ENTRIES:
                entries = [e for e in self._entries if e.domain in domains]
                count = round(disruption.share * len(entries))
                for entry in self._load_rng.sample(entries, count):
                    entry.kill()
                    self.schedule(for_ms, entry.restart)
            case DisruptionKind.BURST:
                for domain in domains:
                    self._burst_factor[domain] = disruption.factor
                self.schedule(for_ms, self._burst_factor.clear)
            case DisruptionKind.SHIFT:
                for domain in domains:
                    self._moved_share[domain] = disruption.share
                self.schedule(for_ms, self._moved_share.clear)
            case DisruptionKind.ABUSE:
                self._abuse = (disruption.share, disruption.factor)
                self.schedule(for_ms, self._end_abuse)
            case DisruptionKind.SLOW:
                for server in self._draw_servers(disruption, domains):
                    server.advance(self.now_ms)
                    server.slow_factor = disruption.factor
                    self.schedule(for_ms, lambda s=server: self._recover(s))
            case DisruptionKind.CRASH:
                for server in self._draw_servers(disruption, domains):
                    server.crash(self.now_ms)
                    self.schedule(for_ms, lambda s=server: self._recover(s))

    def _draw_servers(self, disruption, domains) -> list[ModelServer]:
        servers = [s for s in self.servers.values() if s.domain in domains]
        count = round(disruption.share * len(servers))
        return self._load_rng.sample(servers, count)

    def _end_abuse(self) -> None:
        self._abuse = (0.0, 0.0)

    def _end_disconnects(self) -> None:
        self._disconnect = (0.0, 0.0)

    def _recover(self, server: ModelServer) -> None:
        server.advance(self.now_ms)
        server.slow_factor = 1.0
        server.is_dark = False
        self.wake_server(server)

    # Callers.

    def _schedule_arrival(self, model: RequestModel, domain: int) -> None:
        domains = len(self.scenario.entries_per_domain)
        per_ms = model.per_s / domains / 1000.0
        factor = self._burst_factor.get(domain, 1.0)
        factor *= self._kind_factor.get(model.name, 1.0)
        factor *= 1.0 + sum(
            organisation.share
            * (self._organisation_factor.get(organisation.name, 1.0) - 1.0)
            for organisation in self.scenario.organisations
        )
        delay_ms = self._load_rng.expovariate(per_ms * factor)
        self.schedule(delay_ms, lambda: self._arrive(model, domain))

    def _arrive(self, model: RequestModel, domain: int) -> None:
        if self.now_ms > self._last_arrival_ms:
            return
        self._schedule_arrival(model, domain)
        rng = self._load_rng
        share, factor = self._abuse
        is_impatient = rng.random() < share
        if rng.random() < self._moved_share.get(domain, 0.0):
            domain = (domain + 1) % len(self.scenario.entries_per_domain)
        # The median is lower than the mean by half the variance.
        work_ms = model.work_ms * rng.lognormvariate(
            -(model.spread**2) / 2.0, model.spread
        )
        organisation = ""
        if self.scenario.organisations:
            organisation = self._draw_organisation(rng)
        retries = rng.randint(1, MOST_RETRIES)
        request = _Request(
            model,
            domain,
            self.now_ms,
            work_ms,
            1 + round(factor) if is_impatient else retries,
            is_impatient,
            self.now_ms >= WARM_UP_MS,
            organisation,
        )
        if request.is_counted:
            self.result.record_request(
                self.now_ms - WARM_UP_MS, model, organisation
            )
        share, target_share = self._disconnect
        if rng.random() < share:
            self.schedule(
                target_share * model.target_ms, lambda: self._give_up(request)
            )
        self._send(request)

    def _draw_organisation(self, rng: random.Random) -> str:
        names = [o.name for o in self.scenario.organisations]
        weights = [
            o.share * self._organisation_factor.get(o.name, 1.0)
            for o in self.scenario.organisations
        ]
        return rng.choices(names, weights)[0]

    def _send(self, request: _Request) -> None:
        if request.has_ended:
            return
        if self.now_ms >= request.deadline_ms:
            self._record_loss(request, "failed")
            return
        entries = [
            e
            for e in self._entries
            if e.domain == request.domain and not e.is_dark
        ]
        if entries:
            self._caller_rng.choice(entries).receive(request)
        else:
            self.schedule(RECONNECT_MS, lambda: self._send(request))

    def _give_up(self, request: _Request) -> None:
        if request.has_ended:
            return
        self._record_loss(request, "given up")
        for entry in self._entries:
            entry.disconnect(request)

    def _record_loss(self, request: _Request, outcome: str) -> None:
        request.has_ended = True
        if request.is_counted:
            self.result.record_loss(
                request.model, request.organisation, outcome
            )

    def on_connection_lost(self, request: _Request) -> None:
        """Sends a request of a killed entry again, if that is allowed."""
        if request.model.kind.is_idempotent and request.retries_left > 0:
            request.retries_left -= 1
            self.schedule(RECONNECT_MS, lambda: self._send(request))
        else:
            self._record_loss(request, "failed")

    def on_answer(self, request: _Request) -> None:
        """Records a successful answer to a caller."""
        request.has_ended = True
        if request.is_counted:
            started_ms = request.started_ms - WARM_UP_MS
            latency_ms = self.now_ms - request.started_ms
            self.result.record_answer(
                started_ms, request.model, request.organisation, latency_ms
            )

    def on_refusal(
        self, request: _Request, is_executed: bool, retry_after_ms: float
    ) -> None:
        """Records a refusal, or sends the request again later."""
        left_ms = request.deadline_ms - self.now_ms
        wait_ms = 5.0 if request.is_impatient else retry_after_ms
        can_retry = (
            request.retries_left > 0
            and (request.model.kind.is_idempotent or not is_executed)
            and wait_ms <= RETRY_AFTER_SHARE * left_ms
        )
        if can_retry:
            request.retries_left -= 1
            self.schedule(wait_ms, lambda: self._send(request))
        else:
            self._record_loss(request, "failed" if is_executed else "refused")


class _Entry:
    """One entry with its reducer; performs effects as its driver does."""

    def __init__(self, model: FleetModel, name, domain, records, seed):
        self.model = model
        self.domain = domain
        self._open: dict[int, _Request] = {}
        self._sent: dict[tuple[int, int], _Sent] = {}
        self._queries: set[str] = set()
        self._idle_until_ms: dict[str, list[float]] = {}
        self.is_dark = False
        self._name = name
        self._rng = random.Random(f"{seed} {name}")
        scenario = model.scenario
        routes = tuple(
            Route(
                request.name,
                HOST,
                f"/{request.name}/",
                request.kind,
                request.deadline_ms,
                request.target_ms,
                request.priority,
                MAX_ATTEMPTS,
                (RouteTarget(request.service, 1.0),),
            )
            for request in scenario.requests
        )
        services = tuple(
            RoutedService(service.name, HEALTH_PATH, MOST_CONNECTIONS)
            for service in scenario.services
        )
        self._notice = FeedNotice(
            1,
            1,
            RouteConfiguration(
                1,
                routes,
                services,
                CallerLimits(),
                tuple(
                    Organisation(o.name, (digest_key(o.name.encode()),))
                    for o in scenario.organisations
                ),
            ),
            len(records),
            records,
            0,
            None,
            ("c",),
            sum(scenario.entries_per_domain),
        )
        self._start()

    def _start(self) -> None:
        self.state = GatewayState(
            self._name,
            f"d{self.domain}",
            self._rng,
            RETRY_LIMITS,
            seeds=("c",),
            started_ms=self.model.now_ms,
            overload_policy=self.model.scenario.overload_policy,
        )
        self._handle(FeedArrived(self.model.now_ms, "c", self._notice))

    def kill(self) -> None:
        """Ends the process: its callers lose their connections."""
        self.is_dark = True
        requests = list(self._open.values())
        self._open.clear()
        self._sent.clear()
        self._queries.clear()
        self._idle_until_ms.clear()
        for request in requests:
            self.model.on_connection_lost(request)

    def restart(self) -> None:
        """Starts the process anew, without what it knew."""
        self.is_dark = False
        self._start()

    def disconnect(self, request: _Request) -> None:
        """Handles that the caller of a request closes its connection."""
        for call_id, other in list(self._open.items()):
            if other is request:
                self._handle(CallerDisconnected(self.model.now_ms, call_id))
                del self._open[call_id]

    def tick(self) -> None:
        """Passes the time to the reducer, as the driver does."""
        self.model.schedule(TICK_MS, self.tick)
        if self.is_dark:
            return
        self._handle(Tick(self.model.now_ms))
        if self.model.now_ms % 1000.0 < TICK_MS:
            notice = attrs.evolve(self._notice, configuration=None, servers=())
            self._handle(FeedArrived(self.model.now_ms, "c", notice))

    def receive(self, request: _Request) -> None:
        """Receives a request of a caller."""
        call_id = next(self.model.call_ids)
        self._open[call_id] = request
        now_ms = self.model.now_ms
        self._handle(
            RequestArrived(
                now_ms,
                call_id,
                f"r{call_id}",
                HOST,
                f"/{request.model.name}/x",
                request.deadline_ms - now_ms,
                "",
                authorization=(
                    (b"Bearer " + request.organisation.encode(),)
                    if request.organisation
                    else ()
                ),
            )
        )

    def _handle(self, event: GatewayEvent) -> None:
        if self.is_dark:
            return
        for effect in reduce_gateway(self.state, event):
            self._perform(effect)

    def _perform(self, effect: fx.GatewayEffect) -> None:
        model = self.model
        match effect:
            case fx.StartDeadlineTimer(call_id, at_ms):
                self._later(
                    at_ms - model.now_ms,
                    call_id,
                    lambda: DeadlineExpired(model.now_ms, call_id),
                )
            case fx.ScheduleRecheck(call_id, at_ms):
                self._later(
                    at_ms - model.now_ms,
                    call_id,
                    lambda: RecheckDue(model.now_ms, call_id),
                )
            case fx.QueryLoad(call_id, notices, _):
                self._later(
                    LOAD_QUERY_WAIT_MS,
                    call_id,
                    lambda: RecheckDue(model.now_ms, call_id),
                )
                for notice in notices:
                    self._query(notice.key.server)
            case fx.CheckOverdue(notice, _):
                self._query(notice.key.server)
            case fx.SendRequest():
                self._send(effect)
            case fx.CancelRequest(call_id, attempt):
                self._cancel(call_id, attempt)
            case fx.ForwardAnswer(call_id):
                model.on_answer(self._open.pop(call_id))
            case fx.RefuseRequest(call_id, refusal):
                is_executed = refusal.executed.value != "no"
                model.on_refusal(
                    self._open.pop(call_id), is_executed, refusal.retry_after_ms
                )

    def _later(self, delay_ms: float, call_id: int, make_event) -> None:
        def handle() -> None:
            if call_id in self._open:
                self._handle(make_event())

        self.model.schedule(delay_ms, handle)

    def _delay_ms(self, server: ModelServer) -> float:
        scenario = self.model.scenario
        is_local = server.domain == self.domain
        return scenario.local_ms if is_local else scenario.remote_ms

    def _connect_ms(self, server: ModelServer) -> float:
        """Takes an idle connection, or returns the time to open one."""
        idle = self._idle_until_ms.setdefault(server.name, [])
        while idle:
            if idle.pop() >= self.model.now_ms:
                return 0.0
        self.model.result.connections += 1
        return 2.0 * self._delay_ms(server)

    def _release(self, server: ModelServer) -> None:
        until_ms = self.model.now_ms + IDLE_CONNECTION_MS
        self._idle_until_ms.setdefault(server.name, []).append(until_ms)

    def _query(self, name: str) -> None:
        if name in self._queries:
            return
        self._queries.add(name)
        model = self.model
        model.result.queries += 1
        server = model.servers[name]
        delay_ms = self._delay_ms(server)

        def end(report) -> None:
            self._queries.discard(name)
            if self.is_dark:
                return
            if report is not None:
                self._release(server)
            is_answered = report is not None
            self._handle(
                LoadQueryEnded(
                    model.now_ms, name, is_answered, is_answered, False, report
                )
            )

        def arrive() -> None:
            if server.is_dark:
                model.schedule(HEALTH_CHECK_TIMEOUT_MS, lambda: end(None))
                return
            report = server.report(model.now_ms)
            model.schedule(delay_ms, lambda: end(report))

        model.schedule(self._connect_ms(server) + delay_ms, arrive)

    def _send(self, effect: fx.SendRequest) -> None:
        model = self.model
        call_id, attempt = effect.call_id, effect.attempt
        request = self._open[call_id]
        server = model.servers[effect.notice.key.server]
        key = (call_id, attempt)
        sent = self._sent[key] = _Sent(server)
        delay_ms = self._delay_ms(server)
        connect_ms = self._connect_ms(server)

        def fail(kind: FailureKind) -> None:
            if self._sent.get(key) is sent:
                del self._sent[key]
                self._handle(ServerFailed(model.now_ms, call_id, attempt, kind))

        def answer(is_refusal: bool) -> None:
            if self._sent.get(key) is not sent:
                return
            del self._sent[key]
            self._release(server)
            status = 503 if is_refusal else 200
            self._handle(
                ServerAnswered(
                    model.now_ms,
                    call_id,
                    attempt,
                    status,
                    is_refusal,
                    True,
                    server.report(model.now_ms),
                )
            )

        def finish() -> None:
            if not server.is_dark:
                model.schedule(delay_ms, lambda: answer(False))

        def arrive() -> None:
            if self._sent.get(key) is not sent or server.is_dark:
                return
            sent.job = Job(request.work_ms, finish)
            if server.accept(sent.job, model.now_ms):
                model.wake_server(server)
            elif not server.drops_when_full:
                model.schedule(delay_ms, lambda: answer(True))

        if server.is_dark and connect_ms > 0.0:
            model.schedule(
                CONNECT_TIMEOUT_S * 1000.0,
                lambda: fail(FailureKind.NOT_CONNECTED),
            )
            return
        model.schedule(connect_ms + delay_ms, arrive)

    def _cancel(self, call_id: int, attempt: int) -> None:
        sent = self._sent.pop((call_id, attempt), None)
        if sent is not None and sent.job is not None:
            sent.server.drop(sent.job, self.model.now_ms)
            self.model.wake_server(sent.server)
