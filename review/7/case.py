"""A report of another writer at the addresses of servers in use.

Each server of `ledger` runs on a machine on which the agent of another system
reports something too: with an id of its own, the machine's address, and a
service that no desired state names. It does so once for each server.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

import standins2 as standins

FOLDER = pathlib.Path(__file__).parent
LEDGER_SERVERS = 6
ORDER_SERVERS = 4
REQUESTS_PER_S = 10.0
FOREIGN_AT_S = 5.0
LENGTH_S = 45.0
ZONES = ("rajkot-a", "rajkot-b", "jamnagar-c")


def server_specs(platform) -> list[dict]:
    """Returns the servers of both services."""
    specs = []
    for number in range(1, LEDGER_SERVERS + ORDER_SERVERS + 1):
        name = "ledger" if number <= LEDGER_SERVERS else "order-desk"
        specs.append(
            {
                "id": f"i-{number:04d}",
                "service": name,
                "host": f"127.{platform.block}.3.{number}",
                "port": platform.server_port,
                "zone": ZONES[number % 3],
            }
        )
    return specs


async def send_foreign_reports(platform, record, specs) -> None:
    """Sends the reports of the other writer, one for each server."""
    for spec in specs:
        if spec["service"] != "ledger":
            continue
        content = {
            "service": "tool-wear",
            "address": f"{spec['host']}:{spec['port']}",
            "zone": spec["zone"],
            "version": "v1",
            "maxConcurrency": 2,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        call = f"instances.heartbeat&of=agent-{spec['id']}"
        answer = await platform.call_control(call, content)
        status = answer.status if answer else "no answer"
        record.write(f"foreign report for {content['address']}: {status}")


async def send_requests(platform, record, kind, method, path, outcomes) -> None:
    """Sends the requests of one kind and counts those that are served."""
    tasks = []

    async def send(number: int) -> None:
        request_id = f"{kind}-{number:05d}"
        entry = platform.entries[number % len(platform.entries)]
        body = b"order" if method == "POST" else b""
        record.write(f"sent {request_id} to {entry.name}")
        sent_s = time.monotonic()
        answer = await platform.request(
            entry, request_id, method, f"{path}{number:x}", body
        )
        status = answer.status if answer else "none"
        record.write(f"answered {request_id} {status}")
        is_served = answer is not None and answer.status == 200
        outcomes[kind].append(standins.Outcome(sent_s, is_served))

    end_s = time.monotonic() + LENGTH_S
    number = 0
    while time.monotonic() < end_s:
        number += 1
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def case(record) -> int:
    """Runs the case; returns its exit code."""
    platform = standins.Platform(ZONES, 3, 3)
    try:
        for machine in [*platform.controls, *platform.entries]:
            platform.start(machine, is_first_start=True)
        parts = [
            standins.route("order", "/order/", "non_idempotent", "order-desk"),
            standins.service("ledger"),
            standins.service("order-desk"),
        ]
        await platform.apply(standins.desired_state(1, *parts))
        parts.append(standins.route("lookup", "/lookup/", "safe", "ledger"))
        await platform.apply(standins.desired_state(2, *parts))
        specs = server_specs(platform)
        platform.start_servers(specs, FOLDER / "runs.txt")
        await platform.wait_until_ready()
        await asyncio.sleep(3.0)
        outcomes = {"lookup": [], "order": []}
        record.write("traffic starts")
        traffic = asyncio.gather(
            send_requests(
                platform, record, "lookup", "GET", "/lookup/", outcomes
            ),
            send_requests(
                platform, record, "order", "POST", "/order/", outcomes
            ),
        )
        await asyncio.sleep(FOREIGN_AT_S)
        if standins.is_disturbed():
            await send_foreign_reports(platform, record, specs)
        disturbed_s = time.monotonic()
        await traffic
    finally:
        platform.end()
        runs = FOLDER / "runs.txt"
        if runs.exists():
            record.write("what the servers ran:\n" + runs.read_text())
            runs.unlink()
    is_broken = standins.neglects_added_routes(
        record, outcomes["order"], outcomes["lookup"], disturbed_s
    )
    return standins.BROKEN if is_broken else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, case))
