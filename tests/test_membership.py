"""Tests for server membership at entries.

The randomized schedules restart, deregister and stop a server while the network
loses, duplicates and delays the notices between the entries.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianwall.control.client import ControlClient
from gentianwall.core.effects import (
    AcceptAnnouncement,
    RefuseAnnouncement,
    SendMessage,
)
from gentianwall.core.entry import reduce_entry
from gentianwall.core.events import MessageArrived, ServerAnnounced, Tick
from gentianwall.core.membership import DEFAULT_LEASE_MS
from gentianwall.core.state import EntryState
from gentianwall.membership import delay, directory
from gentianwall.membership.messages import ServerKey, ServerNotice

KEY = ServerKey("s", "a")
TICK_MS = 50.0
NETWORK_DELAY_MS = 1.0


def _make_notice(incarnation, state="up", port=1):
    return ServerNotice(KEY, "127.0.0.1", port, 2, "", incarnation, state)


class EntryGroup:
    """Simulates entries that exchange notices over an unreliable network."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_ms = 1000.0
        self.delayed_ratio = 0.0
        self.loss_ratio = 0.0
        self.names = ["e0", "e1", "e2"]
        self.entries = {name: self._make_entry(name) for name in self.names}
        self.packets = []
        self.last_heartbeats_ms = {}
        self.run_for(2000)

    def _make_entry(self, name):
        return EntryState(
            name=name,
            failure_domain="",
            peers=tuple(n for n in self.names if n != name),
            boot_id="b",
            rng=random.Random(1),
            control=ControlClient(("c",)),
            started_ms=self.now_ms,
        )

    def announce(self, name, notice):
        if notice.state == "up":
            self.last_heartbeats_ms[notice.incarnation] = self.now_ms
        return self._handle_event(name, ServerAnnounced(self.now_ms, notice))

    def _handle_event(self, name, event):
        effects = reduce_entry(self.entries[name], event)
        for effect in effects:
            if isinstance(effect, SendMessage) and effect.receiver != "c":
                self._send(name, effect)
        return effects

    def _send(self, sender, effect):
        if self.rng.random() < self.loss_ratio:
            return
        for _ in range(self.rng.choice([1, 1, 2])):
            is_delayed = self.rng.random() < self.delayed_ratio
            extra_delay_ms = (
                self.rng.choice([100, 3000, 20_000]) if is_delayed else 0
            )
            arrive_ms = self.now_ms + NETWORK_DELAY_MS + extra_delay_ms
            packet = (arrive_ms, self.rng.random(), sender, self.now_ms)
            self.packets.append((*packet, effect))

    def run_for(self, time_ms):
        end_ms = self.now_ms + time_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            due = sorted(p for p in self.packets if p[0] <= self.now_ms)
            self.packets = [p for p in self.packets if p[0] > self.now_ms]
            for arrive_ms, _, sender, sent_ms, effect in due:
                event = MessageArrived(
                    arrive_ms, 0, sender, "b", sent_ms, effect.message
                )
                self._handle_event(effect.receiver, event)
            for name in self.names:
                self._handle_event(name, Tick(self.now_ms))
            self.check_lease_ends()

    def check_lease_ends(self):
        for name, state in self.entries.items():
            record = state.directory.records.get(KEY)
            if record is None or record.notice.state != "up":
                continue
            last_heartbeat_ms = self.last_heartbeats_ms[
                record.notice.incarnation
            ]
            latest_end_ms = last_heartbeat_ms + DEFAULT_LEASE_MS + 2 * TICK_MS
            assert record.lease_end_ms <= latest_end_ms, (
                f"{name}: the lease ends too long after the last heartbeat"
            )

    def live_incarnations(self):
        return {
            name: record.notice.incarnation
            for name, state in self.entries.items()
            if (record := state.directory.records.get(KEY))
            and record.notice.state == "up"
        }


def _run_schedule(seed):
    group = EntryGroup(seed)
    rng = group.rng
    incarnation = 1
    for _ in range(25):
        name = rng.choice(group.names)
        match rng.randrange(6):
            case 0:
                incarnation += 1
            case 1:
                group.announce(name, _make_notice(incarnation, "left"))
            case 2:
                group.delayed_ratio = rng.choice([0.0, 0.5])
                group.loss_ratio = rng.choice([0.0, 0.3])
            case _:
                group.announce(name, _make_notice(incarnation))
        group.run_for(rng.choice([50, 500, 1500]))
    group.run_for(25_000)
    assert not group.live_incarnations(), (
        "the lease of a server without heartbeats did not expire"
    )
    group.delayed_ratio = group.loss_ratio = 0.0
    for _ in range(8):
        group.announce(rng.choice(group.names), _make_notice(incarnation + 1))
        group.run_for(800)
    assert set(group.live_incarnations()) == set(group.names), (
        "an entry does not know a live server"
    )


@given(seed=st.integers(0, 2**32))
@settings(max_examples=40)
def test_stopped_servers_expire_and_every_entry_knows_live_servers(seed):
    _run_schedule(seed)


def _delay_ignored(monkeypatch):
    monkeypatch.setattr(delay.DelayEstimator, "delay_ms", lambda *args: 0.0)


def _old_incarnation_accepted(monkeypatch):
    monkeypatch.setattr(directory, "_rank", lambda notice: (0, 0))


@pytest.mark.parametrize("mutate", [_delay_ignored, _old_incarnation_accepted])
def test_each_mutant_of_the_directory_is_caught(mutate, monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(40):
            _run_schedule(seed)


def test_a_deregistered_server_needs_a_new_incarnation_to_return():
    group = EntryGroup(1)
    group.announce("e0", _make_notice(5))
    group.announce("e0", _make_notice(5, "left"))
    (effect,) = group.announce("e0", _make_notice(5))
    assert isinstance(effect, RefuseAnnouncement)
    effects = group.announce("e0", _make_notice(6))
    assert any(isinstance(e, AcceptAnnouncement) for e in effects)


def test_a_new_address_needs_a_new_incarnation():
    group = EntryGroup(1)
    group.announce("e0", _make_notice(5, port=1))
    (effect,) = group.announce("e0", _make_notice(5, port=2))
    assert isinstance(effect, RefuseAnnouncement)
    group.announce("e0", _make_notice(6, port=2))
    group.run_for(100)
    records = [s.directory.records[KEY] for s in group.entries.values()]
    assert {r.notice.port for r in records} == {2}


def test_deregistering_without_an_incarnation_removes_the_known_server():
    group = EntryGroup(1)
    group.announce("e0", _make_notice(5))
    effects = group.announce("e0", _make_notice(-1, "left"))
    assert any(isinstance(e, AcceptAnnouncement) for e in effects)
    group.run_for(100)
    assert not group.live_incarnations()


def test_draining_is_not_undone_by_a_late_heartbeat():
    group = EntryGroup(1)
    group.announce("e0", _make_notice(5))
    group.announce("e1", _make_notice(5, "draining"))
    group.run_for(100)
    (effect,) = group.announce("e0", _make_notice(5))
    assert isinstance(effect, RefuseAnnouncement)
