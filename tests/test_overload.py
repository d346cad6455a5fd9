"""Replays overloads through the load model, with and without the policy.

Guards against requests being late together, the urgent ones first, when there
is too little room. The bounds are the requirements of section 5 of
docs/design/shared-limits-and-overload.md.
"""

from __future__ import annotations

import random

import attrs
import pytest

from benchmarks.fleet_load.model import FleetModel
from benchmarks.fleet_load.results import Result
from benchmarks.fleet_load.scenario import (
    Disruption,
    DisruptionKind,
    Full,
    OrganisationModel,
    RequestModel,
    Scenario,
    ServiceModel,
)
from gentianwall.config.fleet import OverloadPolicy
from gentianwall.config.routes import (
    CallerLimits,
    Organisation,
    Route,
    RouteConfiguration,
    RouteKind,
)
from gentianwall.gateway.demand import Demand, KindKey, OrganisationDemand
from gentianwall.gateway.overload import (
    HONOURED_SHARE,
    Overload,
    efficient_slots,
    is_enabled,
)
from gentianwall.gateway.state import RoutedCall
from gentianwall.routing.reports import SpeedReport

SERVED_MARGIN = 0.05
WORTH_MARGIN = 0.15
STARVED_SHARE = 0.25
# One seed has a hundred costly requests, of which a margin is only five.
SEEDS = (1, 2)
URGENT = RequestModel(
    name="urgent",
    service="s",
    kind=RouteKind.SAFE,
    per_s=44.0,
    work_ms=200.0,
    target_ms=600.0,
    deadline_ms=6000.0,
    priority=0,
)
BULK = RequestModel(
    name="bulk",
    service="s",
    kind=RouteKind.DOWNLOAD,
    per_s=9.0,
    work_ms=1200.0,
    target_ms=3600.0,
    deadline_ms=18_000.0,
    priority=2,
)
BASE = Scenario(
    seconds=7.0,
    entries_per_domain=(6, 6),
    local_ms=0.1,
    remote_ms=1.4,
    services=(
        ServiceModel(
            name="s",
            servers_per_domain=(8, 8),
            slots=6,
            queue=4,
            full=Full.DROP,
        ),
    ),
    requests=(URGENT, BULK),
)


def _disruption(kind, at_s=1.0, for_s=4.0, **options):
    return Disruption(
        kind=DisruptionKind(kind), at_s=at_s, for_s=for_s, **options
    )


LOADS = {
    "a burst over all kinds": (_disruption("burst", factor=4.0),),
    "a burst of the costly kind": (
        _disruption("burst", factor=6.0, only="bulk"),
    ),
    "retries by callers": (
        _disruption("burst", factor=3.0),
        _disruption("abuse", share=0.4, factor=4.0),
    ),
    "callers that disconnect": (
        _disruption("burst", factor=4.0),
        _disruption("disconnect", share=0.3, factor=0.8),
    ),
    "the loss of half of the servers": (
        _disruption("crash", share=0.5),
        _disruption("burst", factor=2.0),
    ),
    "the seconds after all were killed": (
        _disruption("kill_entries", for_s=1.0, share=1.0),
        _disruption("burst", factor=3.0),
    ),
}


def _run(disruptions, policy, scenario=BASE, seeds=SEEDS):
    """Returns what callers got over all seeds."""
    scenario = attrs.evolve(
        scenario, disruptions=disruptions, overload_policy=policy
    )
    total = Result()
    for seed in seeds:
        result = FleetModel(scenario, seed).run()
        total.owed.update(result.owed)
        total.earned.update(result.earned)
        total.outcomes.update(result.outcomes)
        total.organisations.update(result.organisations)
    return total


def _violations(result):
    served = result.share("in time") + result.share("late")
    found = []
    if result.served_of("urgent") < result.served_of("bulk") - SERVED_MARGIN:
        found.append("the higher priority is served less")
    if result.worth_of("urgent") < result.worth_of("bulk") - WORTH_MARGIN:
        found.append("the higher priority earns less")
    found += [
        f"{name} is starved"
        for name in ("urgent", "bulk")
        if result.served_of(name) < STARVED_SHARE * served
    ]
    return found


@pytest.mark.parametrize("load", LOADS)
def test_under_overload_the_costliest_losses_are_avoided(load):
    without = _run(LOADS[load], OverloadPolicy.NONE)
    result = _run(LOADS[load], OverloadPolicy.COST)
    assert _violations(result) == []
    assert _violations(without) != []
    assert result.worth > without.worth


