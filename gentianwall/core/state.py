"""State of an entry; owned and changed in place by its reducer."""

from __future__ import annotations

import enum
import random

import attrs

from gentianwall.admission.budget import ProbeBudget, RetryBudget
from gentianwall.admission.queue import WaitingCalls
from gentianwall.claims.commands import ClaimKey
from gentianwall.claims.quarantines import quarantine_key
from gentianwall.config.declaration import Declaration, ServiceSettings
from gentianwall.control.client import ControlClient
from gentianwall.membership.delay import DelayEstimator
from gentianwall.membership.directory import Directory
from gentianwall.membership.messages import Renewal, ServerKey
from gentianwall.routing.pool import ServerPool


class CallPhase(enum.Enum):
    """Phase of a call before its end."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    DISPATCHED = "dispatched"


@attrs.frozen(kw_only=True)
class RunningAttempt:
    """An attempt of a call that has neither been answered nor failed.

    Attributes:
        server: Name of its server.
        incarnation: Incarnation of that server.
        started_ms: When it was sent there.
        queue_factor: Queue factor of the server at that time.
    """

    server: str
    incarnation: int
    started_ms: float
    queue_factor: float


@attrs.frozen
class ErrorAnswer:
    """An answer by which a server failed a call.

    Attributes:
        attempt: Number of the attempt that was answered.
        server: Name of the server.
        status: HTTP status of the answer.
    """

    attempt: int
    server: str
    status: int


@attrs.define
class Call:
    """A call between its arrival and its answer.

    Attributes:
        call_id: Id of the call within this process.
        request_id: Id of the call for callers and servers.
        service: The requested service.
        caller: The caller that is charged.
        fingerprint: Digest of the request.
        arrived_ms: Time of arrival.
        deadline_ms: Time after which the caller does not want the answer.
        start_target_ms: Time by which it should start; orders the queue.
        tier: Name of the price tier.
        price: Price charged for the answer.
        is_idempotent: Whether the request may be executed more than once.
        is_nested: Whether the request is an attempt of an outer call, which
            does the retries.
        claim: The claim, if the call has an idempotency key.
        token: Token of that claim.
        phase: Current phase.
        attempt: Number of the last attempt; 0 before the first.
        tried_servers: Servers of earlier attempts; retries avoid them.
        is_maybe_executed: Whether an attempt that has ended may have executed
            the request.
        server: Server of the last attempt.
        running: Attempts that run, by number. There are two while an overdue
            call also runs at another server.
        error_answer: Last answer by which a server failed it. The caller gets
            that if no further attempt is answered; None for none.
        crashed_servers: Starts of servers that this call may have crashed:
            their connection was lost during an attempt.
        wall_offset_ms: Wall clock minus monotonic clock at arrival.
    """

    call_id: int
    request_id: str
    service: str
    caller: str
    fingerprint: str
    arrived_ms: float
    deadline_ms: float
    start_target_ms: float
    tier: str
    price: float
    is_idempotent: bool
    is_nested: bool
    claim: ClaimKey | None = None
    token: str = ""
    phase: CallPhase = CallPhase.QUEUED
    attempt: int = 0
    tried_servers: tuple[str, ...] = ()
    is_maybe_executed: bool = False
    server: str = ""
    running: dict[int, RunningAttempt] = attrs.field(factory=dict)
    error_answer: ErrorAnswer | None = None
    crashed_servers: tuple[str, ...] = ()
    wall_offset_ms: float = 0.0

    @property
    def quarantine_key(self) -> str:
        """Name under which the request is quarantined."""
        return quarantine_key(self.fingerprint, self.caller)


@attrs.define
class Service:
    """A declared service, its servers and its waiting calls."""

    name: str
    settings: ServiceSettings
    pool: ServerPool
    retry_budget: RetryBudget
    waiting: WaitingCalls = attrs.field(factory=WaitingCalls)


@attrs.define
class EntryState:
    """State of an entry.

    Attributes:
        name: Name of the process.
        failure_domain: Failure domain of the process.
        peers: Names of the other entries.
        boot_id: Random id of this process start; part of claim tokens.
        rng: Random numbers for the choice of servers.
        control: Client of the control instances.
        version: Version of the declaration in force; 0 for none.
        term: Highest term of a leader that confirmed the declaration.
        is_config_known: Whether a leader confirmed the declaration since the
            start.
        declaration: The declaration in force.
        services: Declared services by name.
        quarantines: Names of quarantined requests; see `quarantine_key`.
        directory: Notices and leases of the servers.
        delays: Estimates of the message delays from peers.
        calls: Calls by id.
        deadlines: Heap of (deadline in ms, call id).
        started_ms: Time of the process start.
        quarantine_version: Version of `quarantines`.
        renewals: Heartbeats to send to the peers. Until they are sent, their
            `lease_ms` is the local time at which the lease ends.
        renewals_due_ms: Time of the next broadcast of `renewals`.
        directory_due_ms: Time from which the directory may be requested again.
        is_directory_known: Whether a peer sent its directory, or none answered
            in time.
        poll_due_ms: Time of the next poll of the control instances.
        probes_due_ms: Time of the next check for servers to probe.
        probe_budget: This entry's share of the probe budget.
        is_draining: Whether the process stops once no call is outstanding.
    """

    name: str
    failure_domain: str
    peers: tuple[str, ...]
    boot_id: str
    rng: random.Random
    control: ControlClient
    started_ms: float = 0.0
    version: int = 0
    term: int = 0
    is_config_known: bool = False
    declaration: Declaration | None = None
    services: dict[str, Service] = attrs.field(factory=dict)
    quarantines: frozenset[str] = frozenset()
    quarantine_version: int = 0
    directory: Directory = attrs.field(factory=Directory)
    delays: DelayEstimator = attrs.field(factory=DelayEstimator)
    calls: dict[int, Call] = attrs.field(factory=dict)
    deadlines: list[tuple[float, int]] = attrs.field(factory=list)
    renewals: dict[ServerKey, Renewal] = attrs.field(factory=dict)
    renewals_due_ms: float = 0.0
    directory_due_ms: float = 0.0
    poll_due_ms: float = 0.0
    probes_due_ms: float = 0.0
    is_directory_known: bool = False
    probe_budget: ProbeBudget = attrs.field(
        factory=lambda: ProbeBudget(float("inf"))
    )
    is_draining: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether the entry is ready for calls."""
        return (
            self.is_config_known
            and self.is_directory_known
            and not self.is_draining
        )
