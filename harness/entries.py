"""Simulates entries, one control instance and fake servers.

Messages are lost, duplicated and delayed; servers refuse calls because of
overload, crash, fall silent and answer late; entries restart without their
state. The servers count executions.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random

import attrs

from gentianwall.claims.commands import ApplyDeclaration, Outcome
from gentianwall.claims.register import RegisterState
from gentianwall.claims.snapshot_codec import encode_register
from gentianwall.control.client import ControlClient
from gentianwall.core.control import ControlState, reduce_control
from gentianwall.core.effects import (
    AnswerCaller,
    CancelAttempt,
    Dispatch,
    EntryEffect,
    RefuseCaller,
    ReplayAnswer,
    SendMessage,
)
from gentianwall.core.entry import reduce_entry
from gentianwall.core.events import (
    AttemptAnswered,
    AttemptFailed,
    CallArrived,
    EntryEvent,
    FailureKind,
    MessageArrived,
    ServerAnnounced,
    Tick,
)
from gentianwall.core.refusals import Executed
from gentianwall.core.state import EntryState
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.replication.messages import Member, Snapshot
from gentianwall.replication.replica import (
    BatchEnded,
    Proposed,
    reduce_replica,
)
from gentianwall.replication.restore import PersistentState, restore_replica
from gentianwall.replication.state import Timing

SERVICE = "order-desk"
DECLARATION = f"""
claim_retention_ms = 60000
[[tiers]]
name = "only"
max_wait_ms = 500
price = 1
[services.{SERVICE}]
default_max_wait_ms = 500
expected_service_ms = 5
retry_budget_ratio = 1.0
"""
WALL_OFFSET_MS = 1_700_000_000_000
TICK_MS = 10.0


class InvariantError(AssertionError):
    """A guarantee to callers was violated, or an entry leaks state."""


@attrs.define
class SentCall:
    """A call and its result.

    Attributes:
        final_answers: Number of answers and refusals that the caller received.
        executed: Whether the call was executed, according to the last final
            answer.
    """

    request_id: str
    key: str
    is_idempotent: bool
    final_answers: int = 0
    executed: Executed | None = None


class EntrySimulation:
    """Entries, control, servers and callers in virtual time.

    Args:
        entries: Number of entries.
        servers: Number of servers.
        seed: Seed of all random choices.
    """

    def __init__(self, entries: int, servers: int, seed: int):
        self.rng = random.Random(seed)
        self.now_ms = 1000.0
        self.loss_ratio = 0.0
        self.duplication_ratio = 0.0
        self.is_control_partitioned = False
        self.servers = [f"s{n}" for n in range(servers)]
        self.server_modes = dict.fromkeys(self.servers, "good")
        self.names = [f"e{n}" for n in range(entries)]
        self.entries: dict[str, EntryState] = {}
        self.boot_numbers = itertools.count()
        self.call_ids = itertools.count(1)
        self.sent_calls: dict[tuple[str, int], SentCall] = {}
        self.executions_by_key: collections.Counter = collections.Counter()
        self.executions_by_request: collections.Counter = collections.Counter()
        self.cancelled: set[tuple[str, int, int]] = set()
        self._scheduled: list = []
        self._order = itertools.count()
        self._start_control()
        for name in self.names:
            self.start_entry(name)
        self.advance(1500)

    def _start_control(self) -> None:
        snapshot = Snapshot(
            1, 1, (Member("c0", "d"),), encode_register(RegisterState())
        )
        replica = restore_replica(
            PersistentState("d", 1, "", snapshot), "c0", (), Timing(), 1, 0.0
        )
        self.control = ControlState(replica, tuple(self.names))
        reduce_control(self.control, Tick(self.now_ms))
        declaration = ApplyDeclaration("c", 0, DECLARATION, "o", 1)
        reduce_replica(replica, Proposed(self.now_ms, declaration))
        reduce_replica(replica, BatchEnded(self.now_ms))

    def start_entry(self, name: str) -> None:
        """Starts an entry with empty state, in place of a running one."""
        boot_id = f"b{next(self.boot_numbers)}"
        self.entries[name] = EntryState(
            name=name,
            failure_domain="",
            peers=tuple(n for n in self.names if n != name),
            boot_id=boot_id,
            rng=random.Random(self.rng.getrandbits(32)),
            control=ControlClient(("c0",)),
            started_ms=self.now_ms,
        )

    # Callers.

    def send(self, name: str, key: str, is_idempotent: bool = False) -> None:
        """Sends a call to an entry."""
        state = self.entries[name]
        call_id = next(self.call_ids)
        request_id = f"{state.boot_id}-{call_id}"
        self.sent_calls[(state.boot_id, call_id)] = SentCall(
            request_id, key, is_idempotent
        )
        event = CallArrived(
            at_ms=self.now_ms,
            wall_ms=self.wall_ms,
            call_id=call_id,
            request_id=request_id,
            service=SERVICE,
            method="GET" if is_idempotent else "POST",
            caller="ann",
            max_wait_ms=None,
            idempotency_key="" if is_idempotent else key,
            fingerprint=key,
            is_nested=False,
        )
        self._handle_event(name, event)

    @property
    def wall_ms(self) -> int:
        """The time of the wall clock."""
        return int(WALL_OFFSET_MS + self.now_ms)

    # Time.

    def advance(self, time_ms: float) -> None:
        """Advances time in ticks and performs the scheduled actions."""
        end_ms = self.now_ms + time_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            while self._scheduled and self._scheduled[0][0] <= self.now_ms:
                _, _, action = heapq.heappop(self._scheduled)
                action()
            for name in self.names:
                self._handle_event(name, Tick(self.now_ms))
                self._announce_servers(name)
            self._perform_control(
                reduce_control(self.control, Tick(self.now_ms))
            )

    def schedule(self, delay_ms: float, action) -> None:
        """Schedules an action."""
        item = (self.now_ms + delay_ms, next(self._order), action)
        heapq.heappush(self._scheduled, item)

    def _announce_servers(self, name: str) -> None:
        if self.rng.random() > 0.2:
            return
        for server in self.servers:
            notice = ServerNotice(
                ServerKey(SERVICE, server), "127.0.0.1", 1, 2, "", 1, "up"
            )
            event = ServerAnnounced(self.now_ms, notice)
            self._handle_event(name, event)

    # Effects.

    def _handle_event(self, name: str, event: EntryEvent) -> None:
        state = self.entries[name]
        for effect in reduce_entry(state, event):
            self._perform(name, state, effect)

    def _perform(
        self, name: str, state: EntryState, effect: EntryEffect
    ) -> None:
        match effect:
            case Dispatch():
                self._dispatch(name, state.boot_id, effect)
            case CancelAttempt():
                key = (state.boot_id, effect.call_id, effect.attempt)
                self.cancelled.add(key)
            case AnswerCaller() | ReplayAnswer():
                self._record_final_answer(state, effect.call_id, Executed.YES)
            case RefuseCaller():
                self._record_final_answer(
                    state, effect.call_id, effect.refusal.executed
                )
            case SendMessage():
                self._send_message(name, state.boot_id, effect)

    def _record_final_answer(
        self, state: EntryState, call_id: int, executed: Executed
    ) -> None:
        sent = self.sent_calls[(state.boot_id, call_id)]
        sent.final_answers += 1
        sent.executed = executed
        if sent.final_answers > 1:
            raise InvariantError(f"{sent.request_id} got two final answers")

    def _send_message(
        self, sender: str, boot_id: str, effect: SendMessage
    ) -> None:
        copies = 2 if self.rng.random() < self.duplication_ratio else 1
        for _ in range(copies):
            if self.rng.random() < self.loss_ratio:
                continue
            delay_ms = self.rng.choice([1, 1, 2, 30, 200])
            sent_ms = self.now_ms

            def deliver(sent_ms=sent_ms) -> None:
                self._deliver_message(sender, boot_id, sent_ms, effect)

            self.schedule(delay_ms, deliver)

    def _deliver_message(
        self, sender: str, boot_id: str, sent_ms: float, effect: SendMessage
    ) -> None:
        event = MessageArrived(
            self.now_ms,
            self.wall_ms,
            sender,
            boot_id,
            sent_ms,
            effect.message,
        )
        if effect.receiver in self.entries:
            self._handle_event(effect.receiver, event)
        elif not self.is_control_partitioned:
            effects = reduce_control(self.control, event)
            ended = BatchEnded(self.now_ms)
            effects += reduce_control(self.control, ended)
            self._perform_control(effects)

    def _perform_control(self, effects) -> None:
        for effect in effects:
            if (
                isinstance(effect, SendMessage)
                and not self.is_control_partitioned
            ):
                self._send_message("c0", "boot", effect)

    # Servers.

    def _dispatch(self, name: str, boot_id: str, effect: Dispatch) -> None:
        server = effect.notice.key.server
        mode = self.server_modes[server]
        if mode == "mixed":
            mode = self.rng.choice(["good", "shed", "crash", "slow"])

        def report(kind: FailureKind | None, status: int, is_shed: bool):
            self._report_attempt(name, boot_id, effect, kind, status, is_shed)

        delay_ms = self.rng.choice([1.0, 5.0, 20.0])
        match mode:
            case "refusing":
                self.schedule(
                    1.0, lambda: report(FailureKind.NOT_CONNECTED, 0, False)
                )
            case "shed":
                self.schedule(delay_ms, lambda: report(None, 503, True))
            case "crash":
                self._schedule_execution(boot_id, effect, delay_ms)
                self.schedule(
                    delay_ms + 1, lambda: report(FailureKind.LOST, 0, False)
                )
            case "silent":
                if self.rng.random() < 0.5:
                    self._schedule_execution(boot_id, effect, delay_ms)
                self.schedule(
                    150.0, lambda: report(FailureKind.SILENT, 0, False)
                )
            case "slow":
                self._schedule_execution(boot_id, effect, 700.0)
                self.schedule(710.0, lambda: report(None, 200, False))
            case _:
                self._schedule_execution(boot_id, effect, delay_ms)
                self.schedule(delay_ms + 1, lambda: report(None, 200, False))

    def _schedule_execution(
        self, boot_id: str, effect: Dispatch, delay_ms: float
    ) -> None:
        sent = self.sent_calls[(boot_id, effect.call_id)]

        def execute() -> None:
            self.executions_by_request[sent.request_id] += 1
            if not sent.is_idempotent:
                self.executions_by_key[sent.key] += 1

        self.schedule(delay_ms, execute)

    def _report_attempt(
        self,
        name: str,
        boot_id: str,
        effect: Dispatch,
        kind: FailureKind | None,
        status: int,
        is_shed: bool,
    ) -> None:
        key = (boot_id, effect.call_id, effect.attempt)
        if self.entries[name].boot_id != boot_id or key in self.cancelled:
            return
        if kind is not None:
            event = AttemptFailed(
                self.now_ms, effect.call_id, effect.attempt, kind
            )
        else:
            event = AttemptAnswered(
                at_ms=self.now_ms,
                call_id=effect.call_id,
                attempt=effect.attempt,
                status=status,
                retry_after_ms=100.0 if is_shed else None,
                report=None,
                outcome=Outcome(status, "", b"ok", "", True),
            )
        self._handle_event(name, event)

    # Invariants.

    def check_executions(self) -> None:
        """Checks the executions against idempotency keys and final answers.

        Fails if a key was executed more than once, or if a call was executed
        although its final answer says that it was not. Executions that are
        still scheduled are not counted, so advance the time until all have
        ended.
        """
        repeated_keys = [
            key for key, count in self.executions_by_key.items() if count > 1
        ]
        if repeated_keys:
            raise InvariantError(
                f"idempotency keys executed more than once: {repeated_keys}"
            )
        for sent in self.sent_calls.values():
            count = self.executions_by_request[sent.request_id]
            if sent.executed is Executed.NO and count > 0:
                raise InvariantError(
                    f"{sent.request_id} was executed, but its final answer "
                    "says that it was not"
                )

    def check_idle(self) -> None:
        """Checks that each call has one final answer and left no state.

        Ignores calls of an entry's earlier processes, which are lost when the
        entry restarts.
        """
        for state in self.entries.values():
            for item in self.sent_calls.items():
                (boot_id, call_id), call = item
                if boot_id == state.boot_id and call.final_answers != 1:
                    raise InvariantError(f"call {call_id} got no final answer")
            if state.calls:
                raise InvariantError(
                    f"{state.name} still has open calls: {len(state.calls)}"
                )
            for service in state.services.values():
                for server in service.pool.servers.values():
                    if server.outstanding != 0:
                        raise InvariantError(
                            f"{server} still counts outstanding calls"
                        )


def random_step(simulation: EntrySimulation) -> None:
    """Injects at most one fault or recovery, then sends random calls."""
    rng = simulation.rng
    match rng.randrange(8):
        case 0:
            simulation.server_modes[rng.choice(simulation.servers)] = (
                rng.choice(
                    ["good", "mixed", "refusing", "shed", "crash", "silent"]
                )
            )
        case 1:
            simulation.start_entry(rng.choice(simulation.names))
        case 2:
            simulation.is_control_partitioned = rng.random() < 0.5
        case 3:
            simulation.loss_ratio = rng.choice([0.0, 0.2])
            simulation.duplication_ratio = rng.choice([0.0, 0.3])
        case 4:
            for server in simulation.servers:
                simulation.server_modes[server] = "good"
        case _:
            pass
    for _ in range(rng.randrange(6)):
        key = f"k{rng.randrange(4)}-{int(simulation.now_ms) // 3000}"
        simulation.send(rng.choice(simulation.names), key, rng.random() < 0.3)
        simulation.advance(rng.choice([0, 0, 10, 60]))
    simulation.advance(rng.choice([10, 50, 300]))


def run_schedule(simulation: EntrySimulation, steps: int) -> None:
    """Runs random steps and checks all guarantees.

    Before the check, all faults end except the duplication of messages.
    """
    for _ in range(steps):
        random_step(simulation)
    simulation.is_control_partitioned = False
    simulation.loss_ratio = 0.0
    for server in simulation.servers:
        simulation.server_modes[server] = "good"
    simulation.advance(3000)
    simulation.check_executions()
    simulation.check_idle()
