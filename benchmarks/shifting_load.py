"""Entry cores against fake servers whose load shifts, in virtual time.

The entries are the real reducer. A server is slots, a first-in-first-out
queue, a service time and faults; it is a fake at the interface, not a model
of a cluster. Everything is drawn from one seed.
"""

from __future__ import annotations

import heapq
import itertools
import random

from benchmarks.load_parts import FakeServer, Faults, Job, Outcome, User
from gentianwall.config.declaration import (
    Declaration,
    TierSettings,
)
from gentianwall.control.client import ControlClient
from gentianwall.core import configuration
from gentianwall.core.effects import (
    AnswerCaller,
    CancelAttempt,
    Dispatch,
    ProbeServer,
    RefuseCaller,
)
from gentianwall.core.entry import reduce_entry
from gentianwall.core.events import (
    AttemptAnswered,
    AttemptFailed,
    CallArrived,
    FailureKind,
    ProbeEnded,
    ServerAnnounced,
    Tick,
)
from gentianwall.core.state import EntryState
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.routing.policies import HotCold, Policy, ProbeResult
from gentianwall.routing.servers import LoadReport

SERVICE = "s"
TICK_MS = 5.0
ANNOUNCE_MS = 800.0
WARM_MS = 1000.0
MAX_SERVER_QUEUE = 20
DRAIN_MS = 700.0
NOISE_MS = 300.0
SIGMA = 0.5


