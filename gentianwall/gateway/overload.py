"""Decides which requests are refused first when there is too little room.

Load pattern: a burst, an organisation at several times its usual load, or the
loss of servers brings more work than the servers can do in time. If every
request is admitted, all are late together, and those with the shortest target
time are late first. Therefore each entry refuses a share of the work, and that
share consists of the requests that cost callers least.

Entries do not coordinate: servers report to all of them how busy they are, so
that all arrive at about the same share (compare the admission levels of DAGOR,
Zhou et al. 2018).
"""

from __future__ import annotations

import enum
import math
import random
from typing import TYPE_CHECKING

import attrs

from gentianwall.config.fleet import OverloadPolicy
from gentianwall.config.routes import RouteConfiguration, RouteKind
from gentianwall.gateway.admission import (
    FREE_SLOT_MARGIN,
    RECHECK_MS,
    Verdict,
)
from gentianwall.gateway.demand import Demand, KindKey, OrganisationDemand
from gentianwall.gateway.placement import Candidate
from gentianwall.routing.reports import SpeedReport

if TYPE_CHECKING:
    from gentianwall.gateway.state import RoutedCall

# Requests slow each other down by SHARED_SLOWDOWN above this share of the
# slots, so that a server with several slots does less work with all of them in
# use than with this share of them.
EFFICIENT_SHARE = 0.8
SHARED_SLOWDOWN = 1.7
# Weight of one load report in the average; each request brings some ten.
REPORT_WEIGHT = 0.05
# Share of busy slots from which on work is refused, and at which all is. A
# share above 1 means that requests queue at servers or slow each other down.
# A steeper rise lets the level swing, since all entries react at the same time.
LOW_BUSY_SHARE = 0.85
HIGH_BUSY_SHARE = 1.3
# Servers whose efficient slots do not slow each other down may be this much
# busier: the replay of scenarios/organisation.toml earned 0.945 without it.
UNSLOWED_ALLOWANCE = 0.1
MAX_BUSY_SHARE = 1.5
# Without any report the pressure halves in this time.
HALF_LIFE_MS = 700.0
# Time without a report from which on that applies.
REPORT_GAP_MS = 100.0
# This share of the first attempts of each kind counts as highest priority, so
# that no kind is served less than a quarter as often as all.
PROTECTED_SHARE = 0.15
# Part of a server that the kinds of lowest rank leave to those before them.
# Without it, replays of two slots a server serve the kind with the shortest
# target by a tenth less often, since long requests hold nearly all first slots.
RESERVED_SHARE = 0.7
# An idle server is used by every kind.
IDLE_LOAD = 0.1
# A request waits for a free slot for at most this share of its target time.
# With half of it, the replay of the large burst earned 0.648 instead of 0.683.
WAIT_SHARE = 0.3
# Retries of callers come after the first attempts of the same priority.
RETRY_RANK = 0.5
# Requests that will be late are worth a tenth, and come after those of the next
# priority that can be in time, but before bulk work two priorities below.
LATE_RANK = 1.5
# Pressure below this share does not refuse anything: it is within the noise of
# the reports.
MIN_LEVEL = 0.03
# Above this level a caller that returns within its target is refused again.
HOPELESS_LEVEL = 0.7
# A caller waits for a retry-after time of at most a third of the time it has
# left; the margin covers the way back.
HONOURED_SHARE = 0.3


class Shed(enum.Enum):
    """Why a request is refused before others."""

    LATE = "late"
    EXCESS = "excess"
    RETRY = "retry"
    ORDER = "order"


def is_enabled(
    policy: OverloadPolicy, configuration: RouteConfiguration
) -> bool:
    """Returns whether the setting enables the policy for a configuration."""
    match policy:
        case OverloadPolicy.NONE:
            return False
        case OverloadPolicy.COST:
            return True
        case OverloadPolicy.AUTO:
            return bool(configuration.organisations) or any(
                route.kind is RouteKind.DOWNLOAD
                for route in configuration.routes
            )


def efficient_slots(slots: int) -> int:
    """Returns with how many requests a server does most work in a given time.

    With 2 slots it is 2, although they slow each other down; with 6 it is 4.
    """
    unslowed = max(1, math.floor(EFFICIENT_SHARE * slots))
    return slots if slots / SHARED_SLOWDOWN > unslowed else unslowed


@attrs.define
class ServicePressure:
    """How busy the servers of one service are, and with which requests.

    Attributes:
        busy_share: Moving average of the share of the efficient slots that are
            in use, by load reports.
        updated_ms: When it was last updated.
        demand: Recent work by kind of request.
    """

    busy_share: float = 0.0
    updated_ms: float = float("-inf")
    demand: Demand = attrs.field(factory=Demand)

    def record_report(self, report: SpeedReport, now_ms: float) -> None:
        """Updates the share of busy slots by a queried load report."""
        in_progress = report.running + report.waiting
        slots = efficient_slots(report.slots)
        share = in_progress / slots
        if slots < report.slots:
            share -= UNSLOWED_ALLOWANCE
        share = min(MAX_BUSY_SHARE, share)
        self.busy_share += REPORT_WEIGHT * (share - self.busy_share)
        self.updated_ms = now_ms

    def level(self, now_ms: float) -> float:
        """Returns the share of the work that is refused now."""
        excess = self.busy_share - LOW_BUSY_SHARE
        if excess <= 0.0:
            return 0.0
        level = min(1.0, excess / (HIGH_BUSY_SHARE - LOW_BUSY_SHARE))
        gap_ms = max(0.0, now_ms - self.updated_ms - REPORT_GAP_MS)
        return level * 0.5 ** (gap_ms / HALF_LIFE_MS)


