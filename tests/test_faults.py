"""Tests for unhandled exceptions in control instances, links and the reactor.

A control instance stops, so that it sends no messages from a half-changed
state. A link is still read, so that no later messages are lost. An error that
the reactor catches is logged.
"""

from __future__ import annotations

import os
import time

import pytest
from twisted.internet.task import Clock
from twisted.logger import LogLevel
from twisted.python.failure import Failure

from gentianwall.control.messages import FeedPoll
from gentianwall.core.effects import SendMessage
from gentianwall.core.events import MessageArrived
from gentianwall.links.sockets import LinkSetup, open_links
from gentianwall.logs import BoundedWriter, EventLog
from gentianwall.replication.effects import StoreTerm
from gentianwall.replication.messages import JoinRequest
from gentianwall.replication.state import Timing
from gentianwall.runtime import control as runtime_control
from gentianwall.runtime.control import ControlRuntime, ControlSetup
from gentianwall.timeline import Timeline
from gentianwall.timers import TimerService, monotonic_ms
from harness.cluster import free_port


class Reactor(Clock):
    """A reactor whose clock the test advances; `stop` is only recorded."""

    is_stopped = False

    def stop(self):
        """Records the stop."""
        self.is_stopped = True

    def addReader(self, reader):
        """Does nothing: the test calls `doRead` itself."""

    def removeReader(self, reader):
        """Does nothing: the test calls `doRead` itself."""


class Links:
    """Links that record sent messages."""

    def __init__(self):
        self.sent = []

    def send(self, receiver, message):
        """Records a message."""
        self.sent.append((receiver, message))


@pytest.fixture
def reactor():
    """A reactor with a clock that the test advances."""
    return Reactor()


@pytest.fixture
def control(tmp_path, reactor):
    """A control instance with an empty disk."""
    setup = ControlSetup(
        name="a",
        data_folder=str(tmp_path),
        peers=("b",),
        timing=Timing(),
        target_voters=3,
    )
    runtime = ControlRuntime(setup, reactor, TimerService(reactor))
    runtime.recover()
    runtime.start(Links())
    yield runtime
    runtime.journal.close()


def test_a_control_instance_stops_after_an_unhandled_exception(
    control, reactor, monkeypatch
):
    reduce = runtime_control.reduce_control
    handled = []

    def raise_on_message(state, event):
        handled.append(event)
        if isinstance(event, MessageArrived):
            raise OverflowError("int too big")
        return reduce(state, event)

    monkeypatch.setattr(runtime_control, "reduce_control", raise_on_message)
    poll = FeedPoll(-1, 0, 0, False)
    control.handle_self_message(
        MessageArrived(monotonic_ms(), 0, "e", "x", 0.0, poll)
    )
    assert control.fault == "OverflowError: int too big"
    reactor.advance(0)
    assert reactor.is_stopped
    handled.clear()
    control.tick()
    assert not handled
    assert not control.links.sent


# A leader kept an entry in memory that its disk could not hold.
def test_a_control_instance_stops_if_an_entry_cannot_be_stored(
    control, reactor, monkeypatch
):
    effects = [StoreTerm(2, "\ud83d"), SendMessage("b", JoinRequest("d"))]
    monkeypatch.setattr(runtime_control, "reduce_control", lambda *_: effects)
    size_bytes = control.journal.size_bytes
    control.tick()
    assert control.fault.startswith("UnicodeEncodeError")
    reactor.advance(runtime_control.STORE_RETRY_MS)
    assert reactor.is_stopped
    assert control.journal.size_bytes == size_bytes
    assert not control.links.sent


@pytest.fixture
def links(reactor):
    """Links of two processes; the receiver raises on its first message."""
    received = []

    def receive(envelopes):
        received.extend(envelope.message for envelope in envelopes)
        if len(received) == 1:
            raise ValueError("cannot be handled")

    names = [f"127.0.0.1:{free_port()}" for _ in "ab"]
    setups = [
        LinkSetup(
            name=name,
            address=name,
            can_connect_on_demand=True,
            heartbeat_ms=300,
            silence_ms=900,
        )
        for name in names
    ]
    with (
        open_links(setups[0], reactor, Timeline("a"), receive) as reader,
        open_links(setups[1], reactor, Timeline("b"), print) as writer,
    ):
        yield reader, writer, received


def test_a_link_reads_further_messages_after_an_unhandled_exception(links):
    reader, writer, received = links
    until_s = time.monotonic() + 10.0
    while len(received) < 2 and time.monotonic() < until_s:
        writer.send(reader.setup.name, FeedPoll(len(received), 0, 0, True))
        time.sleep(0.02)
        reader.doRead()
    assert len(received) >= 2


def test_an_error_caught_by_the_reactor_is_logged_as_a_structured_line():
    reader, writer = os.pipe()
    log = EventLog("e", BoundedWriter(writer))
    log._write_reactor_error(
        {
            "log_level": LogLevel.critical,
            "log_failure": Failure(ValueError("lost otherwise")),
        }
    )
    log._write_reactor_error({"log_level": LogLevel.info, "log_format": "x"})
    text = os.read(reader, 9999).decode()
    os.close(reader)
    os.close(writer)
    assert text.count("event=") == 1
    assert "lost otherwise" in text
