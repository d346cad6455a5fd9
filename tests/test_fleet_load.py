"""Replays loads through the load model: what callers get of entries' decisions.

The bounds follow from what the servers can answer, not from measured runs.
"""

from __future__ import annotations

import attrs
import pytest

from benchmarks.fleet_load.model import FleetModel
from benchmarks.fleet_load.scenario import (
    Disruption,
    DisruptionKind,
    Full,
    RequestModel,
    Scenario,
    ServiceModel,
    load_scenario,
)
from gentianwall.config.routes import RouteKind

SERVERS = 36
SLOTS = 2
WORK_MS = 250.0
CALM_SHARE = 0.22
SERVICE = ServiceModel(
    name="s", servers_per_domain=(18, 18), slots=SLOTS, queue=4
)
LOOKUP = RequestModel(
    name="lookup",
    service="s",
    kind=RouteKind.SAFE,
    per_s=CALM_SHARE * SERVERS * SLOTS * 1000.0 / WORK_MS,
    work_ms=WORK_MS,
    target_ms=3.0 * WORK_MS,
    deadline_ms=14.0 * WORK_MS,
)
CALM = Scenario(
    seconds=6.0,
    entries_per_domain=(12, 12),
    local_ms=0.1,
    remote_ms=1.4,
    services=(SERVICE,),
    requests=(LOOKUP,),
)


def _run(scenario, seed=1):
    return FleetModel(scenario, seed).run()


def _with(*disruptions, **changes):
    return attrs.evolve(CALM, disruptions=disruptions, **changes)


def _burst(at_s, for_s, factor, domain=-1):
    return Disruption(
        kind=DisruptionKind.BURST,
        at_s=at_s,
        for_s=for_s,
        factor=factor,
        domain=domain,
    )


def test_a_calm_load_is_served_with_few_collisions():
    result = _run(CALM)
    assert result.share("refused") + result.share("failed") < 0.001
    assert result.arrivals_when_full < 0.02 * result.arrivals
    assert result.worth > 0.95


def test_a_burst_is_served_in_time_as_far_as_the_servers_can():
    start_s, for_s = 1.0, 3.0
    result = _run(_with(_burst(start_s, for_s, factor=5.0)))
    # A server that runs one request at a time is never slowed by a second one.
    noise = 1.0 + SERVICE.noise_share * (1.0 / SERVICE.noise_factor - 1.0)
    capacity_per_s = SERVERS * noise * 1000.0 / WORK_MS
    # The load of the first second has to be noticed first.
    seconds = range(int(start_s) + 1, int(start_s + for_s))
    earned = sum(result.earned[second] for second in seconds)
    assert earned > 0.6 * capacity_per_s * len(seconds)


def test_a_burst_is_over_within_a_second_after_its_end():
    result = _run(_with(_burst(1.0, for_s=2.0, factor=4.0)))
    assert result.earned[4] > 0.9 * result.owed[4]


def test_a_burst_in_one_failure_domain_finds_room_in_the_other():
    result = _run(_with(_burst(1.0, for_s=3.0, factor=2.5, domain=0)))
    assert result.share("refused") + result.share("failed") < 0.02
    assert result.worst_windows > 0.75


def test_requests_of_crashed_servers_are_served_by_others_soon():
    result = _run(
        _with(
            Disruption(
                kind=DisruptionKind.CRASH, at_s=2.0, for_s=3.0, share=0.15
            )
        )
    )
    assert result.earned[4] > 0.85 * result.owed[4]


def test_requests_that_full_servers_drop_are_answered_by_others():
    dropping = attrs.evolve(SERVICE, full=Full.DROP, queue=1)
    crowd = attrs.evolve(LOOKUP, per_s=2.0 * LOOKUP.per_s)
    result = _run(
        _with(
            Disruption(
                kind=DisruptionKind.SLOW,
                at_s=1.0,
                for_s=2.0,
                share=0.3,
                factor=4.0,
            ),
            services=(dropping,),
            requests=(crowd,),
        )
    )
    assert result.share("failed") < 0.01


@pytest.mark.parametrize("name", ["many_entries", "burst"])
def test_the_scenarios_of_the_model_are_valid(name):
    scenario = load_scenario(f"benchmarks/fleet_load/scenarios/{name}.toml")
    assert sum(scenario.entries_per_domain) > 100


@pytest.mark.parametrize(
    "name",
    [
        "organisation",
        "organisation_burst",
        "varying",
        "varying_burst",
        "restart",
    ],
)
def test_the_scenarios_of_overload_have_kinds_of_unlike_priority(name):
    scenario = load_scenario(f"benchmarks/fleet_load/scenarios/{name}.toml")
    assert {0, 1, 2} == {request.priority for request in scenario.requests}


def test_an_unknown_option_of_a_scenario_is_named(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text("seconds = 1\nsurprise = 2\n")
    with pytest.raises(ValueError, match="surprise"):
        load_scenario(str(path))
