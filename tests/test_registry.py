"""Announcements bind in order, however late and from wherever they come."""

from __future__ import annotations

import random

import attrs
import pytest

from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.membership.registry import (
    ServerRegistry,
    changes_registry,
    deregister_server,
    mark_silent,
    record_announcement,
)

UP = ServerNotice(ServerKey("s", "a"), "10.0.0.1", 80, 2, "z", 100, "up")
DRAINING = attrs.evolve(UP, state="draining")


@pytest.fixture
def registry():
    registry = ServerRegistry()
    record_announcement(registry, UP, 1, 500.0)
    return registry


def _state(registry, name="a"):
    return registry.servers[name].notice.state


def test_a_heartbeat_that_says_nothing_new_changes_nothing(registry):
    revision = registry.revision
    assert not changes_registry(registry, UP, 2)
    record_announcement(registry, UP, 2, 0.0)
    assert registry.revision == revision


def test_a_late_heartbeat_does_not_end_a_drain(registry):
    record_announcement(registry, DRAINING, 5, 0.0)
    record_announcement(registry, UP, 4, 0.0)
    record_announcement(registry, UP, 6, 0.0)
    assert _state(registry) == "draining"


@pytest.mark.parametrize("sequence", [1, 9])
def test_a_late_heartbeat_does_not_bring_a_server_back(registry, sequence):
    deregister_server(registry, "a", 100)
    record_announcement(registry, UP, sequence, 0.0)
    assert _state(registry) == "left"


def test_a_farewell_of_an_older_start_is_not_the_new_ones(registry):
    record_announcement(registry, attrs.evolve(UP, incarnation=200), 1, 0.0)
    deregister_server(registry, "a", 100)
    assert _state(registry) == "up"
    deregister_server(registry, "a", 0)
    assert _state(registry) == "left"


def test_the_same_name_starts_anew(registry):
    record_announcement(registry, DRAINING, 7, 0.0)
    anew = attrs.evolve(UP, incarnation=200, port=81)
    record_announcement(registry, anew, 1, 0.0)
    assert registry.servers["a"].notice == anew


def test_an_address_belongs_to_the_newest_server(registry):
    other = attrs.evolve(UP, key=ServerKey("t", "b"), incarnation=200)
    record_announcement(registry, other, 1, 0.0)
    assert _state(registry) == "left"
    late = attrs.evolve(UP, key=ServerKey("s", "c"), incarnation=150)
    assert not changes_registry(registry, late, 9)
    record_announcement(registry, late, 9, 0.0)
    assert "c" not in registry.servers


def test_a_silent_server_is_up_again_once_it_is_heard(registry):
    mark_silent(registry, "a", 100)
    assert _state(registry) == "silent"
    record_announcement(registry, UP, 3, 0.0)
    assert _state(registry) == "up"
    mark_silent(registry, "a", 99)
    assert _state(registry) == "up"


@pytest.mark.parametrize("seed", range(20))
def test_changes_since_any_revision_lead_to_the_same_state(seed):
    rng = random.Random(seed)
    registry = ServerRegistry()
    copies = {}
    held = {0: {}}
    for _ in range(60):
        name = rng.choice("abcdef")
        notice = attrs.evolve(
            UP,
            key=ServerKey("s", name),
            port=rng.randrange(80, 84),
            incarnation=rng.randrange(1, 4),
            state=rng.choice(["up", "draining"]),
        )
        if rng.random() < 0.2:
            deregister_server(registry, name, 0)
        else:
            record_announcement(registry, notice, rng.randrange(9), 0.0)
        held[registry.revision] = dict(registry.servers)
    for revision, known in held.items():
        copies = dict(known)
        for server in registry.changed_since(revision):
            copies[server.name] = server
        assert copies == registry.servers