def test_an_organisation_far_above_its_usual_demand_is_shed_first():
    organisations = (
        OrganisationModel(name="large", share=0.2),
        OrganisationModel(name="others", share=0.8),
    )
    scenario = attrs.evolve(BASE, organisations=organisations)
    load = (_disruption("organisation", at_s=2.0, factor=14.0, only="large"),)
    result = _run(load, OverloadPolicy.COST, scenario)
    others = result.organisation_share("others", "in time")
    large = result.organisation_share("large", "in time")
    assert others > large
    without = _run(load, OverloadPolicy.NONE, scenario)
    assert others > without.organisation_share("others", "in time")


def test_without_overload_nothing_is_refused():
    result = _run((), OverloadPolicy.COST)
    assert result.share("refused") == 0.0


@pytest.mark.parametrize(("slots", "efficient"), [(1, 1), (2, 2), (6, 4)])
def test_a_server_is_full_where_more_requests_lower_its_throughput(
    slots, efficient
):
    assert efficient_slots(slots) == efficient


def _configuration(kind=RouteKind.SAFE, organisations=()):
    route = _route("r", kind)
    return RouteConfiguration(1, (route,), (), CallerLimits(), organisations)


def _route(name, kind=RouteKind.SAFE, priority=0):
    return Route(name, "h", "/", kind, 9000.0, 1000.0, priority, 2, ())


@pytest.mark.parametrize(
    ("policy", "configuration", "expected"),
    [
        ("none", _configuration(RouteKind.DOWNLOAD), False),
        ("cost", _configuration(), True),
        ("auto", _configuration(), False),
        ("auto", _configuration(RouteKind.DOWNLOAD), True),
        ("auto", _configuration(organisations=(Organisation("o"),)), True),
    ],
)
def test_the_setting_decides_where_the_policy_is_enabled(
    policy, configuration, expected
):
    assert is_enabled(OverloadPolicy(policy), configuration) is expected


def _call(route, now_ms=0.0, waited_ms=0.0):
    return RoutedCall(
        call_id=1,
        request_id="r",
        route=route,
        service="s",
        arrived_ms=now_ms,
        deadline_ms=now_ms + route.timeout_ms - waited_ms,
        target_at_ms=now_ms + route.target_ms - waited_ms,
        priority=route.priority,
    )


@pytest.fixture
def overload():
    """The policy at an entry that has seen as much bulk as urgent work."""
    overload = Overload(random.Random(1))
    for _ in range(500):
        for route in (_route("urgent"), _route("bulk", priority=2)):
            overload.judge(_call(route), 100.0, 0.0)
    return overload


def _press(overload, in_progress):
    report = SpeedReport(in_progress, 0, 6)
    for _ in range(200):
        overload.pressure("s").record_report(report, 0.0)


def _refused(overload, route, waited_ms=0.0):
    return sum(
        overload.judge(_call(route, 0.0, waited_ms), 100.0, 0.0) is not None
        for _ in range(200)
    )


def test_the_kind_of_lowest_priority_is_refused_and_not_starved(overload):
    _press(overload, in_progress=4)
    assert _refused(overload, _route("urgent")) == 0
    assert 0 < _refused(overload, _route("bulk", priority=2)) < 190


def test_retries_are_refused_before_first_attempts(overload):
    _press(overload, in_progress=4)
    route = _route("bulk", priority=2)
    first = _refused(overload, route)
    assert _refused(overload, route, waited_ms=300.0) > first


def test_refused_callers_can_honour_the_retry_after_time(overload):
    _press(overload, in_progress=5)
    for waited_ms in (0.0, 5000.0):
        call = _call(_route("urgent"), waited_ms=waited_ms)
        after_ms = overload.retry_after_ms(call, 100.0, 0.0)
        assert 0.0 < after_ms <= HONOURED_SHARE * call.deadline_ms


def test_a_known_demand_takes_its_place_in_the_order_of_refusal():
    demand = Demand()
    urgent, bulk = KindKey(0.0, 100.0, "u"), KindKey(2.0, 300.0, "b")
    demand.record(urgent, 0.0)
    demand.record(bulk, 0.0)
    assert demand.position(bulk) == (0.0, 0.75)
    assert demand.position(urgent) == (0.75, 1.0)


def test_the_excess_of_an_organisation_is_noticed_within_two_seconds():
    demand = OrganisationDemand()
    for number in range(60):
        demand.record("usual", 500.0 * number)
        demand.record("noisy", 500.0 * number)
    shares = [demand.record("noisy", 30_000.0 + 70.0 * n) for n in range(28)]
    assert shares[-1] > 0.5
    assert demand.record("usual", 32_000.0) == 0.0
