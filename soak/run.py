"""Runs a fleet under traffic and overlapping faults, chosen by a seed."""

from __future__ import annotations

import contextlib
import http.client
import json
import pathlib
import random
import shutil
import signal
import subprocess
import tempfile
import threading
import time
from collections.abc import Callable

import attrs

from harness.fleet import (
    CALLERS_PORT,
    HOST,
    SERVER_PORT,
    FakeServer,
    Fleet,
    FleetError,
    Node,
    document,
    platform_command,
    running_server,
    wait_until,
)
from harness.stepped_clock import stepped_command
from soak import planned
from soak.checks import RECOVERY_S, Observations
from soak.lost import Change, LostRequests
from soak.proxy import Partition, Proxy, ProxyFault

ENTRIES = 3
CONTROLS = 3
SERVERS = 4
WORKERS = 6
REQUEST_GAP_S = 0.05
DEADLINE_MS = 1500
DEFAULT_TIMEOUT_MS = 2000
HEARTBEAT_S = 0.5
CHANGE_GAP_S = 0.7
FAULT_GAP_S = (0.3, 1.5)
FAULT_DURATION_S = (0.3, 2.5)
# Minimum time between two disk losses, so that the cluster has replaced the
# first disk before the next one is wiped.
DISK_LOSS_GAP_S = 10.0
RECOVERY_SAMPLE_S = 3.0
# Number of loopback address blocks. Runs of seeds that differ modulo this
# number can share a machine.
ADDRESS_BLOCKS = 200
# Prefix of the ids of requests that may be executed more than once.
SAFE_PREFIX = "safe-"


