"""Model servers: slots, a queue, interference and faults."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from benchmarks.fleet_load.scenario import Full, ServiceModel
from gentianwall.routing.reports import SpeedReport

# Above this share of busy slots, requests slow each other down.
SHARED_ABOVE = 0.8


@attrs.define(eq=False)
class Job:
    """A request at a server.

    Attributes:
        left_ms: Service time that is left at full speed.
        on_finished: Called when the server has finished it.
    """

    left_ms: float
    on_finished: Callable[[], None]


@attrs.define(eq=False)
class ModelServer:
    """A server that shares its speed among the requests it runs.

    Attributes:
        name: Name.
        domain: Failure domain.
        model: Properties of its service.
        rng: Source of its noise.
        slow_factor: Slowdown by a fault.
        is_dark: Whether it answers nothing.
        arrivals: Requests that arrived.
        arrivals_when_full: Requests that found all slots busy.
        version: Counts its changes, so that a scheduled change is dropped if
            another one came first.
    """

    name: str
    domain: int
    model: ServiceModel
    rng: random.Random
    slow_factor: float = 1.0
    is_dark: bool = False
    arrivals: int = 0
    arrivals_when_full: int = 0
    version: int = 0
    _running: list[Job] = attrs.field(factory=list)
    _waiting: list[Job] = attrs.field(factory=list)
    _noise: float = 1.0
    _noise_ends_ms: float = 0.0
    _updated_ms: float = 0.0

    def report(self, now_ms: float) -> SpeedReport:
        """Returns its load report."""
        self.advance(now_ms)
        return SpeedReport(
            len(self._running),
            len(self._waiting),
            self.model.slots,
            self._noise,
        )

    def accept(self, job: Job, now_ms: float) -> bool:
        """Accepts a request; returns False if the server is full."""
        self.advance(now_ms)
        self.arrivals += 1
        if len(self._running) < self.model.slots:
            self._running.append(job)
        else:
            self.arrivals_when_full += 1
            if len(self._waiting) >= self.model.queue:
                return False
            self._waiting.append(job)
        self.version += 1
        return True

    def drop(self, job: Job, now_ms: float) -> None:
        """Removes a request whose connection was closed."""
        self.advance(now_ms)
        if job in self._running:
            self._running.remove(job)
            self._fill_slots()
        elif job in self._waiting:
            self._waiting.remove(job)
        self.version += 1

    def crash(self, now_ms: float) -> None:
        """Loses all requests."""
        self.advance(now_ms)
        self.is_dark = True
        self._running.clear()
        self._waiting.clear()
        self.version += 1

    @property
    def drops_when_full(self) -> bool:
        """Whether a full server drops requests instead of refusing them."""
        return self.model.full is Full.DROP

    def advance(self, now_ms: float) -> None:
        """Lets the running requests progress up to a time."""
        while self._updated_ms < now_ms:
            if self._updated_ms >= self._noise_ends_ms:
                model = self.model
                is_noisy = self.rng.random() < model.noise_share
                self._noise = model.noise_factor if is_noisy else 1.0
                self._noise_ends_ms = (
                    self._updated_ms
                    + self.rng.expovariate(1.0) * model.noise_ms
                )
            until_ms = min(now_ms, self._noise_ends_ms)
            progress_ms = (until_ms - self._updated_ms) / self._factor()
            for job in self._running:
                job.left_ms -= progress_ms
            self._updated_ms = until_ms

    def next_change_ms(self) -> float:
        """Returns when the first request ends or the noise changes."""
        if not self._running:
            return float("inf")
        left_ms = min(job.left_ms for job in self._running)
        end_ms = self._updated_ms + max(0.0, left_ms) * self._factor()
        return min(end_ms, max(self._noise_ends_ms, self._updated_ms + 0.01))

    def finish_due(self, now_ms: float) -> None:
        """Finishes requests that are done and starts queued ones."""
        self.advance(now_ms)
        done = [job for job in self._running if job.left_ms <= 1e-6]
        for job in done:
            self._running.remove(job)
            job.on_finished()
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self._waiting and len(self._running) < self.model.slots:
            self._running.append(self._waiting.pop(0))

    def _factor(self) -> float:
        factor = self._noise * self.slow_factor
        if len(self._running) > SHARED_ABOVE * self.model.slots:
            factor *= self.model.shared_factor
        return factor
