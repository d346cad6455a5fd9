"""Checks observations of callers, servers and the operator for violations."""

from __future__ import annotations

import collections
import threading
import time

import attrs

# Limits that the users demand: `configApplyMs` and `recoveryS`.
CONFIG_APPLY_S = 2.0
RECOVERY_S = 15.0
# Statuses that guarantee that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


@attrs.define
class Observations:
    """Observations of one run and the violations found in them; thread-safe.

    Attributes:
        violations: Descriptions of the violated guarantees.
        statuses: Number of answers by status.
    """

    violations: list[str] = attrs.field(factory=list)
    statuses: collections.Counter = attrs.field(factory=collections.Counter)
    _execution_counts: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    _refused_statuses: dict[str, int] = attrs.field(factory=dict)
    _acknowledged: list[tuple[float, int]] = attrs.field(factory=list)
    _highest_submitted: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def record_execution(self, request_id: str, is_idempotent: bool) -> None:
        """Records that a server started to execute a request."""
        with self._lock:
            self._execution_counts[request_id] += 1
            if not is_idempotent and self._execution_counts[request_id] > 1:
                self.violations.append(
                    f"twice: non-idempotent {request_id} was executed again"
                )
            if request_id in self._refused_statuses:
                self.violations.append(
                    f"refused: {request_id} was executed after a refusal with "
                    f"{self._refused_statuses[request_id]}"
                )

    def record_answer(
        self,
        request_id: str,
        path: str,
        status: int,
        body: bytes,
        stamp: str,
        is_idempotent: bool,
    ) -> None:
        """Records an answer that a caller received."""
        with self._lock:
            self.statuses[status] += 1
            if status == 200:
                is_own_answer = stamp == f"stamp-{request_id}"
                is_complete = body.endswith(f" {path}".encode())
                if not (is_own_answer and is_complete):
                    self.violations.append(
                        f"mixed: {request_id} received {body!r}, "
                        f"stamp {stamp!r}"
                    )
            elif status in NOT_EXECUTED_STATUSES and not is_idempotent:
                self._refused_statuses[request_id] = status
                if self._execution_counts[request_id]:
                    self.violations.append(
                        f"refused: {request_id} received {status} after it was "
                        "executed"
                    )

    def record_submission(self, number: int) -> None:
        """Records that the operator sent a configuration."""
        with self._lock:
            self._highest_submitted = max(self._highest_submitted, number)

    def record_acknowledgement(self, number: int) -> None:
        """Records that a configuration was acknowledged to the operator."""
        with self._lock:
            self._acknowledged.append((time.monotonic(), number))

    def check_read(self, number: int, sent_s: float) -> None:
        """Checks a configuration version that the operator read.

        Args:
            number: Version that was read.
            sent_s: Monotonic time at which the read was sent.
        """
        with self._lock:
            visible = [
                acknowledged_number
                for at_s, acknowledged_number in self._acknowledged
                if at_s <= sent_s - CONFIG_APPLY_S
            ]
            if visible and number < max(visible):
                self.violations.append(
                    f"config: version {number} was read at least "
                    f"{CONFIG_APPLY_S} s after version {max(visible)} was "
                    "acknowledged"
                )
            if number > self._highest_submitted:
                self.violations.append(
                    f"config: version {number} was read but never sent"
                )

    def check_final_read(self, number: int | None) -> None:
        """Checks the version that was read after all faults ended.

        Args:
            number: Version, or `None` if no control instance answered.
        """
        with self._lock:
            highest = max((n for _, n in self._acknowledged), default=0)
            if number is None or number < highest:
                self.violations.append(
                    f"lost: version {number} was read at the end, version "
                    f"{highest} was acknowledged"
                )

    def check_recovery(self, succeeded: int, sent: int) -> None:
        """Checks the requests sent after the service has recovered.

        At least a quarter of them must have succeeded.
        """
        if succeeded * 4 < sent:
            with self._lock:
                self.violations.append(
                    f"recover: {succeeded} of {sent} requests succeeded, fewer "
                    "than a quarter"
                )
