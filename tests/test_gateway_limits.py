"""Tests that a server's connection limit is divided among the entries."""

from __future__ import annotations

import attrs
import pytest

from gentianwall.config.routes import RoutedService
from gentianwall.core.refusals import RefusalReason
from gentianwall.gateway import effects as fx
from harness.gateway_entry import (
    CONFIGURATION,
    Entry,
    effects_of_type,
    server,
    single_refusal,
)


def _configure(entry, most_connections, entries):
    entry.deliver_update(
        server("a", 1),
        server("b", 2),
        configuration=attrs.evolve(
            CONFIGURATION,
            services=(RoutedService("s", "", most_connections),),
        ),
        entries=entries,
    )


@pytest.fixture
def entry():
    """An entry without servers and without a configuration."""
    return Entry()


@pytest.mark.parametrize(
    ("most_connections", "entries", "per_entry"),
    [(8, 4, 2), (8, 3, 2), (3, 8, 1), (8, 1, 6), (0, 4, 6)],
)
def test_the_connection_limit_is_divided_among_the_entries(
    entry, most_connections, entries, per_entry
):
    _configure(entry, most_connections, entries)
    sent = []
    while requests := effects_of_type(
        effects := entry.deliver_request(), fx.SendRequest
    ):
        sent += [request.notice.key.server for request in requests]
    assert single_refusal(effects).reason is RefusalReason.OVERLOADED
    # Without a lower limit, a server is full with 2 busy slots and 4 queued.
    assert {name: sent.count(name) for name in "ab"} == {
        "a": per_entry,
        "b": per_entry,
    }
