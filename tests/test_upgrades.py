"""Tests that what an earlier version wrote is read, and written alike.

During an upgrade, instances of both versions run side by side, and an instance
may go back. The files in `earlier_versions` were written by the version before
the log was bounded by bytes.
"""

from __future__ import annotations

import pathlib
import shutil

import msgpack
import pytest

from gentianwall import codec
from gentianwall.claims.commands import ClaimKey, DeregisterServer
from gentianwall.claims.register import apply_command
from gentianwall.links.messages import Message
from gentianwall.replication.effects import StoreEntries
from gentianwall.replication.messages import LogEntry
from gentianwall.replication.restore import restore_replica
from gentianwall.replication.state import Timing
from gentianwall.storage.journal import Journal

FOLDER = pathlib.Path(__file__).parent / "earlier_versions"
DATA = FOLDER / "before_byte_bounds"


@pytest.fixture
def folder(tmp_path):
    """A data folder that the earlier version wrote."""
    return shutil.copytree(DATA, tmp_path / "data")


def test_a_journal_of_the_earlier_version_is_read_and_continued(folder):
    journal = Journal(str(folder))
    stored = journal.recover()
    assert (stored.term, stored.voted_for) == (3, "b")
    last_index = stored.entries[-1].index
    added = LogEntry(last_index + 1, 3, DeregisterServer("i-1", 0, 9))
    journal.store([StoreEntries((added,))], stored)
    journal.close()
    journal = Journal(str(folder))
    replica = restore_replica(
        journal.recover(), "a", ("b", "c"), Timing(), 1, 0
    )
    journal.close()
    register = replica.register
    for entry in replica.log.entries:
        apply_command(register, entry.command)
    assert replica.log.last_index == last_index + 1
    states = {
        name: server.notice.state
        for name, server in register.registry.servers.items()
    }
    assert states == {
        "i-1": "left",
        "i-2": "left",
        "i-3": "silent",
        "i-4": "up",
    }
    assert register.numbered.configuration.number == 2
    assert list(register.quarantines) == ["f1"]
    assert list(register.claims) == [ClaimKey("orders", "caller", "k")]


def test_messages_of_the_earlier_version_are_read_and_written_alike():
    written = msgpack.unpackb((DATA / "messages.msgpack").read_bytes())
    for data in written:
        message = codec.unpack(data, Message)
        assert not isinstance(message, codec.Malformed), message
        rewritten = codec.pack(message, Message)
        assert codec.unpack(rewritten, Message) == message
        assert _is_extended(msgpack.unpackb(data), msgpack.unpackb(rewritten))


def _is_extended(earlier, later):
    """Returns whether rows are the same up to fields at their ends.

    The earlier version ignores such fields.
    """
    if isinstance(earlier, list) and isinstance(later, list):
        return len(earlier) <= len(later) and all(
            map(_is_extended, earlier, later)
        )
    return earlier == later
