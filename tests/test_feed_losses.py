"""Tests that an entry learns of all servers whichever messages are lost."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gentianwall.claims.commands import (
    AnnounceServer,
    DeregisterServer,
    PutConfiguration,
)
from gentianwall.claims.register import apply_command
from gentianwall.config.routes import CallerLimits, RouteConfiguration
from gentianwall.control.messages import FeedNotice
from gentianwall.core.control import ControlState, reduce_control
from gentianwall.core.events import MessageArrived, Tick
from gentianwall.gateway import effects as fx
from gentianwall.gateway.events import FeedArrived
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.replication.replica import BatchEnded
from harness.gateway_entry import Entry, effects_of_type
from harness.leader import leading_replica

NOW_MS = 10_000.0
STEP_MS = 100.0


class _Feed:
    """A leader, an entry, and messages between them that may be lost."""

    def __init__(self):
        self.now_ms = NOW_MS
        self.control = ControlState(leading_replica(NOW_MS), ())
        configuration = RouteConfiguration(7, (), (), CallerLimits())
        self.apply(PutConfiguration(configuration, b"seven", 0))
        for number in range(3):
            self.announce(number)
        self.entry = Entry()
        self.in_flight = []

    @property
    def register(self):
        return self.control.replica.register

    def apply(self, command):
        """Applies a committed command at the leader."""
        apply_command(self.register, command)

    def announce(self, number):
        """Registers a server."""
        key = ServerKey("s", f"i-{number}")
        notice = ServerNotice(key, "10.0.0.1", number, 2, "z", 1, "up")
        self.apply(AnnounceServer(notice, 1, 0.0, 0))

    def advance(self):
        """Advances the clocks; the lease stays valid."""
        self.now_ms += STEP_MS
        self.control.replica.lease_start_ms = self.now_ms

    def poll(self):
        """Lets the entry poll; the leader's reply is then in flight."""
        effects = self.entry.reduce(Tick(self.now_ms))
        for effect in effects_of_type(effects, fx.SendToControl):
            event = MessageArrived(
                self.now_ms, 0, "e", "boot", 0.0, effect.message
            )
            self._collect(reduce_control(self.control, event))

    def push(self):
        """Lets the leader push changes."""
        self._collect(reduce_control(self.control, BatchEnded(self.now_ms)))

    def _collect(self, effects):
        messages = [getattr(effect, "message", None) for effect in effects]
        self.in_flight += [m for m in messages if isinstance(m, FeedNotice)]

    def deliver(self):
        """Delivers what is in flight."""
        for message in self.in_flight:
            self.entry.reduce(FeedArrived(self.now_ms, "c1", message))
        self.in_flight.clear()

    def known_servers(self):
        """Returns the names of the servers that the entry knows."""
        return set(self.entry.state.service_by_server)

    def present_servers(self):
        """Returns the names of the servers that are registered."""
        servers = self.register.registry.servers
        return {name for name, s in servers.items() if s.is_present}


def test_a_change_pushed_after_a_lost_notice_hides_no_servers():
    # The entry has just started: its first notice is lost, since its link is
    # not up yet, and the next message names only one server.
    feed = _Feed()
    feed.poll()
    feed.in_flight.clear()
    feed.apply(DeregisterServer("i-0", 1, 0))
    feed.push()
    feed.deliver()
    for _ in range(10):
        feed.advance()
        feed.poll()
        feed.deliver()
    assert feed.known_servers() == feed.present_servers() == {"i-1", "i-2"}


@given(
    st.lists(
        st.sampled_from(["poll", "push", "deliver", "lose", "announce", "left"])
    )
)
def test_an_entry_learns_of_all_servers_once_messages_arrive(steps):
    feed = _Feed()
    count = 3
    for step in steps:
        feed.advance()
        match step:
            case "poll":
                feed.poll()
            case "push":
                feed.push()
            case "deliver":
                feed.deliver()
            case "lose":
                feed.in_flight.clear()
            case "announce":
                feed.announce(count)
                count += 1
            case "left":
                feed.apply(DeregisterServer(f"i-{count - 1}", 1, 0))
    for _ in range(10):
        feed.advance()
        feed.poll()
        feed.deliver()
    assert feed.known_servers() == feed.present_servers()
