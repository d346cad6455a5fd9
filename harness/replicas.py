"""Simulates replicas on a lossy network, with crashes and replaced disks.

The effects of a replica are performed in the same order as in the daemon:
storage first, then messages. A replica can crash before or after the storage.
Invariants are checked at every event.
"""

from __future__ import annotations

import copy
import random

import attrs

from gentianwall.claims.commands import Command, ReportCrash
from gentianwall.claims.register import RegisterState
from gentianwall.claims.snapshot_codec import encode_register
from gentianwall.replication.effects import (
    CommandApplied,
    LeadershipChanged,
    ReplicationEffect,
    SendToReplica,
    StoreEntries,
    StoreSnapshot,
    StoreTerm,
    TakeSnapshot,
)
from gentianwall.replication.messages import (
    Member,
    ReplicationMessage,
    Snapshot,
)
from gentianwall.replication.replica import (
    BatchEnded,
    Proposed,
    ReplicaEvent,
    ReplicaMessageArrived,
    ReplicaTick,
    SnapshotTaken,
    reduce_replica,
)
from gentianwall.replication.restore import (
    PersistentState,
    persistent_state_of,
    restore_replica,
)
from gentianwall.replication.state import ReplicaState, Role, Timing

TIMING = Timing(
    heartbeat_ms=50.0, election_timeout_ms=300.0, snapshot_entries=12
)
STEP_MS = 10.0
FOUNDING_MEMBERS = 3


class InvariantError(AssertionError):
    """A safety or liveness property of replication was violated."""


@attrs.define
class Packet:
    """A message in transit."""

    sender: str
    receiver: str
    message: ReplicationMessage


@attrs.define
class SimulatedNode:
    """The process and the disk of one replica.

    Attributes:
        crash_point: `before store` or `after store`: where the next event that
            stores something makes the process crash; empty for no crash.
        pending_snapshot: A snapshot whose encoding has not completed yet.
    """

    name: str
    disk: PersistentState | None
    state: ReplicaState | None = None
    is_suspended: bool = False
    crash_point: str = ""
    pending_snapshot: Snapshot | None = None


