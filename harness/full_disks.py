"""Simulates control instances with real journals on disks that become full.

The instances run in one process, with a simulated network and clock. Nothing is
synced for real.
"""

from __future__ import annotations

import errno
import os
import pathlib
import random
import shutil
import types

import attrs
import pytest
from twisted.internet.task import Clock

from gentianwall import timers
from gentianwall.claims.commands import ConfigurationHeld, PutConfiguration
from gentianwall.config.routes import CallerLimits, RouteConfiguration
from gentianwall.control.messages import CommandReply, CommandRequest
from gentianwall.core.events import MessageArrived
from gentianwall.links.messages import Envelope, Message
from gentianwall.replication.state import Role, Timing
from gentianwall.runtime import common, leader_client
from gentianwall.runtime import control as runtime_control
from gentianwall.runtime.control import ControlRuntime, ControlSetup
from gentianwall.runtime.leader_client import LeaderClient
from gentianwall.storage import journal
from gentianwall.storage.journal import Journal

STEP_S = 0.01
NETWORK_DELAY_S = 0.002
# A snapshot of many routes takes about as long to encode.
THREAD_DELAY_S = 0.1
TIMING = Timing(
    heartbeat_ms=80.0, election_timeout_ms=400.0, snapshot_entries=6
)
CAPACITY_BYTES = 128 * 1024
DOCUMENT_BYTES = 2000
CLIENT = "client"


@attrs.define
class SimulatedDisk:
    """A disk that is full for a while from one of its operations on.

    Attributes:
        clock: The simulated clock.
        folder: The data folder on it.
        capacity_bytes: Its size; it refuses writes beyond it at any time.
        refused: The operations that a full disk refuses. Refused writes are
            torn: half of the bytes are written.
        full_from: Number of the operation at which it becomes full.
        full_s: For how long it is then full.
        full_until_s: Until when it is full.
        operations: Number of operations so far, also refused ones.
        refusals: Number of refused operations.
    """

    clock: Clock
    folder: pathlib.Path
    capacity_bytes: int = CAPACITY_BYTES
    refused: frozenset[str] = frozenset()
    full_from: int = -1
    full_s: float = 0.0
    full_until_s: float = float("-inf")
    operations: int = 0
    refusals: int = 0

    def fill(self, refused: str, full_s: float, after: int = 0) -> None:
        """Makes the disk full for a while after some more operations."""
        self.refused = frozenset(refused.split())
        self.full_from = self.operations + after
        self.full_s = full_s

    def is_refusing(self, operation: str) -> bool:
        """Counts an operation and returns whether the disk refuses it."""
        if self.operations == self.full_from:
            self.full_until_s = self.clock.seconds() + self.full_s
        self.operations += 1
        is_full = self.clock.seconds() < self.full_until_s
        if is_full and operation in self.refused:
            self.refusals += 1
            return True
        return False

    def has_room(self, size_bytes: int) -> bool:
        """Returns whether some more bytes fit on the disk."""
        return self.used_bytes() + size_bytes <= self.capacity_bytes

    def used_bytes(self) -> int:
        """Returns the size of all files on the disk."""
        return sum(path.stat().st_size for path in self.folder.iterdir())

    def check(self, operation: str) -> None:
        """Counts an operation.

        Raises:
            OSError: The disk refuses it.
        """
        if self.is_refusing(operation):
            raise OSError(errno.ENOSPC, "No space left on device")


