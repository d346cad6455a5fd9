"""Tests that servers which turn requests away are not preferred for it.

Load pattern: some servers refuse every request within a few ms. They report
free slots and answer fast, so they look better than those that work.
"""

from __future__ import annotations

import collections
import heapq

import pytest

from gentianwall.gateway import effects as fx
from gentianwall.gateway.events import RecheckDue, ServerAnswered
from gentianwall.routing.reports import SpeedReport
from harness.gateway_entry import Entry, server

SERVICE_MS = 160.0
REFUSAL_MS = 2.0
SLOTS = 2


class _Servers:
    """Servers of which some refuse everything; driven in virtual time."""

    def __init__(self, names, refusing):
        self.running = collections.Counter()
        self.arrivals = collections.Counter()
        self.refusing = refusing
        self.entry = Entry()
        self.refused_callers = 0
        self._events = []
        self._order = 0
        self.entry.deliver_update(
            *(server(name, i) for i, name in enumerate(names, 1))
        )
        self.entry.now_ms += 4000.0
        self.entry.deliver_update(configuration=None)

    def schedule(self, at_ms, action):
        """Schedules an action that returns the effects of an event."""
        self._order += 1
        heapq.heappush(self._events, (at_ms, self._order, action))

    def run(self):
        """Performs all actions in the order of their times."""
        while self._events:
            self.entry.now_ms, _, action = heapq.heappop(self._events)
            for effect in action():
                self._perform(effect)

    def _report(self, name):
        return SpeedReport(self.running[name], 0, SLOTS)

    def _perform(self, effect):
        now_ms = self.entry.now_ms
        match effect:
            case fx.QueryLoad():
                for notice in effect.notices:
                    self.schedule(now_ms + 1.0, self._query_of(notice))
            case fx.ScheduleRecheck():
                event = RecheckDue(effect.at_ms, effect.call_id)
                self.schedule(effect.at_ms, lambda: self.entry.reduce(event))
            case fx.SendRequest():
                self._execute(effect, effect.notice.key.server)
            case fx.RefuseRequest():
                self.refused_callers += 1

    def _query_of(self, notice):
        name = notice.key.server
        return lambda: self.entry.deliver_load_report(name, self._report(name))

    def _execute(self, effect, name):
        self.arrivals[name] += 1
        is_refusal = name in self.refusing
        self.running[name] += not is_refusal

        def answer():
            self.running[name] -= not is_refusal
            return self.entry.reduce(
                ServerAnswered(
                    at_ms=self.entry.now_ms,
                    call_id=effect.call_id,
                    attempt=effect.attempt,
                    status=503 if is_refusal else 200,
                    is_refusal=is_refusal,
                    is_authentic=True,
                    report=self._report(name),
                )
            )

        duration_ms = REFUSAL_MS if is_refusal else SERVICE_MS
        self.schedule(self.entry.now_ms + duration_ms, answer)


@pytest.mark.parametrize("count", [1, 2, 3])
def test_servers_that_refuse_get_no_more_than_their_share(count):
    names = [f"s{n}" for n in range(8)]
    servers = _Servers(names, set(names[:count]))
    requests = 1000
    for number in range(requests):
        at_ms = servers.entry.now_ms + 25.0 * number
        servers.schedule(at_ms, servers.entry.deliver_request)
    servers.run()
    share = requests / len(names)
    assert max(servers.arrivals[name] for name in names[:count]) <= share
    assert servers.refused_callers <= requests / 50, servers.arrivals
