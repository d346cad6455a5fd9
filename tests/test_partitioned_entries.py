"""Tests that entries without a path to any server still serve their callers.

From 3 s after the partition began, first tries there may not be served less
than two thirds as often as at the other entries while more than 10 + 1 in 50
of all first tries fail there.
"""

from __future__ import annotations

import collections
import contextlib
import hashlib
import json
import math
import os
import signal
import threading
import time

import attrs
import pytest

from gentianwall.gateway.relay_signatures import RelaySignature, digest_of
from gentianwall.runtime.relay_headers import add_signature
from harness.fleet import (
    CALLERS_PORT,
    HOST,
    METRICS_PORT,
    PEER_PORT,
    SERVER_PORT,
    SERVERS_PREFIX,
    call,
    registered_servers,
    replace_configuration_until_acknowledged,
    running_fleet,
    wait_until,
)
from soak.proxy import Partition, Proxy

ENTRIES = 4
SERVERS = 4
SETTLING_S = 3.0
SAMPLE_S = 4.0
REQUESTS_PER_ENTRY_PER_S = 8.0
# Time after the end of a partition within which an entry uses servers again.
REJOIN_S = 2.0


def _proxies_prefix(entry_number: int) -> str:
    return f"127.0.{10 + entry_number}."


@attrs.define
class Tries:
    """First tries of callers at one entry, as time and status."""

    at_s: list[float] = attrs.field(factory=list)
    statuses: list[int] = attrs.field(factory=list)

    def count(self, since_s: float, until_s: float) -> tuple[int, int]:
        """Returns how many were sent in a period, and how many got a 200."""
        sent = [
            status
            for at_s, status in zip(self.at_s, self.statuses, strict=True)
            if since_s <= at_s < until_s
        ]
        return len(sent), sent.count(200)


@pytest.fixture
def proxies():
    """Proxies between each entry and each server, by number of the entry."""
    with contextlib.ExitStack() as stack:
        by_entry = {}
        for entry in range(1, ENTRIES + 1):
            by_entry[entry] = [
                Proxy(
                    f"{_proxies_prefix(entry)}{server}",
                    f"{SERVERS_PREFIX}{server}",
                    SERVER_PORT,
                )
                for server in range(1, SERVERS + 1)
            ]
            for proxy in by_entry[entry]:
                stack.callback(proxy.close)
        yield by_entry


@pytest.fixture
def fleet(tmp_path, proxies):
    """Three control instances and four entries behind the proxies."""
    rerouted_hosts = {
        f"127.0.2.{entry}": {SERVERS_PREFIX: _proxies_prefix(entry)}
        for entry in proxies
    }
    with running_fleet(tmp_path, 3, ENTRIES, rerouted_hosts) as fleet:
        yield fleet


@pytest.fixture
def servers(fleet):
    """Four servers, known to all entries."""
    with registered_servers(fleet, SERVERS) as servers:
        yield servers


@contextlib.contextmanager
def _callers(fleet):
    """Sends first tries to all entries; yields them by number of the entry."""
    is_over = threading.Event()
    tries = {entry: Tries() for entry in range(1, ENTRIES + 1)}
    threads = []

    def send_one(entry: int, number: int, sent_s: float) -> None:
        node = fleet.entries[entry - 1]
        answer = fleet.send_request(node, f"try-{entry}-{number}")
        tries[entry].at_s.append(sent_s)
        tries[entry].statuses.append(answer.status)

    def send_all() -> None:
        number = 0
        while not is_over.wait(1.0 / REQUESTS_PER_ENTRY_PER_S):
            number += 1
            for entry in tries:
                arguments = (entry, number, time.monotonic())
                thread = threading.Thread(target=send_one, args=arguments)
                thread.start()
                threads.append(thread)

    sender = threading.Thread(target=send_all)
    sender.start()
    try:
        yield tries
    finally:
        is_over.set()
        sender.join()
        for thread in threads:
            thread.join()