class ReplicaSimulation:
    """All replicas, their network and the history that invariants refer to.

    Args:
        size: Number of replicas.
        seed: Seed of all random choices.
        voters: Number of voters; the other replicas are learners. 0 makes all
            replicas voters. If set, the cluster has three founding members,
            otherwise one.
        timing: Timing of all replicas.
    """

    def __init__(
        self, size: int, seed: int, voters: int = 0, timing: Timing = TIMING
    ):
        self.voters = voters
        self.timing = timing
        self.rng = random.Random(seed)
        self.now_ms = 1000.0
        self.names = [f"r{n}" for n in range(size)]
        self.nodes = {n: SimulatedNode(n, None) for n in self.names}
        self.packets: list[Packet] = []
        self.isolated_replicas: set[str] = set()
        self.blocked_links: set[frozenset[str]] = set()
        self.loss_ratio = 0.0
        self.duplication_ratio = 0.0
        self.applied_commands: dict[int, Command] = {}
        self.leader_by_term: dict[int, str] = {}
        self.acknowledged_index = 1
        self.proposal_count = 0
        # Names of effect classes that are not stored; set by mutants.
        self.unsynced_effects: set[str] = set()
        founders = tuple(
            Member(name, f"d-{number}")
            for number, name in enumerate(
                self.names[: FOUNDING_MEMBERS if voters else 1]
            )
        )
        first = Snapshot(1, 1, founders, encode_register(RegisterState()))
        for number, name in enumerate(self.names):
            disk = PersistentState(disk_id=f"d-{number}")
            if number < len(founders):
                disk = PersistentState(
                    disk_id=disk.disk_id, term=1, snapshot=first
                )
            self.nodes[name].disk = disk
        self.disk_count = size
        for name in self.names:
            self.start(name)

    # Faults, commands and time.

    def start(self, name: str) -> None:
        """Starts a stopped replica from its disk."""
        node = self.nodes[name]
        if node.state is not None:
            return
        assert node.disk is not None
        node.is_suspended = False
        node.crash_point = ""
        node.pending_snapshot = None
        node.state = restore_replica(
            copy.deepcopy(node.disk),
            name=name,
            peers=tuple(n for n in self.names if n != name),
            timing=self.timing,
            seed=self.rng.getrandbits(32),
            now_ms=self.now_ms,
            target_voters=self.voters,
        )

    def crash(self, name: str) -> None:
        """Stops a replica; only its disk remains."""
        self.nodes[name].state = None
        self.packets = [p for p in self.packets if p.receiver != name]

    def crash_at_next_store(self, name: str, point: str) -> None:
        """Makes a replica crash at its next event that stores something."""
        self.nodes[name].crash_point = point

    def wipe(self, name: str) -> bool:
        """Crashes a replica and replaces its disk with an empty one.

        Does nothing and returns False while another disk is being replaced.
        """
        if not self._are_disks_repaired():
            return False
        self.crash(name)
        self.nodes[name].disk = PersistentState(disk_id=self.new_disk_id(name))
        self.disk_count += 1
        return True

    def new_disk_id(self, name: str) -> str:
        """Returns the identity of a new disk."""
        return f"d-{self.disk_count}"

    def _are_disks_repaired(self) -> bool:
        """Returns whether the leader reports every current disk as a member.

        With learners, returns whether the cluster has all its voters, each with
        its current disk.
        """
        members = self.reported_members()
        if self.voters:
            current = {
                Member(m.name, m.disk.disk_id) for m in self.nodes.values()
            }
            return len(members) == self.voters and current.issuperset(members)
        return all(
            Member(m.name, m.disk.disk_id) in members
            for m in self.nodes.values()
        )

    def reported_members(self) -> tuple[Member, ...]:
        """Returns the committed members at the leader with the highest term."""
        leading = [
            m.state
            for m in self.nodes.values()
            if m.state is not None and m.state.role is Role.LEADER
        ]
        if not leading:
            return ()
        return max(leading, key=lambda s: s.term).applied_members

    def suspend(self, name: str) -> None:
        """Suspends a process; messages to it wait until it resumes."""
        self.nodes[name].is_suspended = True

    def resume(self, name: str) -> None:
        """Resumes a suspended process."""
        self.nodes[name].is_suspended = False

    def propose(self, name: str, command: Command | None = None) -> None:
        """Proposes a command at a replica; only a leader appends it.

        Args:
            name: Name of the replica.
            command: The command; by default a new one without a long text.
        """
        self.proposal_count += 1
        if command is None:
            command = ReportCrash(
                "s", f"f{self.proposal_count}", "x", self.proposal_count
            )
        self._handle_event(name, Proposed(self.now_ms, command))
        self._handle_event(name, BatchEnded(self.now_ms))

    def advance(self, time_ms: float) -> None:
        """Advances time, with ticks and with messages in random order."""
        end_ms = self.now_ms + time_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for name in self.names:
                self._handle_event(name, ReplicaTick(self.now_ms))
                self._complete_snapshot(name)
            self._deliver()

    def _complete_snapshot(self, name: str) -> None:
        node = self.nodes[name]
        if node.pending_snapshot is None or self.rng.random() < 0.7:
            return
        snapshot = node.pending_snapshot
        node.pending_snapshot = None
        self._handle_event(name, SnapshotTaken(self.now_ms, snapshot))

    def _deliver(self) -> None:
        batch = self.packets
        self.packets = []
        self.rng.shuffle(batch)
        for packet in batch:
            if self.nodes[packet.receiver].is_suspended:
                self.packets.append(packet)
                continue
            if self._is_blocked(packet) or self.rng.random() < self.loss_ratio:
                continue
            if self.rng.random() < self.duplication_ratio:
                self.packets.append(packet)
            self._handle_event(
                packet.receiver,
                ReplicaMessageArrived(
                    self.now_ms, packet.sender, packet.message
                ),
            )

    def _is_blocked(self, packet: Packet) -> bool:
        link = frozenset((packet.sender, packet.receiver))
        is_partitioned = (packet.sender in self.isolated_replicas) != (
            packet.receiver in self.isolated_replicas
        )
        return is_partitioned or link in self.blocked_links

    # Effects and invariants.

    def _handle_event(self, name: str, event: ReplicaEvent) -> None:
        node = self.nodes[name]
        if node.state is None or node.is_suspended:
            return
        self._check_reads(node)
        effects = reduce_replica(node.state, event)
        is_storing = any(
            isinstance(e, StoreTerm | StoreEntries | StoreSnapshot)
            for e in effects
        )
        if is_storing and node.crash_point == "before store":
            self.crash(name)
            return
        self._store(node, effects)
        if is_storing and node.crash_point == "after store":
            self.crash(name)
            return
        for effect in effects:
            self._perform(node, effect)
        self._check_reads(node)

    def _store(
        self, node: SimulatedNode, effects: list[ReplicationEffect]
    ) -> None:
        disk = node.disk
        for effect in effects:
            if type(effect).__name__ in self.unsynced_effects:
                continue
            match effect:
                case StoreTerm():
                    disk.term = effect.term
                    disk.voted_for = effect.voted_for
                case StoreEntries():
                    first = effect.entries[0].index
                    kept = [e for e in disk.entries if e.index < first]
                    disk.entries = kept + list(effect.entries)
                case StoreSnapshot():
                    persistent_state = copy.copy(
                        persistent_state_of(node.state)
                    )
                    disk.snapshot = persistent_state.snapshot
                    disk.entries = list(persistent_state.entries)

    def _perform(self, node: SimulatedNode, effect: ReplicationEffect) -> None:
        match effect:
            case SendToReplica():
                self.packets.append(
                    Packet(node.name, effect.replica, effect.message)
                )
            case TakeSnapshot():
                snapshot = Snapshot(
                    effect.index,
                    effect.term,
                    effect.members,
                    encode_register(effect.register),
                )
                node.pending_snapshot = snapshot
            case CommandApplied():
                self._check_applied(node, effect)
            case LeadershipChanged(is_self=True):
                self._check_leader(node)

    def _check_applied(
        self, node: SimulatedNode, applied: CommandApplied
    ) -> None:
        known = self.applied_commands.setdefault(applied.index, applied.command)
        if known != applied.command:
            raise InvariantError(
                f"{node.name} applied {applied.command} at index "
                f"{applied.index}, where {known} had been applied"
            )
        if node.state.role is Role.LEADER:
            self.acknowledged_index = max(
                self.acknowledged_index, applied.index
            )

    def _check_leader(self, node: SimulatedNode) -> None:
        state = node.state
        known = self.leader_by_term.setdefault(state.term, node.name)
        if known != node.name:
            raise InvariantError(
                f"{known} and {node.name} lead in the same term"
            )
        if state.log.last_index < self.acknowledged_index:
            raise InvariantError(
                f"{node.name} leads without acknowledged entry "
                f"{self.acknowledged_index}"
            )
        for entry in state.log.entries:
            known = self.applied_commands.get(entry.index)
            if known is not None and known != entry.command:
                raise InvariantError(
                    f"{node.name} lost applied entry {entry.index}"
                )

    def _check_reads(self, node: SimulatedNode) -> None:
        state = node.state
        if not state.can_read(self.now_ms):
            return
        if state.applied_index < self.acknowledged_index:
            raise InvariantError(
                f"{node.name} answers reads at index {state.applied_index}, "
                f"behind acknowledged index {self.acknowledged_index}"
            )

    def check_progress(self) -> None:
        """Ends all faults and requires a new commit and repaired disks."""
        self.isolated_replicas.clear()
        self.blocked_links.clear()
        self.loss_ratio = 0.0
        self.duplication_ratio = 0.0
        for name in self.names:
            self.resume(name)
            self.start(name)
            self.nodes[name].crash_point = ""
        before = self.acknowledged_index
        for _ in range(40):
            self.advance(250)
            for name in self.names:
                self.propose(name)
            self.advance(250)
            if self.acknowledged_index > before and self._are_disks_repaired():
                return
        raise InvariantError(
            "no new commit or no repaired disks within 20 s after the faults"
        )


