"""Claims a second and commit latency with real syncs to disk.

Stands in for one entry of a system whose three control instances are real
processes. Run with `python -m benchmarks.commits`.
"""

from __future__ import annotations

import time

from twisted.internet import reactor

from gentianwall.claims.commands import ClaimKey, RecordClaim
from gentianwall.config.settings import load_settings
from gentianwall.control.messages import CommandReply, CommandRequest
from gentianwall.links.sockets import Links, make_link_setup
from gentianwall.timeline import Timeline
from harness.cluster import Cluster

MEASURE_S = 4.0
WINDOWS = (1, 16, 64, 256)


class Claimer:
    """Keeps a number of claims under way and times each."""

    def __init__(self, cluster: Cluster, leader: str):
        self.leader = leader
        self.sent_s: dict[str, float] = {}
        self.times_s: list[float] = []
        self.count = 0
        self.is_over = False
        settings = load_settings(str(cluster.folder / "entry-1.toml"))
        timeline = Timeline("entry-1")
        self.links = Links(
            make_link_setup(settings), reactor, timeline, self.receive
        )

    def send(self) -> None:
        """Sends one claim."""
        self.count += 1
        key = ClaimKey("order-desk", "planner", f"{time.time_ns()}")
        token = f"bench-{self.count}"
        command = RecordClaim(key, "0" * 32, token, 0)
        self.sent_s[token] = time.perf_counter()
        self.links.send(self.leader, CommandRequest(token, command))

    def receive(self, envelopes) -> None:
        """Times the answered claims and sends as many new ones."""
        now_s = time.perf_counter()
        for envelope in envelopes:
            if not isinstance(envelope.message, CommandReply):
                continue
            sent_s = self.sent_s.pop(envelope.message.request_id, None)
            if sent_s is not None:
                self.times_s.append(now_s - sent_s)
                if not self.is_over:
                    self.send()


def _measure(claimer: Claimer, windows: list[int]) -> None:
    if not windows:
        reactor.stop()
        return
    window, *rest = windows
    claimer.times_s.clear()
    claimer.sent_s.clear()
    claimer.is_over = False
    for _ in range(window):
        claimer.send()

    def end() -> None:
        claimer.is_over = True
        times = sorted(claimer.times_s)
        print(
            f"| {window} | {len(times) / MEASURE_S:.0f} "
            f"| {times[len(times) // 2] * 1000:.1f} "
            f"| {times[int(len(times) * 0.99)] * 1000:.1f} |",
            flush=True,
        )
        reactor.callLater(0.5, _measure, claimer, rest)

    reactor.callLater(MEASURE_S, end)


def main() -> None:
    """Prints a table in Markdown."""
    cluster = Cluster(2, 3)
    try:
        # The second entry is this process.
        cluster.start(without=("entry-1",))
        claimer = Claimer(cluster, cluster.leader())
        claimer.links.open()
        print("| claims under way | claims/s | p50 ms | p99 ms |")
        print("| --- | --- | --- | --- |")
        reactor.callLater(1.0, _measure, claimer, list(WINDOWS))
        reactor.run()
        claimer.links.close()
    finally:
        cluster.close()


if __name__ == "__main__":
    main()
