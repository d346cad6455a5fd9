"""A request that crashes its server in the middle of the answer comes again.

An export of `floorplan` is so long that the server sends the head and half of
the body before it crashes. Each of the eight servers that runs the export
crashes so, and is back 3 s later, as a new boot with a new id.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

import standins2 as standins

FOLDER = pathlib.Path(__file__).parent
ZONES = ("ctx-a", "ctx-b", "ctx-c")
CRASH_PATH = "/export/7f"
SERVERS = 8
BACK_AFTER_S = 3.0
REPEAT_S = 2.0
OTHERS_PER_S = 5.0
LENGTH_S = 60.0
# RULES.md, BUDGET; the site's `stableWindowMs` is 3,000.
STABLE_WINDOW_S = 3.0
MOST_CRASHES = 3
MOST_RETRIES = 3


def make_spec(platform, number: int, start: int) -> dict:
    """Returns a server; each start has an id of its own."""
    return {
        "id": f"i-{number:02d}{start:02d}",
        "service": "floorplan",
        "host": f"127.{platform.block}.3.{number}",
        "port": platform.server_port,
        "zone": ZONES[number % 3],
        "crash_path": CRASH_PATH,
        "crashes_midway": True,
    }


async def keep_up(platform, record, number: int, end_s: float) -> None:
    """Starts a server, and starts it again after each crash."""
    log = FOLDER / "runs.txt"
    start = 0
    process = platform.start_servers([make_spec(platform, number, 0)], log)
    while time.monotonic() < end_s:
        await asyncio.sleep(0.1)
        if process.poll() is not None:
            record.write(f"server {number} has crashed")
            await asyncio.sleep(BACK_AFTER_S)
            start += 1
            specs = [make_spec(platform, number, start)]
            process = platform.start_servers(specs, log)
            record.write(f"server {number} is back")


async def send_all(platform, record, kind, path, gap_s, end_s) -> list[int]:
    """Sends requests of one kind; returns the statuses, 0 for no answer."""
    statuses = []
    number = 0
    while time.monotonic() < end_s:
        number += 1
        request_id = f"{kind}-{number:05d}"
        entry = platform.entries[number % len(platform.entries)]
        record.write(f"sent {request_id} to {entry.name}")
        answer = await platform.request(
            entry, request_id, "GET", path.replace("#", f"{number:x}")
        )
        statuses.append(answer.status if answer else 0)
        record.write(f"answered {request_id} {statuses[-1]}")
        await asyncio.sleep(gap_s)
    return statuses


def count_late_retries(lines: list[str]) -> tuple[int, int]:
    """Returns the crashes, and the runs that began too late after the third."""
    crashes = [float(s.split()[0]) for s in lines if " crashes bad-" in s]
    runs = [float(s.split()[0]) for s in lines if " runs bad-" in s]
    if len(crashes) < MOST_CRASHES:
        return len(crashes), 0
    limit_s = crashes[MOST_CRASHES - 1] + STABLE_WINDOW_S
    # Only what was sent again counts, and the first request of all was before.
    return len(crashes), sum(at_s > limit_s for at_s in runs)


async def case(record) -> int:
    """Runs the case; returns its exit code."""
    platform = standins.Platform(ZONES, 3, 3)
    runs = FOLDER / "runs.txt"
    runs.unlink(missing_ok=True)
    try:
        for machine in [*platform.controls, *platform.entries]:
            platform.start(machine, is_first_start=True)
        state = standins.desired_state(
            1,
            standins.route(
                "export", "/export/", "download", "floorplan", 6000, 1200
            ),
            standins.service("floorplan"),
        )
        await platform.apply(state)
        end_s = time.monotonic() + 8.0 + LENGTH_S
        servers = [
            asyncio.create_task(keep_up(platform, record, n, end_s))
            for n in range(1, SERVERS + 1)
        ]
        await platform.wait_until_ready()
        await asyncio.sleep(3.0)
        record.write("traffic starts")
        parts = [
            send_all(
                platform, record, "other", "/export/a#", 1 / OTHERS_PER_S, end_s
            ),
        ]
        if standins.is_disturbed():
            parts.append(
                send_all(platform, record, "bad", CRASH_PATH, REPEAT_S, end_s)
            )
        statuses = await asyncio.gather(*parts)
        await asyncio.gather(*servers)
    finally:
        platform.end()
    lines = runs.read_text().splitlines()
    record.write("what the servers ran:\n" + "\n".join(lines))
    runs.unlink()
    for kind, each in zip(("other", "bad"), statuses, strict=False):
        counts = {status: each.count(status) for status in sorted(set(each))}
        record.write(f"{kind}: {counts}")
    if 200 not in statuses[0]:
        return standins.NOT_RUN
    crashes, late = count_late_retries(lines)
    record.write(f"{crashes} crashes, {late} retries after the third and 3 s")
    return standins.BROKEN if late > MOST_RETRIES else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, case))
