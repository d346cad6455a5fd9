"""What callers, servers and the operator saw, checked against the promises."""

from __future__ import annotations

import collections
import threading
import time

import attrs

# Bounds of the users' page: configApplyMs, recoveryS.
CONFIG_APPLY_S = 2.0
RECOVERY_S = 15.0
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))


@attrs.define
class Seen:
    """What was seen in a run; safe to use from several threads.

    Attributes:
        violations: Promises that were broken, in words.
        statuses: How often each status came; 0 where nothing came.
    """

    violations: list[str] = attrs.field(factory=list)
    statuses: collections.Counter = attrs.field(factory=collections.Counter)
    _ran: collections.Counter = attrs.field(factory=collections.Counter)
    _refused: dict[str, int] = attrs.field(factory=dict)
    _acknowledged: list[tuple[float, int]] = attrs.field(factory=list)
    _offered: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def ran(self, request_id: str, is_idempotent: bool) -> None:
        """A server began to work on a request."""
        with self._lock:
            self._ran[request_id] += 1
            if not is_idempotent and self._ran[request_id] > 1:
                self.violations.append(f"twice: {request_id} ran again")
            if request_id in self._refused:
                self.violations.append(
                    f"refused: {request_id} ran after a "
                    f"{self._refused[request_id]}"
                )

    def answered(
        self,
        request_id: str,
        path: str,
        status: int,
        body: bytes,
        stamp: str,
        is_idempotent: bool,
    ) -> None:
        """A caller got an answer."""
        with self._lock:
            self.statuses[status] += 1
            if status == 200:
                is_own = stamp == f"stamp-{request_id}"
                is_whole = body.endswith(f" {path}".encode())
                if not (is_own and is_whole):
                    self.violations.append(
                        f"mixed: {request_id} got {body!r}, stamp {stamp!r}"
                    )
            elif status in PROMISES_NOT_RUN and not is_idempotent:
                self._refused[request_id] = status
                if self._ran[request_id]:
                    self.violations.append(
                        f"refused: {request_id} got {status} and had run"
                    )

    def offered(self, number: int) -> None:
        """The operator sent a configuration."""
        with self._lock:
            self._offered = max(self._offered, number)

    def acknowledged(self, number: int) -> None:
        """The operator got an acknowledgement."""
        with self._lock:
            self._acknowledged.append((time.monotonic(), number))

    def read(self, number: int, sent_s: float) -> None:
        """The operator read the configuration; it had asked at `sent_s`."""
        with self._lock:
            due = [
                held
                for at_s, held in self._acknowledged
                if at_s <= sent_s - CONFIG_APPLY_S
            ]
            if due and number < max(due):
                self.violations.append(
                    f"config: {number} was read {CONFIG_APPLY_S} s after "
                    f"{max(due)} was acknowledged"
                )
            if number > self._offered:
                self.violations.append(f"config: {number} was never offered")

    def read_at_end(self, number: int | None) -> None:
        """The operator read what is left once all faults are over."""
        with self._lock:
            newest = max((n for _, n in self._acknowledged), default=0)
            if number is None or number < newest:
                self.violations.append(
                    f"lost: {number} was read at the end, {newest} was "
                    "acknowledged"
                )

    def recovered(self, served: int, asked: int) -> None:
        """Counts of requests after the time that recovery may take."""
        if served * 4 < asked:
            with self._lock:
                self.violations.append(f"recover: {served} of {asked} served")
