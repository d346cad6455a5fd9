"""Servers that go down and up by turns while all callers read one page.

Planners of the whole plant read the same page of the service `ledger`: the same
path, each from an address of its own, without a body. Three of its 20 servers
are killed and started again by turns for a few seconds. No request makes them
do so: all other servers run the same requests without harm.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

import standins2 as standins

FOLDER = pathlib.Path(__file__).parent
LEDGER_SERVERS = 20
# The default share of `srv_flap` is 0.15.
FLAPPING_SERVERS = 3
ORDER_SERVERS = 16
PAGE = "/lookup/board"
READS_PER_S = 80.0
ORDERS_PER_S = 40.0
WORK_MS = 160
CALLERS = 60
FLAP_AT_S = 3.0
FLAP_FOR_S = 6.5
FLAP_PERIOD_S = 1.4
LENGTH_S = 50.0
ZONES = ("rajkot-a", "rajkot-b", "jamnagar-c")


def make_spec(platform, number: int, start: int = 0) -> dict:
    """Returns the server of a number; each start has an id of its own."""
    return {
        "id": f"i-{number:02d}{start:02d}",
        "service": "ledger" if number <= LEDGER_SERVERS else "order-desk",
        "host": f"127.{platform.block}.3.{number}",
        "port": platform.server_port,
        "zone": ZONES[number % 3],
        "work_ms": WORK_MS,
    }


async def flap(platform, record, number: int, process, delay_s: float) -> None:
    """Kills a server and starts it again, by turns."""
    await asyncio.sleep(delay_s)
    end_s = time.monotonic() + FLAP_FOR_S
    start = 0
    while time.monotonic() < end_s:
        process.kill()
        process.wait()
        record.write(f"server {number} is down")
        await asyncio.sleep(FLAP_PERIOD_S / 2)
        start += 1
        specs = [make_spec(platform, number, start)]
        process = platform.start_servers(specs, FOLDER / "runs.txt")
        record.write(f"server {number} is up")
        await asyncio.sleep(FLAP_PERIOD_S / 2)


async def send_requests(
    platform, record, kind, method, path, per_s, outcomes
) -> None:
    """Sends the requests of one kind and counts those that are served."""
    tasks = []

    async def send(number: int) -> None:
        request_id = f"{kind}-{number:05d}"
        entry = platform.entries[number % len(platform.entries)]
        body = f"order {number}".encode() if method == "POST" else b""
        source = f"127.{platform.block}.9.{1 + number % CALLERS}"
        record.write(f"sent {request_id} to {entry.name} from {source}")
        sent_s = time.monotonic()
        answer = await platform.request(
            entry, request_id, method, path, body, source=source
        )
        status = answer.status if answer else "none"
        text = answer.body.decode()[:80] if answer else ""
        record.write(f"answered {request_id} {status} {text}")
        is_served = answer is not None and answer.status == 200
        outcomes[kind].append(standins.Outcome(sent_s, is_served))

    end_s = time.monotonic() + LENGTH_S
    number = 0
    while time.monotonic() < end_s:
        number += 1
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(1.0 / per_s)
    await asyncio.gather(*tasks)


async def case(record) -> int:
    """Runs the case; returns its exit code."""
    platform = standins.Platform(ZONES, 3, 3)
    try:
        for machine in [*platform.controls, *platform.entries]:
            platform.start(machine, is_first_start=True)
        state = [
            standins.route("order", "/order/", "non_idempotent", "order-desk"),
            standins.service("ledger"),
            standins.service("order-desk"),
        ]
        await platform.apply(standins.desired_state(1, *state))
        state.append(standins.route("read", "/lookup/", "safe", "ledger"))
        await platform.apply(standins.desired_state(2, *state))
        log = FOLDER / "runs.txt"
        specs = [
            make_spec(platform, number)
            for number in range(1, LEDGER_SERVERS + ORDER_SERVERS + 1)
        ]
        flapping = [
            platform.start_servers([spec], log)
            for spec in specs[:FLAPPING_SERVERS]
        ]
        platform.start_servers(specs[FLAPPING_SERVERS:], log)
        await platform.wait_until_ready()
        await asyncio.sleep(4.0)
        outcomes = {"read": [], "order": []}
        disturbed_s = time.monotonic() + FLAP_AT_S + 2 * FLAP_PERIOD_S
        disturbed_s += FLAP_FOR_S
        record.write("traffic starts")
        parts = [
            send_requests(
                platform, record, "read", "GET", PAGE, READS_PER_S, outcomes
            ),
            send_requests(
                platform,
                record,
                "order",
                "POST",
                "/order/new",
                ORDERS_PER_S,
                outcomes,
            ),
        ]
        if standins.is_disturbed():
            for number, process in enumerate(flapping, 1):
                delay_s = FLAP_AT_S + FLAP_PERIOD_S * number / FLAPPING_SERVERS
                parts.append(flap(platform, record, number, process, delay_s))
        await asyncio.gather(*parts)
    finally:
        platform.end()
        runs = FOLDER / "runs.txt"
        if runs.exists():
            record.write("what the servers ran:\n" + runs.read_text())
            runs.unlink()
    is_broken = standins.neglects_added_routes(
        record, outcomes["order"], outcomes["read"], disturbed_s
    )
    return standins.BROKEN if is_broken else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, case))
