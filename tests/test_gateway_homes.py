"""Tests of the servers that an entry prefers, and of what replaces them."""

from __future__ import annotations

import collections
import random

import attrs
from hypothesis import given
from hypothesis import strategies as st

from gentianwall.gateway import effects as fx
from gentianwall.gateway.homes import (
    HOME_SERVERS,
    choose_candidates,
    choose_homes,
    draw_others,
)
from gentianwall.gateway.servers import RoutedServer
from harness.gateway_entry import FULL, IDLE, Entry, effects_of_type, server

NAMES = st.lists(st.integers(0, 500), min_size=1, max_size=60, unique=True)


def _servers(numbers, domains=3):
    servers = {}
    for number in numbers:
        record = server(f"s{number}", number + 1)
        notice = attrs.evolve(
            record.notice, failure_domain=f"d{number % domains}"
        )
        record = attrs.evolve(record, notice=notice)
        servers[record.name] = RoutedServer(record, 0.0)
    return servers


@given(numbers=NAMES, gone=st.integers(0, 59))
def test_a_lost_server_changes_one_place_among_the_homes(numbers, gone):
    servers = _servers(numbers)
    before = choose_homes("e", "d0", servers.values())
    lost = sorted(servers)[gone % len(servers)]
    del servers[lost]
    after = choose_homes("e", "d0", servers.values())
    assert len(set(before) - set(after)) == (lost in before)
    assert len(set(after) - set(before)) <= 1


@given(numbers=NAMES)
def test_homes_are_in_the_entrys_failure_domain_if_there_are_enough(numbers):
    servers = _servers(numbers)
    local = {
        n for n, s in servers.items() if s.record.notice.failure_domain == "d0"
    }
    homes = choose_homes("e", "d0", servers.values())
    assert len(homes) == min(HOME_SERVERS, len(servers))
    assert len(local & set(homes)) == min(len(local), HOME_SERVERS)


def test_entries_share_the_servers_evenly():
    servers = _servers(range(100), domains=1)
    counts = collections.Counter()
    for number in range(200):
        counts.update(choose_homes(f"e{number}", "d0", servers.values()))
    mean = 200 * HOME_SERVERS / 100
    assert len(counts) == 100
    assert max(counts.values()) < 2 * mean


def test_draining_servers_are_no_homes():
    servers = _servers(range(20))
    for name in ("s0", "s3"):
        record = servers[name].record
        notice = attrs.evolve(record.notice, state="draining")
        servers[name].record = attrs.evolve(record, notice=notice)
    homes = choose_homes("e", "d0", servers.values())
    assert not {"s0", "s3"} & set(homes)


@given(
    numbers=NAMES,
    paused=st.sets(st.integers(0, 500)),
    tried=st.sets(st.integers(0, 500), max_size=2),
)
def test_an_untried_server_is_always_found(numbers, paused, tried):
    servers = _servers(numbers)
    for number in paused:
        if f"s{number}" in servers:
            servers[f"s{number}"].paused_until_ms = 10.0
    excluded = {f"s{number}" for number in tried}
    homes = choose_homes("e", "d0", servers.values())
    others = draw_others(servers, homes, excluded, random.Random(1))
    candidates = choose_candidates(
        servers, (*homes, *others), excluded, lambda name: True, 0.0
    )
    if set(servers) - excluded:
        assert {c.name for c in candidates} - excluded


def test_a_request_goes_beyond_home_servers_that_are_full():
    entry = Entry()
    many = [server(f"s{number}", number) for number in range(1, 31)]
    entry.deliver_update(*many)
    homes = entry.state.service("s").homes
    asked = set()
    effects = entry.deliver_request()
    for _ in range(5):
        for query in effects_of_type(effects, fx.QueryLoad):
            names = {notice.key.server for notice in query.notices}
            asked |= names
            effects = []
            for name in sorted(names):
                report = FULL if name in homes else IDLE
                effects += entry.deliver_load_report(name, report)
    (sent,) = effects_of_type(effects, fx.SendRequest)
    assert sent.notice.key.server not in homes
    assert len(asked) <= 9