@attrs.define
class SoakRun:
    """State of one soak run.

    Attributes:
        fleet: The processes.
        observations: What callers, servers and the operator observed.
        rng: Source of all random choices of faults and configurations.
        servers: Back ends.
        proxies: By host of the entry, its proxies in front of each server.
        started_s: Monotonic time at which the run started.
        stop_requested: Set to end all threads of the run.
        partition_lock: Held while some entries are cut from all servers.
        faulted_nodes: Folder names of the processes under a fault.
        log: Descriptions of the faults, each with seconds since the start.
        last_version: Version of the last configuration that was sent.
        last_disk_loss_s: Monotonic time of the last wiped disk.
        request_statuses: Status of each request in order; 0 without an answer.
        seed: Determines all random choices.
        is_calm: Whether there is only planned work: no faults.
        lost: Requests and planned work of a calm run.
        starting_nodes: Folder names of the entries that have just been started.
    """

    fleet: Fleet
    observations: Observations
    rng: random.Random
    servers: list[FakeServer]
    proxies: dict[str, list[Proxy]]
    started_s: float = attrs.field(factory=time.monotonic)
    stop_requested: threading.Event = attrs.field(factory=threading.Event)
    partition_lock: threading.Lock = attrs.field(factory=threading.Lock)
    faulted_nodes: set[str] = attrs.field(factory=set)
    log: list[str] = attrs.field(factory=list)
    last_version: int = 1
    last_disk_loss_s: float = float("-inf")
    request_statuses: list[int] = attrs.field(factory=list)
    seed: int = 0
    is_calm: bool = False
    lost: LostRequests = attrs.field(factory=LostRequests)
    starting_nodes: set[str] = attrs.field(factory=set)

    def log_fault(self, text: str) -> None:
        """Appends a fault to the log."""
        self.log.append(f"{time.monotonic() - self.started_s:7.2f} {text}")

    def send_requests(self, worker: int) -> None:
        """Sends requests over persistent connections until the run ends."""
        rng = random.Random(worker)
        connection = None
        sent = 0
        while not self.stop_requested.is_set():
            sent += 1
            is_idempotent = rng.random() < 0.5
            prefix = SAFE_PREFIX if is_idempotent else "order-"
            request_id = f"{prefix}{worker}-{sent}"
            path = "/reads/x" if is_idempotent else "/orders/x"
            if connection is None:
                entry = rng.choice(self.fleet.entries)
                connection = http.client.HTTPConnection(
                    entry.host, CALLERS_PORT, timeout=3.0
                )
            status = self._send_request(
                connection, request_id, path, is_idempotent
            )
            self.request_statuses.append(status)
            if status == 0:
                connection.close()
                connection = None
            time.sleep(REQUEST_GAP_S)

    def _send_request(self, connection, request_id, path, is_idempotent) -> int:
        headers = {
            "Host": HOST,
            "X-Gentianwall-Request-Id": request_id,
            "X-Gentianwall-Deadline-Ms": str(DEADLINE_MS),
        }
        method = "GET" if is_idempotent else "POST"
        body = b"" if is_idempotent else b"order"
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            content = answer.read()
        except (OSError, http.client.HTTPException):
            return 0
        stamp = answer.getheader("X-Gentianwall-Server-Stamp", "")
        self.observations.record_answer(
            request_id, path, answer.status, content, stamp, is_idempotent
        )
        return answer.status

    def send_heartbeats(self) -> None:
        """Sends heartbeats of all servers until the run ends."""
        while not self.stop_requested.is_set():
            for server in self.servers:
                for node in self.fleet.controls:
                    if self.fleet.send_heartbeat(node, server) == 200:
                        break
            time.sleep(HEARTBEAT_S)

    def change_configuration(self) -> None:
        """Changes and reads the configuration until the run ends."""
        rng = random.Random(self.rng.random())
        while not self.stop_requested.is_set():
            self.last_version += rng.randrange(1, 4)
            number = self.last_version
            self.observations.record_submission(number)
            timeout_ms = DEFAULT_TIMEOUT_MS
            if self.is_calm:
                timeout_ms = rng.choice(planned.TIMEOUTS_MS)
            change = Change(time.monotonic(), timeout_s=timeout_ms / 1000.0)
            self.lost.work.append(change)
            configuration = make_configuration(number, timeout_ms)
            for _ in range(3):
                node = rng.choice(self.fleet.controls)
                if (
                    self.fleet.replace_configuration(node, configuration, 1.0)
                    == 200
                ):
                    self.observations.record_acknowledgement(number)
                    change.acknowledged_s = time.monotonic()
                    break
            sent_s = time.monotonic()
            version = self._read_version(rng.choice(self.fleet.controls))
            if version is not None:
                self.observations.check_read(version, sent_s)
            time.sleep(
                rng.uniform(*planned.CHANGE_GAP_S)
                if self.is_calm
                else CHANGE_GAP_S
            )

    def _read_version(self, node: Node) -> int | None:
        answer = self.fleet.read(node, 1.0)
        if answer.status != 200:
            return None
        return int(json.loads(answer.body)["version"][1:])

    def inject_faults(self, until_s: float) -> None:
        """Starts random faults, each in its own thread, until `until_s`.

        Returns when all of them have ended.
        """
        threads = []
        while time.monotonic() < until_s:
            time.sleep(self.rng.uniform(*FAULT_GAP_S))
            fault = self.rng.choice(
                [
                    self._kill,
                    self._suspend,
                    self._terminate_entry,
                    self._wipe_disk,
                    self._send_sighup,
                    self._kill_all_controls,
                    self._inject_proxy_fault,
                    self._reset_connections,
                    self._partition_entries,
                ]
            )
            duration_s = self.rng.uniform(*FAULT_DURATION_S)
            thread = threading.Thread(target=fault, args=(duration_s,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    @contextlib.contextmanager
    def _reserve(self, nodes: list[Node]):
        """Reserves nodes for one fault.

        Yields an empty list if another fault has reserved one of them.
        """
        names = {node.folder.name for node in nodes}
        if self.faulted_nodes & names:
            yield []
            return
        self.faulted_nodes |= names
        try:
            yield nodes
        finally:
            self.faulted_nodes -= names

    def _choose_one(self, nodes: list[Node]) -> list[Node]:
        return [self.rng.choice(nodes)]

    def _kill(self, duration_s: float) -> None:
        nodes = self._choose_one([*self.fleet.controls, *self.fleet.entries])
        with self._reserve(nodes) as reserved:
            self._kill_and_restart(reserved, duration_s, "kill")

    def _kill_all_controls(self, duration_s: float) -> None:
        with self._reserve(self.fleet.controls) as reserved:
            self._kill_and_restart(reserved, duration_s / 2, "kill all")

    def _kill_and_restart(
        self, nodes: list[Node], duration_s: float, action: str
    ) -> None:
        for node in nodes:
            self.log_fault(
                f"{action} {node.folder.name} for {duration_s:.1f} s"
            )
            self.fleet.kill(node)
        time.sleep(duration_s)
        for node in nodes:
            self.fleet.start(node)

    def _suspend(self, duration_s: float) -> None:
        nodes = self._choose_one([*self.fleet.controls, *self.fleet.entries])
        with self._reserve(nodes) as reserved:
            for node in reserved:
                self.log_fault(
                    f"suspend {node.folder.name} for {duration_s:.1f} s"
                )
                self.fleet.signal(node, signal.SIGSTOP)
                time.sleep(duration_s)
                self.fleet.signal(node, signal.SIGCONT)

    def _terminate_entry(self, duration_s: float) -> None:
        with self._reserve(self._choose_one(self.fleet.entries)) as reserved:
            for node in reserved:
                self.log_fault(f"SIGTERM to {node.folder.name}")
                self.fleet.signal(node, signal.SIGTERM)
                try:
                    node.process.wait(timeout=7.0)
                except subprocess.TimeoutExpired:
                    self.observations.violations.append(
                        f"end: {node.folder.name} still ran 7 s after SIGTERM"
                    )
                    self.fleet.kill(node)
                self.fleet.start(node)

    def _wipe_disk(self, duration_s: float) -> None:
        if time.monotonic() < self.last_disk_loss_s + DISK_LOSS_GAP_S:
            return
        # While one disk is lost, a majority needs the remaining disks, so all
        # control instances are reserved: no other fault may hit them.
        with self._reserve(self.fleet.controls) as reserved:
            if not reserved:
                return
            self.last_disk_loss_s = time.monotonic()
            node = self.rng.choice(reserved)
            self.log_fault(f"wipe disk of {node.folder.name}")
            self.fleet.kill(node)
            self.fleet.wipe(node)
            self.fleet.start(node)
            time.sleep(DISK_LOSS_GAP_S / 2)

    def _send_sighup(self, duration_s: float) -> None:
        for node in self._choose_one(self.fleet.entries):
            if node.folder.name not in self.faulted_nodes:
                self.log_fault(f"SIGHUP to {node.folder.name}")
                self.fleet.signal(node, signal.SIGHUP)

    def _choose_server(self) -> list[Proxy]:
        """Returns the proxies of all entries in front of one server."""
        number = self.rng.randrange(SERVERS)
        return [proxies[number] for proxies in self.proxies.values()]

    def _inject_proxy_fault(self, duration_s: float) -> None:
        fault = self.rng.choice(
            [ProxyFault.DELAY, ProxyFault.SILENCE, ProxyFault.ONE_WAY]
        )
        proxies = self._choose_server()
        for proxy in proxies:
            proxy.fault = fault
        self.log_fault(f"{fault.value} at a server for {duration_s:.1f} s")
        time.sleep(duration_s)
        for proxy in proxies:
            proxy.fault = ProxyFault.NONE
            proxy.reset_all()

    def _reset_connections(self, duration_s: float) -> None:
        self.log_fault("reset connections of a server")
        for proxy in self._choose_server():
            proxy.reset_all()

    def _partition_entries(self, duration_s: float) -> None:
        """Cuts some entries, at times all but one, from all servers."""
        if not self.partition_lock.acquire(blocking=False):
            return
        partition = self.rng.choice(list(Partition))
        count = self.rng.randrange(1, ENTRIES)
        chosen = self.rng.sample(self.fleet.entries, count)
        proxies = [
            proxy for node in chosen for proxy in self.proxies[node.host]
        ]
        names = ", ".join(node.folder.name for node in chosen)
        self.log_fault(f"{partition.value}: {names} for {duration_s:.1f} s")
        for proxy in proxies:
            proxy.begin_partition(partition)
        time.sleep(duration_s)
        for proxy in proxies:
            proxy.end_partition()
        self.partition_lock.release()


def make_configuration(
    number: int, timeout_ms: int = DEFAULT_TIMEOUT_MS
) -> dict:
    """Returns a configuration with a safe and an unsafe route.

    Args:
        number: Version of the configuration.
        timeout_ms: Timeout of both routes.
    """
    content = document(number, "shop")
    content["resources"][0]["spec"]["timeoutMs"] = timeout_ms
    safe = json.loads(json.dumps(content["resources"][0]))
    safe["metadata"]["name"] = "safe"
    safe["spec"].update(pathPrefix="/reads/", routeType="safe")
    content["resources"].append(safe)
    return content


class _RecordingList(list):
    """List of request ids that reports each one that is appended."""

    def __init__(self, record: Callable[[str], None]):
        super().__init__()
        self._record = record

    def append(self, request_id: str) -> None:
        super().append(request_id)
        self._record(request_id)


def _record_requests(soak: SoakRun, server: FakeServer) -> None:
    """Lets the checks know what a server has begun and finished."""

    def on_begin(request_id: str) -> None:
        soak.lost.record_begin(request_id, server.name, time.monotonic())
        is_idempotent = request_id.startswith(SAFE_PREFIX)
        soak.observations.record_execution(request_id, is_idempotent)

    def on_end(request_id: str) -> None:
        soak.lost.record_end(request_id, server.name, time.monotonic())

    server.executed_ids = _RecordingList(on_begin)
    server.finished_ids = _RecordingList(on_end)


def run_seed(seed: int, seconds: float, is_calm: bool = False) -> SoakRun:
    """Runs one seed.

    Args:
        seed: Determines the faults and when they start.
        seconds: Time during which faults are started.
        is_calm: Whether planned work is started instead of faults.

    Returns:
        The finished run with its observations. The logs of all processes are
        kept in the folder of its fleet if there was a violation.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"gentianwall-soak-{seed}-"))
    soak = _run_in_folder(seed, seconds, folder, is_calm)
    if soak.observations.violations:
        soak.log.append(f"logs of the processes: {folder}/*/log")
    else:
        shutil.rmtree(folder)
    return soak


def _run_in_folder(
    seed: int, seconds: float, folder: pathlib.Path, is_calm: bool
) -> SoakRun:
    with contextlib.ExitStack() as stack:
        block = 1 + seed % ADDRESS_BLOCKS
        command = stepped_command if is_calm else platform_command
        fleet = Fleet(folder, CONTROLS, ENTRIES, block, command)
        stack.callback(fleet.kill_all)
        observations = Observations()
        soak = SoakRun(fleet, observations, random.Random(seed), [], {})
        soak.seed = seed
        soak.is_calm = is_calm
        servers_prefix = f"127.{block}.3."
        for number in range(1, SERVERS + 1):
            host = f"{servers_prefix}{number}"
            server = FakeServer(f"i-{number}", "shop", host)
            _record_requests(soak, server)
            stack.enter_context(running_server(server))
            soak.servers.append(server)
        rerouted_entries = [] if is_calm else fleet.entries
        for entry_number, entry in enumerate(rerouted_entries, 1):
            prefix = f"127.{block}.{10 + entry_number}."
            fleet.rerouted_hosts[entry.host] = {servers_prefix: prefix}
            proxies = soak.proxies[entry.host] = []
            for number, server in enumerate(soak.servers, 1):
                proxy = Proxy(f"{prefix}{number}", server.host, SERVER_PORT)
                stack.callback(proxy.close)
                proxies.append(proxy)
        for node in [*fleet.controls, *fleet.entries]:
            fleet.start(node, is_first_start=True)
        _run_phases(soak, seconds)
        return soak


def _ended_processes(soak: SoakRun) -> list[str]:
    """Describes the processes that are not running."""
    return [
        f"{node.folder.name} has ended with status {node.process.returncode}"
        for node in [*soak.fleet.controls, *soak.fleet.entries]
        if node.process.poll() is not None
    ]


def _caller_threads(soak: SoakRun) -> list[threading.Thread]:
    if not soak.is_calm:
        return [
            threading.Thread(target=soak.send_requests, args=(worker,))
            for worker in range(WORKERS)
        ]
    return [
        threading.Thread(
            target=planned.send_requests, args=(soak, worker, SAFE_PREFIX)
        )
        for worker in range(planned.QUICK_CALLERS + planned.SLOW_CALLERS)
    ]


def _run_phases(soak: SoakRun, seconds: float) -> None:
    threads = [
        threading.Thread(target=soak.send_heartbeats),
        threading.Thread(target=soak.change_configuration),
        *_caller_threads(soak),
    ]
    for thread in threads:
        thread.start()
    try:
        wait_until(
            "traffic is served", lambda: soak.observations.statuses[200] > 20
        )
        until_s = time.monotonic() + seconds
        if soak.is_calm:
            planned.inject_planned_work(soak, until_s)
        else:
            soak.inject_faults(until_s)
        wait_until(
            "service has recovered",
            lambda: (
                soak.request_statuses[-WORKERS * 4 :].count(200) >= WORKERS * 3
            ),
            RECOVERY_S,
        )
        count_before = len(soak.request_statuses)
        time.sleep(RECOVERY_SAMPLE_S)
        sample = soak.request_statuses[count_before:]
        soak.observations.check_recovery(sample.count(200), len(sample))
    except FleetError as error:
        soak.observations.violations.append(f"recover: {error}")
        soak.log.extend(_ended_processes(soak))
    finally:
        soak.stop_requested.set()
        for thread in threads:
            thread.join()
    if soak.is_calm:
        soak.observations.violations += soak.lost.find()
    final_versions = [soak._read_version(node) for node in soak.fleet.controls]
    soak.observations.check_final_read(
        max((n for n in final_versions if n is not None), default=None)
    )