class Run:
    """One run of a user's entries under a policy, a load and faults."""

    def __init__(
        self,
        user: User,
        make_policy,
        load: float,
        faults: Faults,
        seed: int,
        is_managed: bool = True,
    ):
        self.user = user
        self.load = load
        self.faults = faults
        # A stream for each purpose, so that every policy meets the same.
        self.rng = random.Random(f"{seed} calls")
        self.fault_rng = random.Random(f"{seed} faults")
        self.service_rng = random.Random(f"{seed} service")
        self.now_ms = 0.0
        self._agenda: list = []
        self._order = itertools.count()
        self._call_ids = itertools.count(1)
        self.arrived: dict[tuple[int, int], float] = {}
        self.jobs: dict[tuple[int, int, int], Job] = {}
        self.latencies: list[float] = []
        self.answered_at: list[float] = []
        self.refused = 0
        self.calls = 0
        self.probes_ms = 0.0
        self.burst = lambda now_ms: 1.0
        self.servers = {
            f"s{n}": FakeServer(f"s{n}", n % user.domains, user.slots)
            for n in range(user.servers)
        }
        self.policies: list[Policy] = []
        self.entries = [
            self._entry(n, make_policy, is_managed) for n in range(user.entries)
        ]

    def _entry(self, number: int, make_policy, is_managed) -> EntryState:
        state = EntryState(
            name=f"e{number}",
            failure_domain=f"d{number % self.user.domains}",
            peers=tuple(
                f"e{n}" for n in range(self.user.entries) if n != number
            ),
            boot_id=f"b{number}",
            rng=random.Random(self.rng.getrandbits(32)),
            control=ControlClient(("c",)),
        )
        declaration = Declaration(
            tiers=(TierSettings(name="t", max_wait_ms=1000.0, price=1.0),),
            services={SERVICE: self.user.settings},
            measuring=self.user.measuring,
        )
        configuration.apply_declaration(state, declaration, 0.0, [])
        state.is_config_known = True
        pool = state.services[SERVICE].pool
        pool.policy = make_policy()
        pool.is_managed = is_managed
        self.policies.append(pool.policy)
        return state

    # Time.

    def run(self, time_ms: float) -> Outcome:
        """Runs for a time and returns what came of the calls."""
        end_ms = WARM_MS + time_ms
        self._every(TICK_MS, self._tick)
        self._every(ANNOUNCE_MS, self._announce, first_ms=0.0)
        self._start_faults()
        self._at(0.0, self._arrive)
        while self._agenda and self._agenda[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._agenda)
            action()
        self.latencies.sort()
        server_s = self.user.servers * end_ms / 1000.0
        return Outcome(
            self.latencies,
            self.refused,
            self.calls,
            self.probes_ms / server_s,
            self.answered_at,
        )

    def _at(self, delay_ms: float, action) -> None:
        item = (self.now_ms + delay_ms, next(self._order), action)
        heapq.heappush(self._agenda, item)

    def _every(self, interval_ms: float, action, first_ms=None) -> None:
        def repeat() -> None:
            action()
            self._at(interval_ms, repeat)

        self._at(interval_ms if first_ms is None else first_ms, repeat)

    def _tick(self) -> None:
        for number in range(len(self.entries)):
            self._event(number, Tick(self.now_ms))

    def _announce(self) -> None:
        for server in self.servers.values():
            notice = ServerNotice(
                ServerKey(SERVICE, server.name),
                "127.0.0.1",
                1,
                server.slots,
                f"d{server.domain}",
                1,
                "up",
            )
            for number in range(len(self.entries)):
                event = ServerAnnounced(self.now_ms, notice)
                self._event(number, event)

    # Faults.

    def _start_faults(self) -> None:
        servers = list(self.servers.values())
        quarter = max(1, len(servers) // 4)
        if self.faults.is_noisy:
            self._every(NOISE_MS, self._make_noise)
        if self.faults.is_draining:
            self._every(DRAIN_MS, self._drain_one)
        if self.faults.is_failing_fast:
            self._at(WARM_MS, lambda: self._fail_fast(servers[0]))
        if self.faults.is_lying:
            for server in servers[:quarter]:
                server.is_lying = True
        if self.faults.is_cold:
            self._every(500.0, self._restart_one)
        if self.faults.is_stepping:
            self.burst = lambda now: 2.0 if now % 200.0 < 50.0 else 2 / 3

    def _fail_fast(self, server: FakeServer) -> None:
        server.is_failing_fast = True

    def _make_noise(self) -> None:
        server = self.fault_rng.choice(list(self.servers.values()))
        server.slow_until_ms = self.now_ms + self.fault_rng.uniform(200, 1000)
        server.slow_factor = 4.0

    def _drain_one(self) -> None:
        server = self.fault_rng.choice(list(self.servers.values()))
        server.refusing_until_ms = self.now_ms + DRAIN_MS

    def _restart_one(self) -> None:
        server = self.fault_rng.choice(list(self.servers.values()))
        server.slow_until_ms = self.now_ms + 400.0
        server.slow_factor = 5.0

    # Calls.

    def _arrive(self) -> None:
        rate = self.user.capacity_per_s * self.load * self.burst(self.now_ms)
        self._at(self.rng.expovariate(rate / 1000.0), self._arrive)
        number = self.rng.randrange(len(self.entries))
        self.send(number)

    def send(self, number: int) -> int:
        """Sends one call through an entry; returns its id."""
        call_id = next(self._call_ids)
        self.arrived[(number, call_id)] = self.now_ms
        if self.now_ms >= WARM_MS:
            self.calls += 1
        policy = self.policies[number]
        if isinstance(policy, HotCold):
            self._probe_for(number, policy)
        event = CallArrived(
            at_ms=self.now_ms,
            wall_ms=int(self.now_ms),
            call_id=call_id,
            request_id="",
            service=SERVICE,
            method="GET",
            caller="",
            max_wait_ms=1000.0,
            idempotency_key="",
            fingerprint="",
            is_nested=False,
        )
        self._event(number, event)
        return call_id

    def _event(self, number: int, event) -> None:
        for effect in reduce_entry(self.entries[number], event):
            match effect:
                case Dispatch():
                    self._dispatch(number, effect)
                case AnswerCaller():
                    self._finish(number, effect.call_id, True)
                case RefuseCaller():
                    self._finish(number, effect.call_id, False)
                case CancelAttempt():
                    key = (number, effect.call_id, effect.attempt)
                    if key in self.jobs:
                        self.jobs[key].is_cancelled = True
                case ProbeServer():
                    self._probe(number, effect.notice)

    def finished(self, number: int, call_id: int, is_good: bool) -> None:
        """Hook for callers that resend."""

    def _finish(self, number: int, call_id: int, is_good: bool) -> None:
        arrived_ms = self.arrived.pop((number, call_id))
        is_good = is_good and self._was_good
        if arrived_ms >= WARM_MS:
            if is_good:
                self.latencies.append(self.now_ms - arrived_ms)
                self.answered_at.append(self.now_ms)
            else:
                self.refused += 1
        self.finished(number, call_id, is_good)

    _was_good = True

    def _one_way_ms(self, number: int, server: FakeServer) -> float:
        is_near = number % self.user.domains == server.domain
        return self.user.near_ms if is_near else self.user.domain_ms

    def _dispatch(self, number: int, effect: Dispatch) -> None:
        server = self.servers[effect.notice.key.server]
        job = Job(number, effect.call_id, effect.attempt)
        self.jobs[(number, job.call_id, job.attempt)] = job
        self._at(
            self._one_way_ms(number, server),
            lambda: self._reach(server, job),
        )

    def _reach(self, server: FakeServer, job: Job) -> None:
        if self.now_ms < server.refusing_until_ms:
            self._fail(server, job)
        elif server.is_failing_fast:
            self._answer(server, job, 500, None)
        elif len(server.queue) >= MAX_SERVER_QUEUE:
            self._answer(server, job, 503, 100.0)
        elif server.running < server.slots:
            self._begin(server, job)
        else:
            server.queue.append(job)

    def _begin(self, server: FakeServer, job: Job) -> None:
        server.running += 1
        mean_ms = self.user.service_ms
        spread = self.service_rng.lognormvariate(-(SIGMA**2) / 2, SIGMA)
        time_ms = mean_ms * spread
        if self.now_ms < server.slow_until_ms:
            time_ms *= server.slow_factor
        time_ms += server.probe_busy_ms
        server.probe_busy_ms = 0.0
        server.recent_ms = 0.8 * server.recent_ms + 0.2 * time_ms
        self._at(time_ms, lambda: self._end(server, job))

    def _end(self, server: FakeServer, job: Job) -> None:
        server.running -= 1
        if not job.is_cancelled:
            self._answer(server, job, 200, None)
        while server.queue and server.running < server.slots:
            waiting = server.queue.popleft()
            if not waiting.is_cancelled:
                self._begin(server, waiting)

    def _answer(
        self, server: FakeServer, job: Job, status: int, retry_ms
    ) -> None:
        load = 0.0 if server.is_lying else float(server.load)
        report = LoadReport(load, load / server.slots)

        def arrive() -> None:
            self.jobs.pop((job.entry, job.call_id, job.attempt), None)
            if job.is_cancelled:
                return
            self._was_good = status < 500
            event = AttemptAnswered(
                self.now_ms,
                job.call_id,
                job.attempt,
                status,
                retry_ms,
                report,
                None,
            )
            self._event(job.entry, event)
            self._was_good = True

        self._at(self._one_way_ms(job.entry, server), arrive)

    def _fail(self, server: FakeServer, job: Job) -> None:
        def arrive() -> None:
            self.jobs.pop((job.entry, job.call_id, job.attempt), None)
            if not job.is_cancelled:
                event = AttemptFailed(
                    self.now_ms,
                    job.call_id,
                    job.attempt,
                    FailureKind.NOT_CONNECTED,
                )
                self._event(job.entry, event)

        self._at(self._one_way_ms(job.entry, server), arrive)

    # Probes.

    def _probe(self, number: int, notice: ServerNotice) -> None:
        server = self.servers[notice.key.server]
        started_ms = self.now_ms
        self._charge_probe(server)

        def arrive() -> None:
            load = 0.0 if server.is_lying else float(server.load)
            report = LoadReport(load, load / server.slots)
            event = ProbeEnded(
                self.now_ms,
                notice.key,
                self.now_ms >= server.refusing_until_ms,
                self.now_ms - started_ms,
                report,
            )
            self._event(number, event)

        self._at(2 * self._one_way_ms(number, server), arrive)

    def _charge_probe(self, server: FakeServer) -> None:
        server.probe_busy_ms += self.user.probe_ms
        self.probes_ms += self.user.probe_ms

    def _probe_for(self, number: int, policy: HotCold) -> None:
        """Sends the probes that a call of the probing baseline brings."""
        count = int(policy.probes_per_call + self.service_rng.random())
        servers = list(self.servers.values())
        for server in self.service_rng.sample(servers, count):
            self._charge_probe(server)

            def arrive(server=server) -> None:
                load = 0.0 if server.is_lying else float(server.load)
                policy.pool.pop(server.name, None)
                if self.now_ms >= server.refusing_until_ms:
                    queued = max(1.0, (load + 1) / server.slots)
                    policy.pool[server.name] = ProbeResult(
                        load, server.recent_ms * queued, policy.uses
                    )
                while len(policy.pool) > policy.pool_size:
                    del policy.pool[next(iter(policy.pool))]

            self._at(2 * self._one_way_ms(number, server), arrive)