class DiskFunctions:
    """Replaces the functions of `os` that the journal calls."""

    def __init__(self, disks: dict[pathlib.Path, SimulatedDisk]):
        self._disks = disks
        self._disk_by_fd: dict[int, SimulatedDisk] = {}

    def __getattr__(self, name: str):
        return getattr(os, name)

    def open(self, path, flags: int, mode: int = 0o777) -> int:
        """Opens a file; a full disk refuses to create one."""
        folder = pathlib.Path(path)
        disk = self._disks.get(folder) or self._disks[folder.parent]
        if flags & os.O_CREAT:
            disk.check("create")
        fd = os.open(path, flags, mode)
        self._disk_by_fd[fd] = disk
        return fd

    def pwrite(self, fd: int, data, offset: int) -> int:
        """Writes data, or half of it to a full disk."""
        disk = self._disk_by_fd[fd]
        added_bytes = max(0, offset + len(data) - os.fstat(fd).st_size)
        if disk.is_refusing("write") or not disk.has_room(added_bytes):
            os.pwrite(fd, bytes(data)[: len(data) // 2], offset)
            raise OSError(errno.ENOSPC, "No space left on device")
        return os.pwrite(fd, data, offset)

    def fsync(self, fd: int) -> None:
        """Syncs nothing."""
        self._disk_by_fd[fd].check("sync")

    def statvfs(self, folder) -> types.SimpleNamespace:
        """Returns the free space of the disk of a folder."""
        disk = self._disks[pathlib.Path(folder)]
        free_bytes = max(0, disk.capacity_bytes - disk.used_bytes())
        return types.SimpleNamespace(f_bavail=free_bytes, f_frsize=1)

    def rename(self, source, target) -> None:
        """Renames a file."""
        self._disks[pathlib.Path(target).parent].check("rename")
        os.rename(source, target)


class Reactor(Clock):
    """A reactor with a simulated clock, whose threads take turns with it."""

    def callInThread(self, function, *args) -> None:
        """Calls a function a little later."""
        self.callLater(THREAD_DELAY_S, function, *args)

    def callFromThread(self, function, *args) -> None:
        """Calls a function in the next step."""
        self.callLater(0.0, function, *args)

    def stop(self) -> None:
        """Fails, since no process may end."""
        raise AssertionError("a process ended by itself")


@attrs.define
class SimulatedLinks:
    """The links of one instance."""

    cluster: FullDiskCluster
    name: str
    boot_id: str = "boot"

    def send(self, receiver: str, message: Message) -> None:
        """Delivers a message after the delay of the network."""
        self.cluster.reactor.callLater(
            NETWORK_DELAY_S, self.cluster.deliver, self.name, receiver, message
        )


class FullDiskCluster:
    """Control instances whose disks can be made full.

    Args:
        folder: Contains the data folders.
        monkeypatch: Replaces clocks and disk functions.
        size: Number of instances.
        voters: How many of them found the cluster and vote.
        seed: Seed of the elections.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        monkeypatch: pytest.MonkeyPatch,
        size: int,
        voters: int,
        seed: int = 1,
    ):
        random_source = random.Random(seed)
        self.reactor = Reactor()
        self.reactor.advance(1000.0)
        self.names = [f"r{number}" for number in range(size)]
        self.folders = {name: folder / name for name in self.names}
        self.disks = {
            name: SimulatedDisk(self.reactor, path)
            for name, path in self.folders.items()
        }
        functions = DiskFunctions(
            {self.folders[name]: disk for name, disk in self.disks.items()}
        )
        monkeypatch.setattr(journal, "os", functions)
        seeded = types.SimpleNamespace(SystemRandom=lambda: random_source)
        monkeypatch.setattr(runtime_control, "random", seeded)
        for module in (timers, runtime_control, common, leader_client):
            monkeypatch.setattr(module, "monotonic_ms", self.now_ms)
        self.voters = voters
        self.acknowledged = 0
        self.sent = 0
        self.isolated: set[str] = set()
        self.runtimes: dict[str, ControlRuntime] = {}
        self.clients: dict[str, LeaderClient] = {}
        founders = tuple(self.names[:voters])
        for name in self.names:
            if name in founders:
                Journal(str(self.folders[name])).bootstrap(name, founders)
            self.start(name)

    def start(self, name: str) -> None:
        """Starts an instance on what its folder has.

        Raises:
            OSError: The folder is empty and the disk is full.
        """
        setup = ControlSetup(
            name=name,
            data_folder=str(self.folders[name]),
            peers=tuple(n for n in self.names if n != name),
            timing=TIMING,
            target_voters=self.voters,
            can_rejoin_empty=True,
            free_space_bytes=0,
        )
        service = timers.TimerService(self.reactor)
        runtime = ControlRuntime(setup, self.reactor, service)
        runtime.recover()
        runtime.start(SimulatedLinks(self, name))
        self.runtimes[name] = runtime
        self.clients[name] = LeaderClient(runtime)

    def replace_disk(self, name: str) -> None:
        """Ends an instance and starts it with an empty folder."""
        ended = self.runtimes[name]
        ended.fault = "ended"
        ended.unstored_effects.clear()
        ended.journal.close()
        shutil.rmtree(self.folders[name])
        self.start(name)

    def now_ms(self) -> float:
        """Returns the simulated clock in milliseconds."""
        return self.reactor.seconds() * 1000.0

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        """Passes a message to its receiver; notes acknowledged changes."""
        if self.isolated & {sender, receiver}:
            return
        if receiver == CLIENT:
            if isinstance(message, CommandReply):
                number = message.result.number
                self.acknowledged = max(self.acknowledged, number)
            return
        envelope = Envelope(sender, "boot", self.now_ms(), 0, message)
        self.runtimes[receiver].receive([envelope])

    def advance(self, time_s: float) -> None:
        """Advances time, with a tick of each instance at each step."""
        end_s = self.reactor.seconds() + time_s
        while self.reactor.seconds() < end_s:
            for runtime in self.runtimes.values():
                runtime.tick()
            for client in self.clients.values():
                client.tick()
            self.reactor.advance(STEP_S)

    def leader(self) -> str | None:
        """Returns the leader with the highest term, if there is one."""
        leaders = [
            (runtime.state.replica.term, name)
            for name, runtime in self.runtimes.items()
            if runtime.state.replica.role is Role.LEADER
        ]
        return max(leaders)[1] if leaders else None

    def change(self, time_s: float = 0.1) -> bool:
        """Sends a configuration to all instances.

        Returns:
            Whether it was acknowledged within a time.
        """
        self.sent += 1
        configuration = RouteConfiguration(self.sent, (), (), CallerLimits())
        command = PutConfiguration(configuration, bytes(DOCUMENT_BYTES), 0)
        request = CommandRequest(f"q{self.sent}", command)
        for runtime in self.runtimes.values():
            event = MessageArrived(self.now_ms(), 0, CLIENT, "boot", 0, request)
            runtime.handle_self_message(event)
        self.advance(time_s)
        return self.acknowledged == self.sent

    def change_through(self, name: str, time_s: float) -> bool:
        """Sends a configuration to one instance.

        Returns:
            Whether that instance acknowledged it within a time.
        """
        self.sent += 1
        number = self.sent
        is_acknowledged = False

        def on_result(result: leader_client.LeaderResult) -> None:
            nonlocal is_acknowledged
            held = isinstance(result, ConfigurationHeld) and result.number
            if held and held >= number:
                is_acknowledged = True
                self.acknowledged = max(self.acknowledged, held)

        configuration = RouteConfiguration(number, (), (), CallerLimits())
        self.clients[name].put_configuration(
            configuration, bytes(DOCUMENT_BYTES), on_result
        )
        self.advance(time_s)
        return is_acknowledged

    def change_for(self, time_s: float) -> None:
        """Sends changes to all instances in turn for a while."""
        end_s = self.reactor.seconds() + time_s
        while self.reactor.seconds() < end_s:
            self.change_through(self.names[self.sent % len(self.names)], 0.05)

    def check_recovered(self) -> None:
        """Checks that all disks that have room again are as good as new."""
        self.advance(3.0)
        for name in self.names:
            assert self.change_through(name, 1.0), name
        changes = 2 * TIMING.snapshot_entries + 2
        assert all([self.change() for _ in range(changes)])
        self.advance(1.0)
        for name, runtime in self.runtimes.items():
            replica = runtime.state.replica
            held = replica.register.numbered.configuration.number
            assert held == self.acknowledged, name
            assert len(replica.log.entries) < 2 * TIMING.snapshot_entries, name
            assert not list(self.folders[name].glob("*.new")), name
            reopened = Journal(str(self.folders[name]))
            stored = reopened.recover()
            reopened.close()
            assert stored.entries == replica.log.entries, name
            assert stored.snapshot == replica.snapshot, name
            assert stored.term == replica.term, name
