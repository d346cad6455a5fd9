"""Does an overload outlive its cause? A burst with callers that resend.

Load is 70% of capacity, and three times that for two seconds. Callers resend
what was refused, either as told by `Retry-After` or impatiently after 10 ms,
up to five times. Run with `python -m benchmarks.burst`.
"""

from __future__ import annotations

import collections

from benchmarks.decisions import COOPERATIVE, MINT, POLICIES
from benchmarks.load_parts import Faults
from benchmarks.shifting_load import WARM_MS, Run

LOAD = 0.7
BURST_START_MS = 3000.0
BURST_END_MS = 5000.0
RUN_MS = 11_000.0
WINDOW_MS = 100.0
RESENDS = 5
IMPATIENT_MS = 10.0
RECOVERED_SHARE = 0.95


class BurstRun(Run):
    """A run whose callers resend what was refused."""

    def __init__(self, *args, resend_ms: float):
        super().__init__(*args)
        self.resend_ms = resend_ms
        self.tries: dict[tuple[int, int], int] = {}
        self.burst = self._burst

    def _burst(self, now_ms: float) -> float:
        return 3.0 if BURST_START_MS <= now_ms < BURST_END_MS else 1.0

    def finished(self, number: int, call_id: int, is_good: bool) -> None:
        """Resends what was refused."""
        tries = self.tries.pop((number, call_id), 0)
        if is_good or tries >= RESENDS:
            return
        self._at(self.resend_ms, lambda: self._resend(number, tries + 1))

    def _resend(self, number: int, tries: int) -> None:
        call_id = self.send(number)
        if (number, call_id) in self.arrived:
            self.tries[(number, call_id)] = tries


def main() -> None:
    """Prints a table in Markdown."""
    print(
        "| user | policy | resend after ms | goodput in the burst "
        "| ms until 95% of the load is answered again | answered p99 ms |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for user in (MINT, COOPERATIVE):
        for policy in ("least outstanding", "own"):
            for resend_ms in (IMPATIENT_MS, 1000.0):
                _print(user, policy, resend_ms)


def _print(user, policy: str, resend_ms: float) -> None:
    make_policy, is_managed = POLICIES[policy]
    run = BurstRun(
        user,
        make_policy,
        LOAD,
        Faults(),
        7,
        is_managed,
        resend_ms=resend_ms,
    )
    outcome = run.run(RUN_MS)
    wanted = user.capacity_per_s * WINDOW_MS / 1000.0
    counts = collections.Counter(
        int(at // WINDOW_MS) for at in outcome.answered_at_ms
    )
    first, last = (int(t // WINDOW_MS) for t in (BURST_START_MS, BURST_END_MS))
    in_burst = sum(counts[w] for w in range(first, last)) / (last - first)
    end = int((WARM_MS + RUN_MS) // WINDOW_MS)
    late = [
        w
        for w in range(last, end)
        if counts[w] < RECOVERED_SHARE * LOAD * wanted * 0.9
    ]
    back_ms = (late[-1] + 1 - last) * WINDOW_MS if late else 0.0
    print(
        f"| {user.name} | {policy} | {resend_ms:.0f} "
        f"| {in_burst / wanted:.0%} of capacity | {back_ms:.0f} "
        f"| {outcome.quantile(0.99):.0f} |",
        flush=True,
    )


if __name__ == "__main__":
    main()
