"""The state of an entry; owned and changed in place by its reducer."""

from __future__ import annotations

import enum
import random

import attrs

from gentianwall.admission.budget import ProbeBudget, RetryBudget
from gentianwall.admission.queue import WaitingCalls
from gentianwall.claims.commands import ClaimKey
from gentianwall.config.declaration import Declaration, ServiceSettings
from gentianwall.control.client import ControlClient
from gentianwall.membership.delay import DelayEstimator
from gentianwall.membership.directory import Directory
from gentianwall.membership.messages import Renewal, ServerKey
from gentianwall.routing.pool import ServerPool


class CallPhase(enum.Enum):
    """Where a call stands."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    DISPATCHED = "dispatched"


@attrs.define
class Call:
    """A call between its arrival and its answer.

    Attributes:
        call_id: Names the call in this process.
        request_id: Names it to callers and servers.
        service: The service asked for.
        caller: Who pays.
        fingerprint: Digest of the request.
        arrived_ms: When it arrived.
        deadline_ms: When the caller no longer waits.
        start_target_ms: Its place in the queue.
        tier: Name of its price tier.
        price: Charged when it is answered.
        is_idempotent: Whether it may be repeated.
        is_nested: Whether an outer call retries already.
        claim: Its claim, if it has an idempotency key.
        token: Token of that claim.
        phase: Where it stands.
        attempt: Number of the last attempt.
        tried_servers: Servers that it was sent to.
        is_maybe_executed: Whether a server may have run it.
        server: The server of the present attempt.
        dispatched_ms: When that attempt began.
        dispatch_queue_factor: The queue factor expected then.
        incarnation: Its incarnation.
        was_maybe_executed: Whether an earlier attempt may have run it.
        crashed_servers: Servers lost while they ran it.
        wall_offset_ms: Wall time less the monotonic clock at its arrival.
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
    dispatched_ms: float = 0.0
    dispatch_queue_factor: float = 1.0
    incarnation: int = 0
    was_maybe_executed: bool = False
    crashed_servers: tuple[str, ...] = ()
    wall_offset_ms: float = 0.0


@attrs.define
class Service:
    """One declared service at this entry."""

    name: str
    settings: ServiceSettings
    pool: ServerPool
    retry_budget: RetryBudget
    waiting: WaitingCalls = attrs.field(factory=WaitingCalls)


@attrs.define
class EntryState:
    """Everything an entry knows.

    Attributes:
        name: Name of the process.
        failure_domain: Where it stands.
        peers: The other entries.
        boot_id: Drawn at each start; part of claim tokens.
        rng: Breaks ties.
        control: Requests to the control instances.
        version: Version of the declaration in force; 0 for none.
        term: Term of the leader that told it.
        is_config_known: Whether a leader told it since the start.
        declaration: The declaration in force.
        services: Declared services by name.
        quarantines: Fingerprints that are refused.
        directory: The servers.
        delays: Delays of the messages of peers.
        calls: Calls by their id.
        deadlines: Heap of (deadline in ms, call id).
        started_ms: When the process started.
        quarantine_version: Version of `quarantines`.
        renewals: Heartbeats to pass on with the next spread; their lease is
            the local time at which it ends until they are sent.
        renewals_due_ms: When they are passed on.
        directory_due_ms: When peers may be asked for all notices again.
        is_directory_known: Whether a peer gave them, or none answered.
        poll_due_ms: When the control instances are polled.
        probes_due_ms: When silent servers are looked for.
        probe_budget: This entry's share of the measuring budget.
        is_draining: Whether the process is about to end.
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
        """Whether callers may be sent here."""
        return (
            self.is_config_known
            and self.is_directory_known
            and not self.is_draining
        )
