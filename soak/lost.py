"""Checks that planned work cuts no request.

Planned work is a stop of an entry, its SIGHUP and a changed configuration. The
check judges what callers and servers saw, at the end of a run without unplanned
faults.
"""

from __future__ import annotations

import collections
import math
import threading

import attrs

from soak.checks import CONFIG_APPLY_S

# Bounds of the rule.
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
AFTER_GRACE_S = 1.0
AFTER_ACKNOWLEDGEMENT_S = CONFIG_APPLY_S + 1.0
SENT_EARLY_S = 3.0
LAST_PART_OF_GRACE = 1.0 / 6.0
CONFIGURATION_RATIO = 3.0
USED_TIME_RATIO = 0.7


@attrs.define(frozen=True)
class Outcome:
    """What a caller saw of a request that it sent completely.

    Attributes:
        host: Address of the entry.
        sent_s: Monotonic time at which its last byte was sent.
        ended_s: Monotonic time of the answer, or of the end of the connection.
        limit_s: Time limit of the caller, from `sent_s`.
        status: Status of the complete answer; 0 for none.
        is_from_server: Whether the answer is that of a server.
    """

    request_id: str
    host: str
    sent_s: float
    ended_s: float
    limit_s: float
    status: int = 0
    is_from_server: bool = False

    @property
    def wait_s(self) -> float:
        """How long the caller waited after its last byte."""
        return self.ended_s - self.sent_s


@attrs.define
class Execution:
    """Work of a server on a request; infinite `ended_s` while it works."""

    server: str
    began_s: float
    ended_s: float = math.inf


@attrs.define(frozen=True)
class Stop:
    """A SIGTERM to an entry."""

    host: str
    at_s: float


@attrs.define(frozen=True)
class Reload:
    """A SIGHUP to an entry."""

    host: str
    at_s: float


@attrs.define
class Change:
    """A configuration, which may be in force from its sending on.

    Attributes:
        at_s: When it was sent.
        acknowledged_s: When it was acknowledged; infinite if it was not.
        timeout_s: Timeout of the routes.
    """

    at_s: float
    acknowledged_s: float = math.inf
    timeout_s: float = math.inf


def _covers(work: Stop | Reload | Change, outcome: Outcome) -> bool:
    """Returns whether a request that ended so ended around planned work."""
    match work:
        case Stop(host, at_s):
            until_s = at_s + GRACE_S + AFTER_GRACE_S
            return host == outcome.host and at_s <= outcome.ended_s <= until_s
        case Reload(host, at_s):
            return (
                host == outcome.host
                and outcome.sent_s <= at_s + CONFIG_APPLY_S
                and outcome.ended_s >= at_s
            )
        case Change(at_s, acknowledged_s):
            until_s = acknowledged_s + AFTER_ACKNOWLEDGEMENT_S
            return at_s <= outcome.ended_s <= until_s


@attrs.define
class LostRequests:
    """Requests, executions and planned work of a run; thread-safe."""

    outcomes: list[Outcome] = attrs.field(factory=list)
    work: list[Stop | Reload | Change] = attrs.field(factory=list)
    _executions: dict[str, list[Execution]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def record_begin(self, request_id: str, server: str, at_s: float) -> None:
        """Records that a server began to execute a request."""
        with self._lock:
            self._executions[request_id].append(Execution(server, at_s))

    def record_end(self, request_id: str, server: str, at_s: float) -> None:
        """Records that a server has executed a request."""
        with self._lock:
            for execution in self._executions[request_id]:
                if execution.server == server:
                    execution.ended_s = at_s

    def find(self) -> list[str]:
        """Describes the lost requests; called when all requests have ended."""
        lost = []
        beside_changes = collections.defaultdict(list)
        for outcome in self.outcomes:
            loss = self._loss(outcome)
            if loss is None:
                continue
            kinds = {type(w) for w in self.work if _covers(w, outcome)}
            if Stop in kinds or (Reload in kinds and not outcome.status):
                lost.append(loss)
            elif (
                Change in kinds
                and not outcome.status
                and outcome.wait_s < USED_TIME_RATIO * self._limit_s(outcome)
            ):
                beside_changes[outcome.host].append(loss)
        for host, losses in beside_changes.items():
            if self._is_cut_more_often_beside_changes(host):
                lost += losses
        return lost

    def _loss(self, outcome: Outcome) -> str | None:
        """Describes how a request was cut; None if it was not, or is exempt."""
        executions = self._executions.get(outcome.request_id, ())
        is_passed_on = any(e.began_s <= outcome.ended_s for e in executions)
        is_running = any(
            e.began_s <= outcome.ended_s < e.ended_s for e in executions
        )
        if outcome.status:
            is_cut = is_running and not outcome.is_from_server
        else:
            is_cut = is_passed_on or outcome.wait_s > LOSS_SLACK_S
        if not is_cut:
            return None
        limit_s = self._limit_s(outcome)
        if outcome.wait_s >= limit_s:
            return None
        stops = [w for w in self.work if _is_stop_of(w, outcome.host)]
        if any(_is_exempt(stop, outcome, executions) for stop in stops):
            return None
        end = f"answered {outcome.status}" if outcome.status else "cut"
        after = ", ".join(
            f"{outcome.sent_s - stop.at_s:.2f} to "
            f"{outcome.ended_s - stop.at_s:.2f} s after SIGTERM"
            for stop in stops
            if _covers(stop, outcome)
        )
        state = "running" if is_running else "passed on"
        return (
            f"lost: {outcome.request_id} at {outcome.host} was {end}, "
            f"{state if is_passed_on else 'not passed on'}, "
            f"{outcome.wait_s:.2f} s after its last byte, "
            f"limit {limit_s} s{', ' * bool(after)}{after}"
        )

    def _limit_s(self, outcome: Outcome) -> float:
        """Returns the least time limit that may have applied to a request.

        That is the limit of its caller, or the timeout of a configuration that
        may have been in force while it was open.
        """
        limit_s = outcome.limit_s
        replaced_s = math.inf
        for change in reversed(self.work):
            if not isinstance(change, Change) or change.at_s > outcome.ended_s:
                continue
            if replaced_s + CONFIG_APPLY_S >= outcome.sent_s:
                limit_s = min(limit_s, change.timeout_s)
            replaced_s = min(replaced_s, change.acknowledged_s)
        return limit_s

    def _is_cut_more_often_beside_changes(self, host: str) -> bool:
        changes = [w for w in self.work if isinstance(w, Change)]
        ratios = []
        for is_beside in (True, False):
            cuts = [
                not outcome.status and self._loss(outcome) is not None
                for outcome in self.outcomes
                if outcome.host == host
                and any(_covers(c, outcome) for c in changes) == is_beside
            ]
            ratios.append(sum(cuts) / max(1, len(cuts)))
        return ratios[0] > CONFIGURATION_RATIO * ratios[1]


def _is_stop_of(work: Stop | Reload | Change, host: str) -> bool:
    return isinstance(work, Stop) and work.host == host


def _is_exempt(stop: Stop, outcome: Outcome, executions) -> bool:
    """Returns whether a request was sent early and ran until the end."""
    end_s = stop.at_s + GRACE_S
    last_part_s = end_s - LAST_PART_OF_GRACE * GRACE_S
    return (
        _covers(stop, outcome)
        and outcome.sent_s <= stop.at_s + SENT_EARLY_S
        and any(
            e.began_s <= end_s and e.ended_s >= last_part_s for e in executions
        )
    )
