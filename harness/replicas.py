"""Several pure replicas with a lossy network, clocks and disks that fail.

Every replica's effects are carried out as the daemon does it: storing first,
then sending. A crash may fall before either. Invariants are checked after
every event.
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
    ReplicaMessage,
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
FOUNDERS = 3


class InvariantError(AssertionError):
    """A promise of the log was broken."""


@attrs.define
class Packet:
    """A message under way."""

    sender: str
    receiver: str
    message: ReplicationMessage


@attrs.define
class Machine:
    """A replica's process and disk."""

    name: str
    disk: PersistentState | None
    state: ReplicaState | None = None
    is_frozen: bool = False
    crash_point: str = ""
    packing: Snapshot | None = None


class ReplicaWorld:
    """All replicas, their network and what has been promised.

    Args:
        size: How many replicas there are.
        seed: Seeds everything that is drawn.
        voters: How many of them vote, the rest being spare; 0 for all. With
            it, three of them found the cluster together.
    """

    def __init__(self, size: int, seed: int, voters: int = 0):
        self.voters = voters
        self.rng = random.Random(seed)
        self.now_ms = 1000.0
        self.names = [f"r{n}" for n in range(size)]
        self.machines = {n: Machine(n, None) for n in self.names}
        self.packets: list[Packet] = []
        self.cut: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.loss = 0.0
        self.doubling = 0.0
        self.applied: dict[int, Command] = {}
        self.leaders: dict[int, str] = {}
        self.acknowledged = 1
        self.proposed = 0
        self.unsynced: set[str] = set()
        founders = tuple(
            Member(name, f"d-{number}")
            for number, name in enumerate(
                self.names[: FOUNDERS if voters else 1]
            )
        )
        first = Snapshot(1, 1, founders, encode_register(RegisterState()))
        for number, name in enumerate(self.names):
            disk = PersistentState(disk_id=f"d-{number}")
            if number < len(founders):
                disk = PersistentState(
                    disk_id=disk.disk_id, term=1, snapshot=first
                )
            self.machines[name].disk = disk
        self.disks = size
        for name in self.names:
            self.start(name)

    # What befalls the replicas.

    def start(self, name: str) -> None:
        """Starts a stopped replica from its disk."""
        machine = self.machines[name]
        if machine.state is not None:
            return
        assert machine.disk is not None
        machine.is_frozen = False
        machine.crash_point = ""
        machine.packing = None
        machine.state = restore_replica(
            copy.deepcopy(machine.disk),
            name=name,
            peers=tuple(n for n in self.names if n != name),
            timing=TIMING,
            seed=self.rng.getrandbits(32),
            now_ms=self.now_ms,
            target_voters=self.voters,
        )

    def crash(self, name: str) -> None:
        """Stops a replica; only its disk remains."""
        self.machines[name].state = None
        self.packets = [p for p in self.packets if p.receiver != name]

    def crash_at(self, name: str, point: str) -> None:
        """Lets a replica crash at its next event that stores something."""
        self.machines[name].crash_point = point

    def wipe(self, name: str) -> bool:
        """Empties the disk, if no other disk is still being replaced."""
        if not self._all_disks_good():
            return False
        self.crash(name)
        self.machines[name].disk = PersistentState(
            disk_id=self.new_disk_id(name)
        )
        self.disks += 1
        return True

    def new_disk_id(self, name: str) -> str:
        """Draws the identity of an empty disk."""
        return f"d-{self.disks}"

    def _all_disks_good(self) -> bool:
        """Whether a leader reports every replica's present disk repaired.

        With spare replicas: whether all voters are there with theirs.
        """
        members = self.reported_members()
        if self.voters:
            present = {
                Member(m.name, m.disk.disk_id) for m in self.machines.values()
            }
            return len(members) == self.voters and present.issuperset(members)
        return all(
            Member(m.name, m.disk.disk_id) in members
            for m in self.machines.values()
        )

    def reported_members(self) -> tuple[Member, ...]:
        """Returns the committed members as the newest leader knows them."""
        leading = [
            m.state
            for m in self.machines.values()
            if m.state is not None and m.state.role is Role.LEADER
        ]
        if not leading:
            return ()
        return max(leading, key=lambda s: s.term).applied_members

    def freeze(self, name: str) -> None:
        """Stops a process without ending it."""
        self.machines[name].is_frozen = True

    def thaw(self, name: str) -> None:
        """Lets a frozen process go on."""
        self.machines[name].is_frozen = False

    def propose(self, name: str) -> None:
        """Proposes a new command at a replica, if it thinks it leads."""
        self.proposed += 1
        command = ReportCrash("s", f"f{self.proposed}", "x", self.proposed)
        self._event(name, Proposed(self.now_ms, command))
        self._event(name, BatchEnded(self.now_ms))

    def settle(self, time_ms: float) -> None:
        """Lets time pass: ticks, and messages in any order."""
        end_ms = self.now_ms + time_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for name in self.names:
                self._event(name, ReplicaTick(self.now_ms))
                self._end_packing(name)
            self._deliver()

    def _end_packing(self, name: str) -> None:
        machine = self.machines[name]
        if machine.packing is None or self.rng.random() < 0.7:
            return
        snapshot = machine.packing
        machine.packing = None
        self._event(name, SnapshotTaken(self.now_ms, snapshot))

    def _deliver(self) -> None:
        batch = self.packets
        self.packets = []
        self.rng.shuffle(batch)
        for packet in batch:
            if self.machines[packet.receiver].is_frozen:
                self.packets.append(packet)
                continue
            if self._is_cut(packet) or self.rng.random() < self.loss:
                continue
            if self.rng.random() < self.doubling:
                self.packets.append(packet)
            self._event(
                packet.receiver,
                ReplicaMessage(self.now_ms, packet.sender, packet.message),
            )

    def _is_cut(self, packet: Packet) -> bool:
        link = frozenset((packet.sender, packet.receiver))
        is_parted = (packet.sender in self.cut) != (packet.receiver in self.cut)
        return is_parted or link in self.cut_links

    # Carrying out effects, and what must hold.

    def _event(self, name: str, event: ReplicaEvent) -> None:
        machine = self.machines[name]
        if machine.state is None or machine.is_frozen:
            return
        self._check_reads(machine)
        effects = reduce_replica(machine.state, event)
        is_storing = any(
            isinstance(e, StoreTerm | StoreEntries | StoreSnapshot)
            for e in effects
        )
        if is_storing and machine.crash_point == "before store":
            self.crash(name)
            return
        self._store(machine, effects)
        if is_storing and machine.crash_point == "after store":
            self.crash(name)
            return
        for effect in effects:
            self._carry(machine, effect)
        self._check_reads(machine)

    def _store(
        self, machine: Machine, effects: list[ReplicationEffect]
    ) -> None:
        disk = machine.disk
        for effect in effects:
            if type(effect).__name__ in self.unsynced:
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
                    whole = copy.copy(persistent_state_of(machine.state))
                    disk.snapshot = whole.snapshot
                    disk.entries = list(whole.entries)

    def _carry(self, machine: Machine, effect: ReplicationEffect) -> None:
        match effect:
            case SendToReplica():
                self.packets.append(
                    Packet(machine.name, effect.replica, effect.message)
                )
            case TakeSnapshot():
                snapshot = Snapshot(
                    effect.index,
                    effect.term,
                    effect.members,
                    encode_register(effect.register),
                )
                machine.packing = snapshot
            case CommandApplied():
                self._check_applied(machine, effect)
            case LeadershipChanged(is_self=True):
                self._check_leader(machine)

    def _check_applied(self, machine: Machine, done: CommandApplied) -> None:
        known = self.applied.setdefault(done.index, done.command)
        if known != done.command:
            raise InvariantError(
                f"{machine.name} applied {done.command} at {done.index}, "
                f"where {known} was applied"
            )
        if machine.state.role is Role.LEADER:
            self.acknowledged = max(self.acknowledged, done.index)

    def _check_leader(self, machine: Machine) -> None:
        state = machine.state
        known = self.leaders.setdefault(state.term, machine.name)
        if known != machine.name:
            raise InvariantError(f"{known} and {machine.name} lead one term")
        if state.log.last_index < self.acknowledged:
            raise InvariantError(
                f"{machine.name} leads without entry {self.acknowledged}"
            )
        for entry in state.log.entries:
            known = self.applied.get(entry.index)
            if known is not None and known != entry.command:
                raise InvariantError(f"{machine.name} lost {entry.index}")

    def _check_reads(self, machine: Machine) -> None:
        state = machine.state
        if not state.can_read(self.now_ms):
            return
        if state.applied_index < self.acknowledged:
            raise InvariantError(
                f"{machine.name} answers reads at {state.applied_index}, "
                f"behind {self.acknowledged}"
            )

    def check_progress(self) -> None:
        """Heals everything and demands a leader and a new commit."""
        self.cut.clear()
        self.cut_links.clear()
        self.loss = 0.0
        self.doubling = 0.0
        for name in self.names:
            self.thaw(name)
            self.start(name)
            self.machines[name].crash_point = ""
        before = self.acknowledged
        for _ in range(40):
            self.settle(250)
            for name in self.names:
                self.propose(name)
            self.settle(250)
            if self.acknowledged > before and self._all_disks_good():
                return
        raise InvariantError("no commit, or no repair, after all was healed")