def random_step(simulation: ReplicaSimulation) -> None:
    """Injects at most one fault or recovery, then proposes commands."""
    rng = simulation.rng
    name = rng.choice(simulation.names)
    match rng.randrange(13):
        case 0:
            simulation.isolated_replicas = set(
                rng.sample(simulation.names, rng.randrange(3))
            )
        case 1:
            simulation.isolated_replicas = set()
            simulation.blocked_links = set()
        case 2:
            simulation.suspend(name)
        case 3:
            simulation.resume(name)
        case 4:
            simulation.crash(name)
        case 5:
            simulation.crash_at_next_store(
                name, rng.choice(["before store", "after store"])
            )
        case 6:
            simulation.wipe(name)
        case 7:
            for stopped in simulation.names:
                simulation.start(stopped)
        case 8:
            simulation.loss_ratio = rng.choice([0.0, 0.1, 0.4])
            simulation.duplication_ratio = rng.choice([0.0, 0.2])
        case 9:
            for other in simulation.names:
                simulation.propose(other)
        case 10:
            simulation.blocked_links.add(
                frozenset(rng.sample(simulation.names, 2))
            )
    simulation.advance(rng.choice([10, 30, 100, 350, 800]))
    for other in simulation.names:
        if rng.random() < 0.5:
            simulation.propose(other)


def run_schedule(simulation: ReplicaSimulation, steps: int) -> None:
    """Runs random steps, then requires progress without faults."""
    simulation.advance(2000)
    for _ in range(steps):
        random_step(simulation)
    simulation.check_progress()
