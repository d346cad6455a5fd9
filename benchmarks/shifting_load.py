"""Simulates entries with fake servers under shifting load, in virtual time.

The entries run the real reducer. A fake server consists of slots, a
first-in-first-out queue, a random service time and faults. It models a server
only as far as an entry sees it. Control instances and messages between entries
are not simulated. All random values come from one seed.
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
ANNOUNCE_INTERVAL_MS = 800.0
WARM_UP_MS = 1000.0
MAX_SERVER_QUEUE = 20
# Duration of a drain and interval between the starts of two drains.
DRAIN_MS = 700.0
NOISE_INTERVAL_MS = 300.0
SERVICE_TIME_SIGMA = 0.5


class Simulation:
    """Simulation of one user's entries under a policy, a load and faults."""

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
        # A separate generator for each purpose, so that all policies are
        # measured with the same calls and faults.
        self.rng = random.Random(f"{seed} calls")
        self.fault_rng = random.Random(f"{seed} faults")
        self.service_rng = random.Random(f"{seed} service")
        self.now_ms = 0.0
        self._event_queue: list = []
        self._event_numbers = itertools.count()
        self._call_ids = itertools.count(1)
        self.arrivals_ms: dict[tuple[int, int], float] = {}
        self.jobs: dict[tuple[int, int, int], Job] = {}
        self.latencies_ms: list[float] = []
        self.answered_at_ms: list[float] = []
        self.refused = 0
        self.calls = 0
        self.total_probe_ms = 0.0
        self.load_factor = lambda now_ms: 1.0
        self.servers = {
            f"s{n}": FakeServer(f"s{n}", n % user.domains, user.slots)
            for n in range(user.servers)
        }
        self.policies: list[Policy] = []
        self.entries = [
            self._make_entry(n, make_policy, is_managed)
            for n in range(user.entries)
        ]

    def _make_entry(
        self, entry_index: int, make_policy, is_managed
    ) -> EntryState:
        state = EntryState(
            name=f"e{entry_index}",
            failure_domain=f"d{entry_index % self.user.domains}",
            peers=tuple(
                f"e{n}" for n in range(self.user.entries) if n != entry_index
            ),
            boot_id=f"b{entry_index}",
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

    # Scheduling.

    def run(self, time_ms: float) -> Outcome:
        """Runs the simulation for a time after the warm-up.

        Returns:
            Latencies and counts of the calls.
        """
        end_ms = WARM_UP_MS + time_ms
        self._schedule_repeated(TICK_MS, self._tick)
        self._schedule_repeated(
            ANNOUNCE_INTERVAL_MS, self._announce, first_ms=0.0
        )
        self._schedule_faults()
        self._schedule(0.0, self._send_next_call)
        while self._event_queue and self._event_queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._event_queue)
            action()
        self.latencies_ms.sort()
        server_s = self.user.servers * end_ms / 1000.0
        return Outcome(
            self.latencies_ms,
            self.refused,
            self.calls,
            self.total_probe_ms / server_s,
            self.answered_at_ms,
        )

    def _schedule(self, delay_ms: float, action) -> None:
        item = (self.now_ms + delay_ms, next(self._event_numbers), action)
        heapq.heappush(self._event_queue, item)

    def _schedule_repeated(
        self, interval_ms: float, action, first_ms=None
    ) -> None:
        def repeat() -> None:
            action()
            self._schedule(interval_ms, repeat)

        self._schedule(interval_ms if first_ms is None else first_ms, repeat)

    def _tick(self) -> None:
        for entry_index in range(len(self.entries)):
            self._handle_event(entry_index, Tick(self.now_ms))

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
            for entry_index in range(len(self.entries)):
                event = ServerAnnounced(self.now_ms, notice)
                self._handle_event(entry_index, event)

    # Faults.

    def _schedule_faults(self) -> None:
        servers = list(self.servers.values())
        quarter = max(1, len(servers) // 4)
        if self.faults.is_noisy:
            self._schedule_repeated(NOISE_INTERVAL_MS, self._slow_down_one)
        if self.faults.is_draining:
            self._schedule_repeated(DRAIN_MS, self._drain_one)
        if self.faults.is_failing_fast:
            self._schedule(
                WARM_UP_MS, lambda: self._start_failing_fast(servers[0])
            )
        if self.faults.is_misreporting:
            for server in servers[:quarter]:
                server.is_misreporting = True
        if self.faults.is_warming_up:
            self._schedule_repeated(500.0, self._restart_one)
        if self.faults.is_stepping:
            self.load_factor = lambda now: 2.0 if now % 200.0 < 50.0 else 2 / 3

    def _start_failing_fast(self, server: FakeServer) -> None:
        server.is_failing_fast = True

    def _slow_down_one(self) -> None:
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

    def _send_next_call(self) -> None:
        rate = (
            self.user.capacity_per_s * self.load * self.load_factor(self.now_ms)
        )
        self._schedule(
            self.rng.expovariate(rate / 1000.0), self._send_next_call
        )
        entry_index = self.rng.randrange(len(self.entries))
        self.send_call(entry_index)

    def send_call(self, entry_index: int) -> int:
        """Sends one call to an entry and returns its id."""
        call_id = next(self._call_ids)
        self.arrivals_ms[(entry_index, call_id)] = self.now_ms
        if self.now_ms >= WARM_UP_MS:
            self.calls += 1
        policy = self.policies[entry_index]
        if isinstance(policy, HotCold):
            self._send_baseline_probes(entry_index, policy)
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
        self._handle_event(entry_index, event)
        return call_id

    def _handle_event(self, entry_index: int, event) -> None:
        for effect in reduce_entry(self.entries[entry_index], event):
            match effect:
                case Dispatch():
                    self._dispatch(entry_index, effect)
                case AnswerCaller():
                    self._finish_call(entry_index, effect.call_id, True)
                case RefuseCaller():
                    self._finish_call(entry_index, effect.call_id, False)
                case CancelAttempt():
                    key = (entry_index, effect.call_id, effect.attempt)
                    if key in self.jobs:
                        self.jobs[key].is_cancelled = True
                case ProbeServer():
                    self._send_probe(entry_index, effect.notice)

    def on_call_finished(
        self, entry_index: int, call_id: int, is_success: bool
    ) -> None:
        """Does nothing; subclasses override it to resend refused calls."""

    def _finish_call(
        self, entry_index: int, call_id: int, is_success: bool
    ) -> None:
        arrived_ms = self.arrivals_ms.pop((entry_index, call_id))
        is_success = is_success and self._is_last_status_good
        if arrived_ms >= WARM_UP_MS:
            if is_success:
                self.latencies_ms.append(self.now_ms - arrived_ms)
                self.answered_at_ms.append(self.now_ms)
            else:
                self.refused += 1
        self.on_call_finished(entry_index, call_id, is_success)

    # Whether the answer that is being handled has a status below 500.
    _is_last_status_good = True

    def _network_delay_ms(self, entry_index: int, server: FakeServer) -> float:
        is_local = entry_index % self.user.domains == server.domain
        return self.user.local_ms if is_local else self.user.remote_ms

    def _dispatch(self, entry_index: int, effect: Dispatch) -> None:
        server = self.servers[effect.notice.key.server]
        job = Job(entry_index, effect.call_id, effect.attempt)
        self.jobs[(entry_index, job.call_id, job.attempt)] = job
        self._schedule(
            self._network_delay_ms(entry_index, server),
            lambda: self._receive_job(server, job),
        )

    def _receive_job(self, server: FakeServer, job: Job) -> None:
        if self.now_ms < server.refusing_until_ms:
            self._refuse_connection(server, job)
        elif server.is_failing_fast:
            self._send_answer(server, job, 500, None)
        elif len(server.queue) >= MAX_SERVER_QUEUE:
            self._send_answer(server, job, 503, 100.0)
        elif server.running < server.slots:
            self._start_job(server, job)
        else:
            server.queue.append(job)

    def _start_job(self, server: FakeServer, job: Job) -> None:
        server.running += 1
        mean_ms = self.user.service_ms
        time_factor = self.service_rng.lognormvariate(
            -(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA
        )
        time_ms = mean_ms * time_factor
        if self.now_ms < server.slow_until_ms:
            time_ms *= server.slow_factor
        time_ms += server.probe_busy_ms
        server.probe_busy_ms = 0.0
        server.average_service_ms = (
            0.8 * server.average_service_ms + 0.2 * time_ms
        )
        self._schedule(time_ms, lambda: self._finish_job(server, job))

    def _finish_job(self, server: FakeServer, job: Job) -> None:
        server.running -= 1
        if not job.is_cancelled:
            self._send_answer(server, job, 200, None)
        while server.queue and server.running < server.slots:
            next_job = server.queue.popleft()
            if not next_job.is_cancelled:
                self._start_job(server, next_job)

    def _send_answer(
        self, server: FakeServer, job: Job, status: int, retry_ms
    ) -> None:
        load = 0.0 if server.is_misreporting else float(server.load)
        report = LoadReport(load, load / server.slots)

        def arrive() -> None:
            self.jobs.pop((job.entry, job.call_id, job.attempt), None)
            if job.is_cancelled:
                return
            self._is_last_status_good = status < 500
            event = AttemptAnswered(
                self.now_ms,
                job.call_id,
                job.attempt,
                status,
                retry_ms,
                report,
                None,
            )
            self._handle_event(job.entry, event)
            self._is_last_status_good = True

        self._schedule(self._network_delay_ms(job.entry, server), arrive)

    def _refuse_connection(self, server: FakeServer, job: Job) -> None:
        def arrive() -> None:
            self.jobs.pop((job.entry, job.call_id, job.attempt), None)
            if not job.is_cancelled:
                event = AttemptFailed(
                    self.now_ms,
                    job.call_id,
                    job.attempt,
                    FailureKind.NOT_CONNECTED,
                )
                self._handle_event(job.entry, event)

        self._schedule(self._network_delay_ms(job.entry, server), arrive)

    # Probes.

    def _send_probe(self, entry_index: int, notice: ServerNotice) -> None:
        server = self.servers[notice.key.server]
        started_ms = self.now_ms
        self._charge_probe(server)

        def arrive() -> None:
            load = 0.0 if server.is_misreporting else float(server.load)
            report = LoadReport(load, load / server.slots)
            event = ProbeEnded(
                self.now_ms,
                notice.key,
                self.now_ms >= server.refusing_until_ms,
                self.now_ms - started_ms,
                report,
            )
            self._handle_event(entry_index, event)

        self._schedule(2 * self._network_delay_ms(entry_index, server), arrive)

    def _charge_probe(self, server: FakeServer) -> None:
        server.probe_busy_ms += self.user.probe_ms
        self.total_probe_ms += self.user.probe_ms

    def _send_baseline_probes(self, entry_index: int, policy: HotCold) -> None:
        """Sends the probes that the probing baseline adds to each call."""
        count = int(policy.probes_per_call + self.service_rng.random())
        servers = list(self.servers.values())
        for server in self.service_rng.sample(servers, count):
            self._charge_probe(server)

            def arrive(server=server) -> None:
                load = 0.0 if server.is_misreporting else float(server.load)
                policy.pool.pop(server.name, None)
                if self.now_ms >= server.refusing_until_ms:
                    queued = max(1.0, (load + 1) / server.slots)
                    policy.pool[server.name] = ProbeResult(
                        load, server.average_service_ms * queued, policy.uses
                    )
                while len(policy.pool) > policy.pool_size:
                    del policy.pool[next(iter(policy.pool))]

            self._schedule(
                2 * self._network_delay_ms(entry_index, server), arrive
            )