@pytest.mark.parametrize(
    ("partition", "cut_entries"),
    [
        pytest.param(Partition.HANG, (1, 2), id="two-hang"),
        pytest.param(Partition.RESET, (1, 2, 3), id="all-but-one-reset"),
        pytest.param(Partition.REFUSE_NEW, (1,), id="one-refuses-new"),
    ],
)
def test_entries_partitioned_from_all_servers_serve_their_callers(
    fleet, servers, proxies, partition, cut_entries
):
    with _callers(fleet) as tries:
        time.sleep(1.0)
        cut_s = time.monotonic()
        for entry in cut_entries:
            for proxy in proxies[entry]:
                proxy.begin_partition(partition)
        time.sleep(SETTLING_S + SAMPLE_S)
        end_s = time.monotonic()
        for entry in cut_entries:
            for proxy in proxies[entry]:
                proxy.end_partition()
        time.sleep(REJOIN_S + 1.0)

    since_s = cut_s + SETTLING_S
    counts = {entry: tries[entry].count(since_s, end_s) for entry in tries}
    sent = sum(counts[entry][0] for entry in cut_entries)
    served = sum(counts[entry][1] for entry in cut_entries)
    others = [counts[entry] for entry in counts if entry not in cut_entries]
    others_sent = sum(count[0] for count in others)
    others_served = sum(count[1] for count in others)
    is_as_often = served / sent >= 2 / 3 * others_served / others_sent
    is_few = sent - served <= 10 + (sent + others_sent) / 50
    assert is_as_often or is_few, (counts, cut_entries)
    assert others_served / others_sent > 0.9, counts

    executions = collections.Counter(
        request_id for server in servers for request_id in server.executed_ids
    )
    orders = [count for name, count in executions.items() if name != "warm"]
    assert max(orders) == 1

    # Once the partition is over, these entries use the servers again.
    for entry in cut_entries:
        sent, served = tries[entry].count(end_s + REJOIN_S, end_s + 10.0)
        assert served == sent > 0, (entry, sent, served)


def _cut(proxies, entries, partition):
    for entry in entries:
        for proxy in proxies[entry]:
            proxy.begin_partition(partition)


def _wait_until_partitioned(fleet, entry):
    node = fleet.entries[entry - 1]

    def is_partitioned() -> bool:
        fleet.send_request(node, f"probe-{time.monotonic()}")
        text = call(node.host, METRICS_PORT, "GET", "/metrics").body.decode()
        return "gentianwall_is_partitioned 1" in text.splitlines()

    wait_until(f"entry {entry} is partitioned", is_partitioned)


def test_partitioned_entries_serve_through_changes_and_a_lost_leader(
    fleet, servers, proxies
):
    _cut(proxies, (1, 2), Partition.RESET)
    _wait_until_partitioned(fleet, 1)
    _wait_until_partitioned(fleet, 2)
    with _callers(fleet) as tries:
        leader = next(
            node
            for node in fleet.controls
            if "gentianwall_is_leader 1"
            in call(node.host, METRICS_PORT, "GET", "/metrics").body.decode()
        )
        fleet.kill(leader)
        replace_configuration_until_acknowledged(
            fleet, 2, [node for node in fleet.controls if node is not leader]
        )
        fleet.start(leader)
        # A peer that stops hands over to the others without a lost request.
        stopped = fleet.entries[3]
        fleet.signal(stopped, signal.SIGTERM)
        time.sleep(4.0)
    for entry in (1, 2, 3):
        sent, served = tries[entry].count(0.0, math.inf)
        assert served == sent > 0, (entry, sent, served)


def test_uploads_of_partitioned_entries_arrive_whole_and_once(
    fleet, servers, proxies
):
    _cut(proxies, (1,), Partition.HANG)
    _wait_until_partitioned(fleet, 1)
    body = os.urandom(1_500_000)
    headers = {
        "Host": HOST,
        "X-Gentianwall-Request-Id": "upload",
        "X-Gentianwall-Deadline-Ms": "2000",
    }
    host = fleet.entries[0].host
    answer = call(host, CALLERS_PORT, "POST", "/orders/x", body, headers)
    assert answer.status == 200
    assert "Gentianwall-Relay" not in answer.headers
    (server,) = [s for s in servers if "upload" in s.executed_ids]
    assert server.body_digests["upload"] == hashlib.sha256(body).hexdigest()
    executed = [name for server in servers for name in server.executed_ids]
    assert executed.count("upload") == 1


def test_strangers_run_nothing_through_the_port_for_peers(fleet, servers):
    """Whoever reached the port chose service, kind and attempts, past routes.

    Headers without a signature, with a malformed and with a forged one.
    """
    relay = json.dumps(
        {
            "service": "orders",
            "kind": "safe",
            "target_ms": 900.0,
            "target_left_ms": 900.0,
            "attempts_left": 99,
        }
    )
    forged = RelaySignature(
        int(time.time() * 1000), "n1", digest_of(b""), ("0" * 64,) * 2
    )
    values = [
        "",
        "{",
        relay,
        add_signature(relay.encode(), forged.encode()).decode(),
        add_signature(relay.encode(), "1.n.d").decode(),
    ]
    for entry in fleet.entries:
        for number, value in enumerate(values):
            headers = {
                "Host": HOST,
                "X-Gentianwall-Request-Id": f"forged-{number}",
                "X-Gentianwall-Deadline-Ms": "900",
                "Gentianwall-Relay": value,
            }
            for path in ("/no-route-here", "/orders/x"):
                answer = call(
                    entry.host, PEER_PORT, "GET", path, headers=headers
                )
                assert answer.status in (400, 503), (value, answer)
    executed = [name for server in servers for name in server.executed_ids]
    assert not [name for name in executed if name.startswith("forged")]
    for entry in fleet.entries:
        assert fleet.send_request(entry, f"ordinary-{entry.host}").status == 200
