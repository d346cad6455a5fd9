"""Tests for route lookup, weighted splits and checks of configurations."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianwall.claims.commands import ConfigurationHeld, PutConfiguration
from gentianwall.claims.register import RegisterState, apply_command
from gentianwall.config.routes import (
    CallerLimits,
    Route,
    RouteConfiguration,
    RoutedService,
    RouteKind,
    RouteTarget,
    check_configuration,
)
from gentianwall.routing.routes import RouteTable

ROUTE = Route(
    name="r",
    host="a.example",
    path_prefix="/x/",
    kind=RouteKind.SAFE,
    timeout_ms=1000.0,
    target_ms=300.0,
    priority=1,
    most_attempts=2,
    targets=(RouteTarget("s", 1.0),),
)


def _make_configuration(*routes, number=1):
    services = (RoutedService("s", "/h", 9), RoutedService("t", "/h", 9))
    return RouteConfiguration(number, routes, services, CallerLimits())


def test_the_longest_prefix_of_the_host_wins():
    longer = attrs.evolve(ROUTE, name="l", path_prefix="/x/y/")
    other = attrs.evolve(ROUTE, name="o", host="b.example")
    table = RouteTable(_make_configuration(ROUTE, longer, other))
    assert table.find("a.example", "/x/y/z") is longer
    assert table.find("A.Example:80", "/x/z") is ROUTE
    assert table.find("b.example", "/x/y/z") is other
    assert table.find("a.example", "/z") is None
    assert table.find("c.example", "/x/") is None


@given(
    weights=st.lists(st.integers(0, 100), min_size=2, max_size=4).filter(any),
    start=st.integers(0, 400),
)
def test_each_target_of_a_split_gets_its_share_of_any_300_requests(
    weights, start
):
    names = [f"s{i}" for i in range(len(weights))]
    targets = tuple(
        RouteTarget(n, float(w)) for n, w in zip(names, weights, strict=True)
    )
    route = attrs.evolve(ROUTE, targets=targets)
    table = RouteTable(_make_configuration(route))
    chosen = [table.choose_service(route) for _ in range(start + 300)][start:]
    for name, weight in zip(names, weights, strict=True):
        share = chosen.count(name) / 300
        assert abs(share - weight / sum(weights)) < 0.1


def test_a_split_with_only_zero_weights_selects_no_service():
    route = attrs.evolve(
        ROUTE, targets=(RouteTarget("s", 0.0), RouteTarget("t", 0.0))
    )
    assert RouteTable(_make_configuration(route)).choose_service(route) is None


@pytest.mark.parametrize(
    ("change", "option"),
    [
        ({"host": ""}, "routes.r.host"),
        ({"path_prefix": "x/"}, "routes.r.path_prefix"),
        ({"target_ms": 61_000.0}, "routes.r.target_ms"),
        ({"targets": (RouteTarget("u", 1.0),)}, "routes.r.targets"),
        ({"targets": (RouteTarget("s", -1.0),)}, "routes.r.weight"),
    ],
)
def test_each_invalid_route_option_is_reported(change, option):
    route = attrs.evolve(ROUTE, **change)
    problems = check_configuration(_make_configuration(route))
    assert [problem.option for problem in problems] == [option]
    assert check_configuration(_make_configuration(ROUTE)) == []


def _put_configuration(state, number, document):
    configuration = _make_configuration(ROUTE, number=number)
    return apply_command(state, PutConfiguration(configuration, document, 0))


def test_the_highest_number_is_in_force_with_its_first_content():
    state = RegisterState()
    assert _put_configuration(state, 5, b"five") == ConfigurationHeld(5, True)
    assert _put_configuration(state, 5, b"five") == ConfigurationHeld(5, True)
    assert _put_configuration(state, 5, b"other") == ConfigurationHeld(5, False)
    assert _put_configuration(state, 4, b"four") == ConfigurationHeld(5, True)
    assert state.numbered.document == b"five"
    assert _put_configuration(state, 9, b"nine") == ConfigurationHeld(9, True)
    assert state.numbered.document == b"nine"
