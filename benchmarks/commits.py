"""Measures claims per second and commit latency with real syncs to disk.

This process acts as one entry of a system with three control instances, which
are real processes. Run with `python -m benchmarks.commits`.
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


class ClaimLoad:
    """Keeps a fixed number of claims outstanding and measures each latency."""

    def __init__(self, cluster: Cluster, leader: str):
        self.leader = leader
        self.sent_at_s: dict[str, float] = {}
        self.latencies_s: list[float] = []
        self.count = 0
        self.is_stopping = False
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
        self.sent_at_s[token] = time.perf_counter()
        self.links.send(self.leader, CommandRequest(token, command))

    def receive(self, envelopes) -> None:
        """Records the latency of each reply and sends a new claim for it."""
        now_s = time.perf_counter()
        for envelope in envelopes:
            if not isinstance(envelope.message, CommandReply):
                continue
            sent_at_s = self.sent_at_s.pop(envelope.message.request_id, None)
            if sent_at_s is not None:
                self.latencies_s.append(now_s - sent_at_s)
                if not self.is_stopping:
                    self.send()


def _measure(claim_load: ClaimLoad, windows: list[int]) -> None:
    if not windows:
        reactor.stop()
        return
    window, *rest = windows
    claim_load.latencies_s.clear()
    claim_load.sent_at_s.clear()
    claim_load.is_stopping = False
    for _ in range(window):
        claim_load.send()

    def end() -> None:
        claim_load.is_stopping = True
        latencies = sorted(claim_load.latencies_s)
        print(
            f"| {window} | {len(latencies) / MEASURE_S:.0f} "
            f"| {latencies[len(latencies) // 2] * 1000:.1f} "
            f"| {latencies[int(len(latencies) * 0.99)] * 1000:.1f} |",
            flush=True,
        )
        reactor.callLater(0.5, _measure, claim_load, rest)

    reactor.callLater(MEASURE_S, end)


def main() -> None:
    """Prints the results as a Markdown table."""
    cluster = Cluster(2, 3)
    try:
        # This process takes the place of the second entry.
        cluster.start(without=("entry-1",))
        claim_load = ClaimLoad(cluster, cluster.leader())
        claim_load.links.open()
        print("| claims under way | claims/s | p50 ms | p99 ms |")
        print("| --- | --- | --- | --- |")
        reactor.callLater(1.0, _measure, claim_load, list(WINDOWS))
        reactor.run()
        claim_load.links.close()
    finally:
        cluster.close()


if __name__ == "__main__":
    main()
