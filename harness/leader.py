"""Builds a leader, or a client of another one, without sockets or clocks."""

from __future__ import annotations

import random
import types

import attrs

from gentianwall.claims.commands import Noop
from gentianwall.replication.messages import LogEntry, Member
from gentianwall.replication.state import (
    Progress,
    ReplicaState,
    Role,
    Timing,
)


def leading_replica(now_ms: float) -> ReplicaState:
    """Returns the leader of three voters; both others replied at `now_ms`."""
    replica = ReplicaState(
        "a", "d-a", ("b", "c"), Timing(), random.Random(1), target_voters=3
    )
    replica.members = replica.applied_members = tuple(
        Member(name, f"d-{name}") for name in "abc"
    )
    replica.role = Role.LEADER
    replica.leader = "a"
    replica.term = 1
    replica.lease_start_ms = now_ms
    replica.leader_since_ms = 0.0
    replica.log.entries.append(LogEntry(1, 1, Noop()))
    replica.commit_index = replica.applied_index = 1
    replica.progress = {
        name: Progress(f"d-{name}", 2, match_index=1, acked_ms=now_ms)
        for name in "bc"
    }
    return replica


@attrs.define
class StubLinks:
    """Collects the messages that are sent to other control instances."""

    boot_id: str = "boot"
    sent: list = attrs.field(factory=list)

    def send(self, receiver: str, message: object) -> None:
        """Records a message."""
        self.sent.append((receiver, message))


def following_runtime(now_ms: float) -> types.SimpleNamespace:
    """Returns what a client needs of an instance that follows the leader b."""
    replica = leading_replica(now_ms)
    replica.leader = "b"
    links = StubLinks()
    return types.SimpleNamespace(
        setup=types.SimpleNamespace(name="a"),
        state=types.SimpleNamespace(replica=replica),
        links=links,
        handle_self_message=lambda event: links.send("a", event.message),
        receive_reply=None,
        unstored_effects=[],
    )
