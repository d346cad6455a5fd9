"""Tests that all entries together keep to the limit that a server names.

A server in need names in its answers how many requests a second it takes from
all entries together. Some 4 s may bring it one and a half times as many and 5
more, from 3 s after it first named the limit on.
"""

from __future__ import annotations

import time

import pytest

from harness.fleet import load_entries, registered_servers, running_fleet

SETTLING_S = 3.0
WINDOW_S = 4.0
LIMIT_PER_S = 1.0
MOST_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
LOAD_S = 9.0
# Well above the limit, and a fraction of what the other servers can take.
REQUESTS_PER_ENTRY_PER_S = 10.0


@pytest.fixture
def fleet(tmp_path):
    """Three control instances and three entries, with a configuration."""
    with running_fleet(tmp_path, controls=3, entries=3) as fleet:
        yield fleet


@pytest.fixture
def servers(fleet):
    """Three servers, known to all entries."""
    with registered_servers(fleet, 3) as servers:
        yield servers


def test_entries_together_keep_to_the_limit_that_a_server_names(fleet, servers):
    limited, *others = servers
    limited.limit_per_s = LIMIT_PER_S
    named_s = time.monotonic()
    statuses = load_entries(fleet, named_s + LOAD_S, REQUESTS_PER_ENTRY_PER_S)
    at_s = [s for s in limited.executed_at_s if s > named_s + SETTLING_S]
    most = max(
        (sum(start <= s < start + WINDOW_S for s in at_s) for start in at_s),
        default=0,
    )
    assert most <= MOST_IN_WINDOW
    # The other servers have room for all requests.
    assert set(statuses) == {200}
    assert all(len(server.executed_ids) > len(at_s) for server in others)
