"""Measures whether overload outlasts a burst while callers resend calls.

Load is 70% of capacity, and three times that for two seconds. Callers resend
refused calls up to five times, either after 1 s, the smallest `Retry-After`, or
after 10 ms. Run with `python -m benchmarks.burst`.
"""

from __future__ import annotations

import collections

from benchmarks.decisions import COOPERATIVE, MINT, POLICIES
from benchmarks.load_parts import Faults
from benchmarks.shifting_load import WARM_UP_MS, Simulation

LOAD = 0.7
BURST_START_MS = 3000.0
BURST_END_MS = 5000.0
RUN_MS = 11_000.0
WINDOW_MS = 100.0
MAX_RESENDS = 5
IMPATIENT_RESEND_MS = 10.0
RECOVERED_SHARE = 0.95


class BurstSimulation(Simulation):
    """Simulation in which callers resend refused calls."""

    def __init__(self, *args, resend_ms: float):
        super().__init__(*args)
        self.resend_ms = resend_ms
        self.resends: dict[tuple[int, int], int] = {}
        self.load_factor = self._load_factor_at

    def _load_factor_at(self, now_ms: float) -> float:
        return 3.0 if BURST_START_MS <= now_ms < BURST_END_MS else 1.0

    def on_call_finished(
        self, entry_index: int, call_id: int, is_success: bool
    ) -> None:
        """Schedules a refused call to be resent."""
        resends = self.resends.pop((entry_index, call_id), 0)
        if is_success or resends >= MAX_RESENDS:
            return
        self._schedule(
            self.resend_ms, lambda: self._resend(entry_index, resends + 1)
        )

    def _resend(self, entry_index: int, resends: int) -> None:
        call_id = self.send_call(entry_index)
        if (entry_index, call_id) in self.arrivals_ms:
            self.resends[(entry_index, call_id)] = resends


def main() -> None:
    """Prints the results as a Markdown table."""
    print(
        "| user | policy | resend after ms | goodput in the burst "
        "| ms until 95% of the load is answered again | answered p99 ms |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for user in (MINT, COOPERATIVE):
        for policy in ("least outstanding", "own"):
            for resend_ms in (IMPATIENT_RESEND_MS, 1000.0):
                _measure(user, policy, resend_ms)


def _measure(user, policy: str, resend_ms: float) -> None:
    make_policy, is_managed = POLICIES[policy]
    simulation = BurstSimulation(
        user,
        make_policy,
        LOAD,
        Faults(),
        7,
        is_managed,
        resend_ms=resend_ms,
    )
    outcome = simulation.run(RUN_MS)
    capacity_calls = user.capacity_per_s * WINDOW_MS / 1000.0
    counts = collections.Counter(
        int(at // WINDOW_MS) for at in outcome.answered_at_ms
    )
    first_window, last_window = (
        int(t // WINDOW_MS) for t in (BURST_START_MS, BURST_END_MS)
    )
    goodput = sum(counts[w] for w in range(first_window, last_window)) / (
        last_window - first_window
    )
    end_window = int((WARM_UP_MS + RUN_MS) // WINDOW_MS)
    slow_windows = [
        w
        for w in range(last_window, end_window)
        if counts[w] < RECOVERED_SHARE * LOAD * capacity_calls * 0.9
    ]
    recovery_ms = (
        (slow_windows[-1] + 1 - last_window) * WINDOW_MS
        if slow_windows
        else 0.0
    )
    print(
        f"| {user.name} | {policy} | {resend_ms:.0f} "
        f"| {goodput / capacity_calls:.0%} of capacity | {recovery_ms:.0f} "
        f"| {outcome.quantile(0.99):.0f} |",
        flush=True,
    )


if __name__ == "__main__":
    main()
