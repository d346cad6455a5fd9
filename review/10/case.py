"""A desired state that lets clients keep no idle connection.

The operator sets `idleTimeoutMs` to 0. Clients of these pages then reuse no
connection: each opens a new one and sends its request at once.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

import standins2 as standins

FOLDER = pathlib.Path(__file__).parent
ZONES = ("rajkot-a", "rajkot-b", "jamnagar-c")
CLIENTS = 12
PAUSE_S = 0.2
BEFORE_S = 5.0
AFTER_S = 15.0
IDLE_MS = {True: 0, False: 3000}
# Bounds of the site: `configApplyMs` and `stableWindowMs`.
CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
# RULES.md, RECOVER: "while seven clients or more try".
LEAST_CLIENTS = 7


def make_state(version: int, idle_ms: int) -> dict:
    """Returns a desired state with a limit on idle connections."""
    state = standins.desired_state(
        version,
        standins.route("lookup", "/lookup/", "safe", "ledger"),
        standins.service("ledger"),
    )
    state["resources"][-1]["spec"]["idleTimeoutMs"] = idle_ms
    return state


class Watch:
    """What clients and readiness checks have seen of one machine."""

    def __init__(self):
        self.tries: list[tuple[float, int, bool]] = []
        self.readiness: list[tuple[float, bool]] = []

    def taken(self, start_s: float, end_s: float) -> tuple[int, int, bool]:
        """Returns clients, answered tries and readiness within a span."""
        tries = [t for t in self.tries if start_s <= t[0] <= end_s]
        clients = len({client for _, client, _ in tries})
        answered = sum(is_answered for _, _, is_answered in tries)
        checks = [r for at_s, r in self.readiness if start_s <= at_s <= end_s]
        return clients, answered, bool(checks) and all(checks)


async def run_client(platform, record, client, machine, watch, end_s) -> None:
    """Sends requests to a machine, each on a new connection."""
    number = 0
    while time.monotonic() < end_s:
        number += 1
        request_id = f"lookup-{client:02d}-{number:04d}"
        sent_s = time.monotonic()
        record.write(f"sent {request_id} to {machine.name}")
        answer = await platform.request(
            machine, request_id, "GET", f"/lookup/{number:x}"
        )
        status = answer.status if answer else "none, connection closed"
        record.write(f"answered {request_id} {status}")
        watch.tries.append((sent_s, client, answer is not None))
        await asyncio.sleep(PAUSE_S)


async def check_readiness(platform, record, machine, watch, end_s) -> None:
    """Asks a machine once per second whether it is ready."""
    while time.monotonic() < end_s:
        is_ready = await platform.is_ready(machine)
        watch.readiness.append((time.monotonic(), is_ready))
        record.write(f"{machine.name} ready: {is_ready}")
        await asyncio.sleep(1.0)


async def case(record) -> int:
    """Runs the case; returns its exit code."""
    platform = standins.Platform(ZONES, 3, 3)
    runs = FOLDER / "runs.txt"
    runs.unlink(missing_ok=True)
    try:
        for machine in [*platform.controls, *platform.entries]:
            platform.start(machine, is_first_start=True)
        await platform.apply(make_state(1, 15000))
        specs = [
            {
                "id": f"i-{number:04d}",
                "service": "ledger",
                "host": f"127.{platform.block}.3.{number}",
                "port": platform.server_port,
                "zone": ZONES[number % 3],
            }
            for number in range(1, 13)
        ]
        platform.start_servers(specs, runs)
        await platform.wait_until_ready()
        await asyncio.sleep(3.0)
        record.write("traffic starts")
        end_s = time.monotonic() + BEFORE_S + AFTER_S
        watches = [Watch() for _ in platform.entries]
        parts = []
        for machine, watch in zip(platform.entries, watches, strict=True):
            parts.append(
                check_readiness(platform, record, machine, watch, end_s)
            )
            parts += [
                run_client(platform, record, client, machine, watch, end_s)
                for client in range(CLIENTS)
            ]
        traffic = asyncio.gather(*parts)
        await asyncio.sleep(BEFORE_S)
        idle_ms = IDLE_MS[standins.is_disturbed()]
        await platform.apply(make_state(2, idle_ms))
        acked_s = time.monotonic()
        record.write(f"r2 with idleTimeoutMs {idle_ms} is acknowledged")
        await traffic
    finally:
        platform.end()
        if runs.exists():
            record.write("what the servers ran:\n" + runs.read_text())
            runs.unlink()
    is_broken = False
    for machine, watch in zip(platform.entries, watches, strict=True):
        if not any(is_answered for _, _, is_answered in watch.tries):
            return standins.NOT_RUN
        # A second more than the pages give, for the check itself.
        start_s = acked_s + CONFIG_APPLY_S + 1.0
        clients, answered, is_ready = watch.taken(
            start_s, start_s + STABLE_WINDOW_S
        )
        record.write(
            f"{machine.name}: {clients} clients, {answered} answers, "
            f"ready: {is_ready} for {STABLE_WINDOW_S} s"
        )
        is_broken |= clients >= LEAST_CLIENTS and not answered and is_ready
    return standins.BROKEN if is_broken else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, case))
