"""Tests that a refusal which a server writes once more refuses no request.

Health checks have no id, and neither have their refusals. So only the place of
a repeated one, before the next answer on the connection, could speak for a
request.
"""

from __future__ import annotations

import collections
import random
import time

import attrs
import pytest

from harness.fleet import (
    FakeServer,
    load_entries,
    registered_servers,
    running_fleet,
)

LOAD_S = 5.0
REQUESTS_PER_ENTRY_PER_S = 40.0
REFUSED_SHARE = 0.5
MIN_REPEATED = 3
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"X-Gentianwall-Not-Executed: 1\r\n\r\n"
)


@attrs.define
class RepeatingServer(FakeServer):
    """A server that refuses health checks, and repeats each refusal late.

    Attributes:
        repeated: Number of refusals written before the answer to a request.
    """

    repeated: int = 0

    def handler(self):
        """Returns a handler class, an instance of which has one connection."""
        server = self

        class Handler(super().handler()):
            is_repeat_due = False

            def do_GET(self):
                is_check = self.path == "/healthz"
                if is_check and random.random() < REFUSED_SHARE:
                    self.is_repeat_due = True
                    self.wfile.write(REFUSAL)
                    return
                if self.is_repeat_due and not is_check:
                    self.is_repeat_due = False
                    server.repeated += 1
                    self.wfile.write(REFUSAL)
                super().do_GET()

            do_POST = do_GET

        return Handler


@pytest.fixture
def fleet(tmp_path):
    """Three control instances and two entries, with a configuration."""
    with running_fleet(tmp_path, controls=3, entries=2) as fleet:
        yield fleet


# They were refused as not executed, or ran at a second server.
def test_requests_that_run_are_neither_refused_nor_run_again(fleet):
    with registered_servers(fleet, 3, RepeatingServer) as servers:
        statuses = load_entries(
            fleet, time.monotonic() + LOAD_S, REQUESTS_PER_ENTRY_PER_S
        )
    ran = collections.Counter(
        request_id
        for server in servers
        for request_id in server.executed_ids
        if request_id != "warm"
    )
    refused = sum(status in NOT_EXECUTED_STATUSES for status in statuses)
    assert sum(server.repeated for server in servers) >= MIN_REPEATED
    assert len(ran) + refused <= len(statuses)
    assert max(ran.values()) == 1
