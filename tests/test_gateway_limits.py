"""An entry keeps to the connections that a server takes from all entries."""

from __future__ import annotations

import attrs
import pytest

from gentianwall.config.routes import RoutedService
from gentianwall.core.refusals import RefusalReason
from gentianwall.gateway import effects as fx
from harness.gateway_entry import CONFIGURATION, Entry, of, refusal_of, server


def _learn(entry, most_connections, entries):
    entry.learn(
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
    """An entry that knows nothing yet."""
    return Entry()


@pytest.mark.parametrize(
    ("most_connections", "entries", "each"),
    [(8, 4, 2), (8, 3, 2), (3, 8, 1), (8, 1, 6), (0, 4, 6)],
)
def test_connections_are_shared_out_over_the_entries(
    entry, most_connections, entries, each
):
    _learn(entry, most_connections, entries)
    sent = []
    while requests := of(effects := entry.arrive(), fx.SendRequest):
        sent += [request.notice.key.server for request in requests]
    assert refusal_of(effects).reason is RefusalReason.OVERLOADED
    # Without a limit a server is full with 2 slots and 4 in its queue.
    assert {name: sent.count(name) for name in "ab"} == {"a": each, "b": each}
