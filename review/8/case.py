"""One tenant's request crashes servers; another tenant reads the same path.

The request of the tenant `acme` crashes each server that runs it, since the
servers look up that tenant's data. It comes again a few times. The tenant
`north` reads the same path with its own key, which harms no server.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

import standins2 as standins

FOLDER = pathlib.Path(__file__).parent
ZONES = ("ctx-a", "ctx-b", "ctx-c")
SERVERS = 8
# On the route that is added later.
PAGE = "/today/floor"
KEYS = {"acme": "k-51c0", "north": "k-8d2e", "south": "k-a974"}
CRASHES_FROM_S = 4.0
BAD_REQUESTS = 6
BAD_GAP_S = 2.0
BACK_AFTER_S = 3.0
READS_PER_S = 15.0
LENGTH_S = 55.0


def make_spec(platform, number: int, start: int) -> dict:
    """Returns a server; each start has an id of its own."""
    return {
        "id": f"i-{number:02d}{start:02d}",
        "service": "floorplan",
        "host": f"127.{platform.block}.3.{number}",
        "port": platform.server_port,
        "zone": ZONES[number % 3],
        "crash_path": PAGE,
        "crash_tenant": "acme",
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


async def send_one(platform, record, tenant, number, path):
    """Sends a request of a tenant; returns its outcome."""
    request_id = f"{tenant}-{number:05d}"
    entry = platform.entries[number % len(platform.entries)]
    record.write(f"sent {request_id} to {entry.name}")
    sent_s = time.monotonic()
    answer = await platform.request(
        entry, request_id, "GET", path, key=KEYS[tenant]
    )
    record.write(f"answered {request_id} {answer.status if answer else 0}")
    is_served = answer is not None and answer.status == 200
    return standins.Outcome(sent_s, is_served)


async def send_reads(platform, record, tenant, path, end_s) -> list:
    """Sends the reads of a tenant; returns their outcomes."""
    tasks = []
    while time.monotonic() < end_s:
        number = len(tasks) + 1
        own_path = path.replace("#", f"{number:x}")
        sending = send_one(platform, record, tenant, number, own_path)
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(1.0 / READS_PER_S)
    return await asyncio.gather(*tasks)


async def send_bad(platform, record) -> None:
    """Sends the request that crashes servers, a few times."""
    await asyncio.sleep(CRASHES_FROM_S)
    for number in range(1, BAD_REQUESTS + 1):
        await send_one(platform, record, "acme", number, PAGE)
        await asyncio.sleep(BAD_GAP_S)


async def case(record) -> int:
    """Runs the case; returns its exit code."""
    platform = standins.Platform(ZONES, 3, 3)
    runs = FOLDER / "runs.txt"
    runs.unlink(missing_ok=True)
    try:
        for machine in [*platform.controls, *platform.entries]:
            platform.start(machine, is_first_start=True)
        parts = [
            standins.route("floor", "/floor/", "safe", "floorplan"),
            standins.service("floorplan"),
            *(standins.tenant(name, key) for name, key in KEYS.items()),
        ]
        await platform.apply(standins.desired_state(1, *parts))
        parts.append(standins.route("today", "/today/", "safe", "floorplan"))
        await platform.apply(standins.desired_state(2, *parts))
        end_s = time.monotonic() + 10.0 + LENGTH_S
        servers = [
            asyncio.create_task(keep_up(platform, record, n, end_s))
            for n in range(1, SERVERS + 1)
        ]
        await platform.wait_until_ready()
        await asyncio.sleep(4.0)
        record.write("traffic starts")
        disturbed_s = time.monotonic() + CRASHES_FROM_S
        disturbed_s += BAD_REQUESTS * BAD_GAP_S + BACK_AFTER_S
        sending = [
            send_reads(platform, record, "north", PAGE, end_s),
            send_reads(platform, record, "south", "/floor/#", end_s),
        ]
        if standins.is_disturbed():
            sending.append(send_bad(platform, record))
        north, south, *_ = await asyncio.gather(*sending)
        await asyncio.gather(*servers)
    finally:
        platform.end()
        if runs.exists():
            record.write("what the servers ran:\n" + runs.read_text())
            runs.unlink()
    is_broken = standins.neglects_added_routes(
        record, south, north, disturbed_s
    )
    return standins.BROKEN if is_broken else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, case))