def random_step(world: ReplicaWorld) -> None:
    """Does one random thing to a world."""
    rng = world.rng
    name = rng.choice(world.names)
    match rng.randrange(13):
        case 0:
            world.cut = set(rng.sample(world.names, rng.randrange(3)))
        case 1:
            world.cut = set()
            world.cut_links = set()
        case 2:
            world.freeze(name)
        case 3:
            world.thaw(name)
        case 4:
            world.crash(name)
        case 5:
            world.crash_at(name, rng.choice(["before store", "after store"]))
        case 6:
            world.wipe(name)
        case 7:
            for stopped in world.names:
                world.start(stopped)
        case 8:
            world.loss = rng.choice([0.0, 0.1, 0.4])
            world.doubling = rng.choice([0.0, 0.2])
        case 9:
            for other in world.names:
                world.propose(other)
        case 10:
            world.cut_links.add(frozenset(rng.sample(world.names, 2)))
    world.settle(rng.choice([10, 30, 100, 350, 800]))
    for other in world.names:
        if rng.random() < 0.5:
            world.propose(other)


def run_schedule(world: ReplicaWorld, steps: int) -> None:
    """Runs a random schedule and then demands progress."""
    world.settle(2000)
    for _ in range(steps):
        random_step(world)
    world.check_progress()