@attrs.define
class Overload:
    """The policy at one entry.

    Attributes:
        rng: Chooses among requests of equal value.
        pressures: Pressure by service.
        organisations: Recent and usual demand of the organisations.
        refused: Number of refused requests by reason.
    """

    rng: random.Random
    pressures: dict[str, ServicePressure] = attrs.field(factory=dict)
    organisations: OrganisationDemand = attrs.field(factory=OrganisationDemand)
    refused: dict[Shed, int] = attrs.field(
        factory=lambda: dict.fromkeys(Shed, 0)
    )

    def pressure(self, service: str) -> ServicePressure:
        """Returns the pressure of a service."""
        pressure = self.pressures.get(service)
        if pressure is None:
            pressure = self.pressures[service] = ServicePressure()
        return pressure

    def highest_level(self, now_ms: float) -> float:
        """Returns the highest share of work of any service that is refused."""
        levels = (p.level(now_ms) for p in self.pressures.values())
        return max(levels, default=0.0)

    def judge(
        self, call: RoutedCall, service_ms: float, now_ms: float
    ) -> Shed | None:
        """Records a request that arrived; returns why it is refused, if it is.

        Args:
            call: The request.
            service_ms: Its service time at an idle, average server.
            now_ms: The local clock.
        """
        pressure = self.pressure(call.service)
        excess_share = self.organisations.record(call.organisation, now_ms)
        if self.rng.random() < excess_share:
            shed = Shed.EXCESS
        elif now_ms + service_ms > call.target_at_ms:
            shed = Shed.LATE
        elif is_retry(call):
            shed = Shed.RETRY
        else:
            shed = Shed.ORDER
            call.is_protected = self.rng.random() < PROTECTED_SHARE
        key = _kind_key(call, shed, service_ms)
        pressure.demand.record(key, now_ms)
        level = pressure.level(now_ms)
        if level < MIN_LEVEL or call.is_protected:
            return None
        low, high = pressure.demand.position(key)
        is_refused = self.rng.random() * (high - low) < level - low
        return shed if is_refused else None

    def admit(
        self,
        call: RoutedCall,
        best: Candidate,
        service_ms: float,
        now_ms: float,
    ) -> Verdict:
        """Decides about a request for which no idle server was found.

        No request queues at a server. Kinds of lower rank leave a part of each
        server to those before them. A request that misses its target is sent
        only while there is room for all.

        Args:
            call: The request.
            best: The best candidate.
            service_ms: Service time of the request at an idle, average server.
            now_ms: The local clock.
        """
        server = best.server
        room = float(efficient_slots(server.record.notice.slots))
        room *= 1.0 - RESERVED_SHARE * self._preferred_share(call, service_ms)
        most_load = max(IDLE_LOAD, room - FREE_SLOT_MARGIN)
        has_free_slot = server.load(now_ms) <= most_load
        is_in_time = now_ms + best.expected_ms <= call.target_at_ms
        level = self.pressure(call.service).level(now_ms)
        if has_free_slot and (is_in_time or level < MIN_LEVEL):
            return Verdict.SEND
        recheck_ms = now_ms + RECHECK_MS
        can_wait = (
            recheck_ms - call.arrived_ms <= WAIT_SHARE * call.route.target_ms
        )
        earliest_answer_ms = recheck_ms + SHARED_SLOWDOWN * service_ms
        if can_wait and earliest_answer_ms <= call.target_at_ms:
            return Verdict.WAIT
        return Verdict.REFUSE

    def _preferred_share(self, call: RoutedCall, service_ms: float) -> float:
        """Returns which part of recent work is of a higher rank."""
        if call.is_protected or call.relay is not None:
            return 0.0
        shed = Shed.RETRY if is_retry(call) else Shed.ORDER
        key = _kind_key(call, shed, service_ms)
        return 1.0 - self.pressure(call.service).demand.position(key)[1]

    def may_retry(
        self, call: RoutedCall, service_ms: float, now_ms: float
    ) -> bool:
        """Returns whether the entry may send a request a second time.

        Under pressure only if its answer can still be in time: otherwise a
        first attempt makes better use of the slot.
        """
        if now_ms + service_ms <= call.target_at_ms:
            return True
        return self.pressure(call.service).level(now_ms) < MIN_LEVEL

    def retry_after_ms(
        self, call: RoutedCall, service_ms: float, now_ms: float
    ) -> float:
        """Returns when a refused caller should return.

        Within its target if an answer can still come in time; otherwise late
        in the time for which it waits, when the pressure may be over.
        """
        level = self.pressure(call.service).level(now_ms)
        honoured_ms = HONOURED_SHARE * (call.deadline_ms - now_ms)
        spare_ms = call.target_at_ms - now_ms - SHARED_SLOWDOWN * service_ms
        if spare_ms > 0.0 and level < HOPELESS_LEVEL:
            return min(honoured_ms, spare_ms) * self.rng.uniform(0.3, 1.0)
        return honoured_ms * self.rng.uniform(0.6, 1.0)


def is_retry(call: RoutedCall) -> bool:
    """Returns whether the caller has probably sent the request before."""
    return call.target_at_ms < call.arrived_ms + call.route.target_ms


def _kind_key(call: RoutedCall, shed: Shed, service_ms: float) -> KindKey:
    """Returns the place of a request in the order of refusal."""
    match shed:
        case Shed.EXCESS:
            rank = math.inf
        case Shed.LATE:
            rank = call.priority + LATE_RANK
        case Shed.RETRY:
            rank = call.priority + RETRY_RANK
        case Shed.ORDER:
            rank = float(call.priority)
    return KindKey(rank, service_ms, call.route.name)
