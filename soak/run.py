"""One seeded run: traffic, faults that overlap, and the checks."""

from __future__ import annotations

import contextlib
import http.client
import json
import pathlib
import random
import signal
import subprocess
import tempfile
import threading
import time

import attrs

from harness.fleet import (
    FRONT_PORT,
    HOST,
    SERVER_PORT,
    Fleet,
    FleetError,
    Node,
    StandInServer,
    document,
    running,
    wait_until,
)
from soak.checks import RECOVERY_S, Seen
from soak.proxy import Harm, Proxy

ENTRIES = 3
CONTROLS = 3
SERVERS = 4
WORKERS = 6
REQUEST_GAP_S = 0.05
DEADLINE_MS = 1500
HEARTBEAT_S = 0.5
CHANGE_GAP_S = 0.7
FAULT_GAP_S = (0.3, 1.5)
FAULT_S = (0.3, 2.5)
# A disk may be lost once the last one lost had this long to be replaced.
DISK_GAP_S = 10.0
CHECKED_AFTER_S = 3.0
# Runs of different seeds may go on beside each other.
ADDRESS_BLOCKS = 200
# Names of requests that may run more than once begin so.
SAFE = "safe-"


@attrs.define
class Soak:
    """The state of one run.

    Attributes:
        fleet: The processes.
        seen: What was seen.
        rng: Decides everything that is random.
        busy: Processes under a fault, by folder name.
        log: Faults in words, with their time.
    """

    fleet: Fleet
    seen: Seen
    rng: random.Random
    servers: list[StandInServer]
    proxies: list[Proxy]
    started_s: float = attrs.field(factory=time.monotonic)
    is_over: threading.Event = attrs.field(factory=threading.Event)
    busy: set[str] = attrs.field(factory=set)
    log: list[str] = attrs.field(factory=list)
    number: int = 1
    disk_lost_s: float = float("-inf")
    checked: list[int] = attrs.field(factory=list)

    def note(self, text: str) -> None:
        """Writes a fault down."""
        self.log.append(f"{time.monotonic() - self.started_s:7.2f} {text}")

    def press(self, worker: int) -> None:
        """Sends requests on kept connections until the run is over."""
        rng = random.Random(worker)
        connection = None
        sent = 0
        while not self.is_over.is_set():
            sent += 1
            is_idempotent = rng.random() < 0.5
            kind = SAFE if is_idempotent else "order-"
            request_id = f"{kind}{worker}-{sent}"
            path = "/reads/x" if is_idempotent else "/orders/x"
            if connection is None:
                entry = rng.choice(self.fleet.entries)
                connection = http.client.HTTPConnection(
                    entry.host, FRONT_PORT, timeout=3.0
                )
            status = self._ask(connection, request_id, path, is_idempotent)
            self.checked.append(status)
            if status == 0:
                connection.close()
                connection = None
            time.sleep(REQUEST_GAP_S)

    def _ask(self, connection, request_id, path, is_idempotent) -> int:
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
        self.seen.answered(
            request_id, path, answer.status, content, stamp, is_idempotent
        )
        return answer.status

    def announce(self) -> None:
        """Sends heartbeats of all servers until the run is over."""
        while not self.is_over.is_set():
            for server in self.servers:
                for node in self.fleet.controls:
                    if self.fleet.beat(node, server) == 200:
                        break
            time.sleep(HEARTBEAT_S)

    def operate(self) -> None:
        """Changes the configuration and reads it until the run is over."""
        rng = random.Random(self.rng.random())
        while not self.is_over.is_set():
            self.number += rng.randrange(1, 4)
            number = self.number
            self.seen.offered(number)
            for _ in range(3):
                node = rng.choice(self.fleet.controls)
                if self.fleet.put(node, two_routes(number), 1.0) == 200:
                    self.seen.acknowledged(number)
                    break
            sent_s = time.monotonic()
            held = self._read(rng.choice(self.fleet.controls))
            if held is not None:
                self.seen.read(held, sent_s)
            time.sleep(CHANGE_GAP_S)

    def _read(self, node: Node) -> int | None:
        answer = self.fleet.read(node, 1.0)
        if answer.status != 200:
            return None
        return int(json.loads(answer.body)["version"][1:])

    def harm(self, until_s: float) -> None:
        """Starts faults, each on its own thread, until a time."""
        threads = []
        while time.monotonic() < until_s:
            time.sleep(self.rng.uniform(*FAULT_GAP_S))
            fault = self.rng.choice(
                [
                    self._kill,
                    self._freeze,
                    self._end_entry,
                    self._wipe,
                    self._hang_up,
                    self._kill_controls,
                    self._harm_server,
                    self._reset_server,
                ]
            )
            length_s = self.rng.uniform(*FAULT_S)
            thread = threading.Thread(target=fault, args=(length_s,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    @contextlib.contextmanager
    def _taken(self, nodes: list[Node]):
        """Yields nodes that no other fault has, or none."""
        names = {node.folder.name for node in nodes}
        if self.busy & names:
            yield []
            return
        self.busy |= names
        try:
            yield nodes
        finally:
            self.busy -= names

    def _pick(self, nodes: list[Node]) -> list[Node]:
        return [self.rng.choice(nodes)]

    def _kill(self, length_s: float) -> None:
        nodes = self._pick([*self.fleet.controls, *self.fleet.entries])
        with self._taken(nodes) as taken:
            self._down(taken, length_s, "kill")

    def _kill_controls(self, length_s: float) -> None:
        with self._taken(self.fleet.controls) as taken:
            self._down(taken, length_s / 2, "kill all")

    def _down(self, nodes: list[Node], length_s: float, why: str) -> None:
        for node in nodes:
            self.note(f"{why} {node.folder.name} for {length_s:.1f} s")
            self.fleet.kill(node)
        time.sleep(length_s)
        for node in nodes:
            self.fleet.start(node)

    def _freeze(self, length_s: float) -> None:
        nodes = self._pick([*self.fleet.controls, *self.fleet.entries])
        with self._taken(nodes) as taken:
            for node in taken:
                self.note(f"freeze {node.folder.name} for {length_s:.1f} s")
                self.fleet.signal(node, signal.SIGSTOP)
                time.sleep(length_s)
                self.fleet.signal(node, signal.SIGCONT)

    def _end_entry(self, length_s: float) -> None:
        with self._taken(self._pick(self.fleet.entries)) as taken:
            for node in taken:
                self.note(f"end {node.folder.name}")
                self.fleet.signal(node, signal.SIGTERM)
                try:
                    node.process.wait(timeout=7.0)
                except subprocess.TimeoutExpired:
                    self.seen.violations.append(
                        f"end: {node.folder.name} outlived its grace"
                    )
                    self.fleet.kill(node)
                self.fleet.start(node)

    def _wipe(self, length_s: float) -> None:
        if time.monotonic() < self.disk_lost_s + DISK_GAP_S:
            return
        # With a disk lost, a majority must keep its own: no other is harmed.
        with self._taken(self.fleet.controls) as taken:
            if not taken:
                return
            self.disk_lost_s = time.monotonic()
            node = self.rng.choice(taken)
            self.note(f"wipe {node.folder.name}")
            self.fleet.kill(node)
            self.fleet.wipe(node)
            self.fleet.start(node)
            time.sleep(DISK_GAP_S / 2)

    def _hang_up(self, length_s: float) -> None:
        for node in self._pick(self.fleet.entries):
            if node.folder.name not in self.busy:
                self.note(f"hang-up signal to {node.folder.name}")
                self.fleet.signal(node, signal.SIGHUP)

    def _harm_server(self, length_s: float) -> None:
        proxy = self.rng.choice(self.proxies)
        proxy.harm = self.rng.choice([Harm.DELAY, Harm.SILENCE, Harm.ONE_WAY])
        self.note(f"{proxy.harm.value} of a server for {length_s:.1f} s")
        time.sleep(length_s)
        proxy.harm = Harm.NONE
        proxy.reset_all()

    def _reset_server(self, length_s: float) -> None:
        self.note("connections of a server are reset")
        self.rng.choice(self.proxies).reset_all()


def two_routes(number: int) -> dict:
    """Returns a configuration with a safe and an unsafe route."""
    content = document(number, "shop")
    safe = json.loads(json.dumps(content["resources"][0]))
    safe["metadata"]["name"] = "safe"
    safe["spec"].update(pathPrefix="/reads/", routeType="safe")
    content["resources"].append(safe)
    return content


class _Counted(list):
    """Tells the checks of each request that a server begins to run."""

    def __init__(self, seen: Seen):
        super().__init__()
        self._seen = seen

    def append(self, request_id: str) -> None:
        super().append(request_id)
        self._seen.ran(request_id, request_id.startswith(SAFE))


def run_seed(seed: int, seconds: float) -> Soak:
    """Plays one seed.

    Args:
        seed: Decides faults and their times.
        seconds: How long faults are made.

    Returns:
        The run, with what was seen.
    """
    with (
        tempfile.TemporaryDirectory(prefix="gentianwall-soak-") as folder,
        contextlib.ExitStack() as stack,
    ):
        block = 1 + seed % ADDRESS_BLOCKS
        fleet = Fleet(pathlib.Path(folder), CONTROLS, ENTRIES, block)
        stack.callback(fleet.stop)
        seen = Seen()
        soak = Soak(fleet, seen, random.Random(seed), [], [])
        for number in range(1, SERVERS + 1):
            inner = f"127.{block}.4.{number}"
            outer = f"127.{block}.3.{number}"
            server = StandInServer(f"i-{number}", "shop", inner)
            server.ran = _Counted(seen)
            stack.enter_context(running(server))
            server.host = outer
            soak.servers.append(server)
            proxy = Proxy(outer, inner, SERVER_PORT)
            stack.callback(proxy.close)
            soak.proxies.append(proxy)
        for node in [*fleet.controls, *fleet.entries]:
            fleet.start(node, is_first_start=True)
        _play(soak, seconds)
        return soak


def _play(soak: Soak, seconds: float) -> None:
    threads = [
        threading.Thread(target=soak.announce),
        threading.Thread(target=soak.operate),
        *(
            threading.Thread(target=soak.press, args=(worker,))
            for worker in range(WORKERS)
        ),
    ]
    for thread in threads:
        thread.start()
    try:
        wait_until("traffic is served", lambda: soak.seen.statuses[200] > 20)
        soak.harm(time.monotonic() + seconds)
        wait_until(
            "service is back",
            lambda: soak.checked[-WORKERS * 4 :].count(200) >= WORKERS * 3,
            RECOVERY_S,
        )
        before = len(soak.checked)
        time.sleep(CHECKED_AFTER_S)
        after = soak.checked[before:]
        soak.seen.recovered(after.count(200), len(after))
    except FleetError as error:
        soak.seen.violations.append(f"recover: {error}")
    finally:
        soak.is_over.set()
        for thread in threads:
            thread.join()
    held = [soak._read(node) for node in soak.fleet.controls]
    soak.seen.read_at_end(max((n for n in held if n is not None), default=None))
