"""Stand-ins for the platform, the operator, clients and backends.

They start the project's programs with the commands of the deploy file, on
loopback addresses, with settings that are filled into the templates of the
deploy file. They follow the pages of the users and use the standard library
only.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "jepu9.example"
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


class CaseError(Exception):
    """The case could not run."""


def is_troubled() -> bool:
    """Returns whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


def wait_until(what, condition, limit_s=20.0, pause_s=0.03):
    """Waits until a condition returns something true, and returns that."""
    started_s = time.monotonic()
    while not (value := condition()):
        if time.monotonic() - started_s > limit_s:
            raise CaseError(f"not reached within {limit_s} s: {what}")
        time.sleep(pause_s)
    return value


class Record:
    """Writes what happens to `record.txt`, with seconds since the start."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Writes one line."""
        with self._lock:
            elapsed_s = time.monotonic() - self._started_s
            self._file.write(f"{elapsed_s:9.3f} {text}\n")
            self._file.flush()


def _look_up(fields, path):
    value = fields
    for key in path.split("."):
        if isinstance(value, list):
            value = value[int(key)] if int(key) < len(value) else None
        else:
            value = (value or {}).get(key)
    return value


def fill_template(text: str, fields: dict) -> str:
    """Fills in a template as the page about deployment says.

    Only what the project's templates use: values, `|json`, and sections of a
    single value.
    """

    def fill_section(match):
        value = _look_up(fields, match[1])
        if value in (None, False):
            return ""
        return match[2].replace("{{.}}", str(value))

    def fill_value(match):
        value = _look_up(fields, match[1])
        if match[2]:
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    return PLACEHOLDER.sub(fill_value, SECTION.sub(fill_section, text))


def exchange(address, method, path, body=b"", headers=None, timeout_s=1.0):
    """Sends one request on a new connection.

    Returns:
        The status, the headers with lower-case names, and the body; status 0
        if no complete answer was received.
    """
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": HOST, **(headers or {}), "Connection": "close"}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    try:
        with socket.create_connection(address, timeout_s) as connection:
            connection.settimeout(timeout_s)
            connection.sendall(head + body)
            return read_answer(connection.makefile("rb"))
    except (OSError, ValueError):
        return 0, {}, b""


def read_answer(stream):
    """Reads one answer; raises ValueError if it ends early."""
    words = stream.readline().split()
    if len(words) < 2:
        raise ValueError("no answer")
    status = int(words[1])
    headers = read_headers(stream)
    length = int(headers.get("content-length", "0"))
    body = stream.read(length)
    if len(body) < length:
        raise ValueError("the answer ended early")
    return status, headers, body


def read_headers(stream) -> dict[str, str]:
    """Reads headers up to the empty line."""
    headers = {}
    while (line := stream.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


class Node:
    """One machine with the process of one role."""

    def __init__(self, name, role, address, zone):
        self.name, self.role, self.address, self.zone = (
            name,
            role,
            address,
            zone,
        )
        self.process: subprocess.Popen | None = None


class Platform:
    """Starts the processes as the deploy file says.

    Args:
        controls: Machines that run the control role.
        entries: Machines that run the entry role.
        machines_lost: `faultTolerance.machines`.
        core_memory_mb: Memory of a core machine.
        edge_memory_mb: Memory of an edge machine.
    """

    def __init__(
        self, controls, entries, machines_lost, core_memory_mb, edge_memory_mb
    ):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self._deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text()
        )
        self._lost = machines_lost
        self._memory_mb = {"core": core_memory_mb, "edge": edge_memory_mb}
        self.block = random.randint(20, 250)
        zones = ("rajkot-a", "rajkot-b", "jamnagar-c")
        self.controls = [
            Node(
                f"core-{n}", "control", f"127.{self.block}.1.{n}", zones[n % 3]
            )
            for n in range(1, controls + 1)
        ]
        self.entries = [
            Node(f"edge-{n}", "entry", f"127.{self.block}.2.{n}", zones[n % 3])
            for n in range(1, entries + 1)
        ]
        self.first_port = self._find_ports()
        self.control_port = self.first_port + 20
        self.front_port = self.first_port + 21
        self.readiness_port = self.first_port + 22
        self.server_port = self.first_port + 23

    def _find_ports(self) -> int:
        """Returns the first of 24 ports that are free on all addresses."""
        nodes = [*self.controls, *self.entries]
        for _ in range(100):
            first = random.randint(20_000, 30_000)
            with contextlib.ExitStack() as stack:
                try:
                    for node in nodes:
                        for port in range(first, first + 24):
                            taken = stack.enter_context(socket.socket())
                            taken.bind((node.address, port))
                except OSError:
                    continue
                return first
        raise CaseError("no free ports")

    def _fields(self, node: Node, is_first_start: bool) -> dict:
        machine_class = self._deploy["roles"][node.role]["on"]
        is_core = machine_class == "core"
        listen = (
            {"control": f"{node.address}:{self.control_port}"}
            if is_core
            else {
                "front": f"{node.address}:{self.front_port}",
                "readinessAddress": f"{node.address}:{self.readiness_port}",
            }
        )
        return {
            "nodeName": node.name,
            "role": node.role,
            "machineClass": machine_class,
            "ip": node.address,
            "zone": node.zone,
            "region": "saurashtra",
            "listen": listen,
            "internalPorts": [self.first_port, self.first_port + 15],
            "seeds": [
                f"{control.address}:{self.control_port}"
                for control in self.controls[:3]
            ],
            "bootstrap": is_first_start,
            "inTolerance": is_core,
            "limits": {
                "memoryMb": self._memory_mb[machine_class],
                "maxFds": 4096 if is_core else 10_387,
            },
            "dataDir": str(self.folder / node.name / "data"),
            "heartbeatMs": 1500,
            "faultTolerance": {"machines": self._lost, "zones": 0},
            "bounds": {
                "graceS": 6,
                "retryRatio": 0.2,
                "retryWindowS": 10,
                "retrySlack": 176,
            },
        }

    def start(self, node: Node, is_first_start: bool = False) -> None:
        """Starts a process with the settings in effect."""
        role = self._deploy["roles"][node.role]
        folder = self.folder / node.name
        (folder / "data").mkdir(parents=True, exist_ok=True)
        template = (REPOSITORY / role["template"]).read_text()
        settings = folder / "boot.conf"
        settings.write_text(
            fill_template(template, self._fields(node, is_first_start))
        )
        kept = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GENTIANWALL_NODE_FILE": str(settings),
        }
        with (folder / "log").open("ab") as log:
            node.process = subprocess.Popen(
                shlex.split(role["run"]),
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def start_all(self) -> None:
        """Starts the whole system for the first time."""
        for node in [*self.controls, *self.entries]:
            self.start(node, is_first_start=True)

    def kill(self, node: Node) -> None:
        """Kills a process with SIGKILL and waits for its end."""
        node.process.send_signal(signal.SIGCONT)
        node.process.kill()
        node.process.wait()

    def is_up(self, node: Node) -> bool:
        """Returns whether a control machine accepts connections."""
        try:
            socket.create_connection(
                (node.address, self.control_port), 0.5
            ).close()
        except OSError:
            return False
        return True

    def is_ready(self, node: Node) -> bool:
        """Returns whether an edge machine answers its readiness check."""
        address = (node.address, self.readiness_port)
        return exchange(address, "GET", "/readyz")[0] == 200

    def is_leader(self, node: Node) -> bool:
        """Reads from the metrics of the deploy file whether a machine leads."""
        port, _, path = self._deploy["roles"]["control"]["metrics"].partition(
            "/"
        )
        answer = exchange((node.address, int(port)), "GET", f"/{path}")
        return any(
            "is_leader" in line
            and not line.startswith("#")
            and float(line.split()[-1]) == 1.0
            for line in answer[2].decode().splitlines()
        )

    def leader(self) -> Node | None:
        """Returns the control machine that leads, if there is one."""
        return next((n for n in self.controls if self.is_leader(n)), None)

    def stop(self) -> None:
        """Ends all processes and removes their files."""
        for node in [*self.controls, *self.entries]:
            if node.process is not None and node.process.poll() is None:
                self.kill(node)
        if not os.environ.get("KEEP_FILES"):
            shutil.rmtree(self.folder, ignore_errors=True)


class SlowMachine:
    """Lets a process run for a part of the time only, by stop and continue.

    Args:
        process: The process.
        factor: How many times slower it runs.
    """

    PERIOD_S = 0.08

    def __init__(self, process: subprocess.Popen, factor: float):
        self._process = process
        self._factor = factor
        self._is_ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        run_s = self.PERIOD_S / self._factor
        while not self._is_ended.is_set():
            self._process.send_signal(signal.SIGSTOP)
            time.sleep(self.PERIOD_S - run_s)
            self._process.send_signal(signal.SIGCONT)
            time.sleep(run_s)

    def start(self) -> None:
        """Makes the process slow."""
        self._thread.start()

    def end(self) -> None:
        """Lets the process run at its usual speed again."""
        self._is_ended.set()
        self._thread.join()


class Operator:
    """Sends desired states to control machines, and reads them back.

    Attributes:
        acked: Numbers of the desired states that were acknowledged.
    """

    def __init__(self, platform: Platform, record: Record):
        self._platform = platform
        self._record = record
        self.acked: list[int] = []

    def send(self, node: Node, number: int, document: bytes, timeout_s=3.5):
        """Sends a desired state once; returns the status, 0 for none."""
        address = (node.address, self._platform.control_port)
        self._record.write(f"operator sends r{number} to {node.name}")
        path = "/rpc?call=config.replace"
        headers = {"Content-Type": "application/json"}
        status = exchange(address, "POST", path, document, headers, timeout_s)[
            0
        ]
        self._record.write(
            f"operator: r{number} at {node.name} answered {status or 'nothing'}"
        )
        if status == 200:
            self.acked.append(number)
        return status

    def send_until_acked(
        self, nodes: list[Node], number: int, document: bytes, limit_s=25.0
    ) -> None:
        """Sends a desired state, to one node after the other, until acked."""
        started_s, wait_s, turn = time.monotonic(), 0.1, 0
        while time.monotonic() - started_s < limit_s:
            node = nodes[turn % len(nodes)]
            if self.send(node, number, document) == 200:
                return
            turn += 1
            time.sleep(wait_s)
            wait_s = min(1.0, 2 * wait_s)

    def read(self, node: Node) -> int | None:
        """Reads the desired state; returns its number, None for no answer."""
        address = (node.address, self._platform.control_port)
        status, _, body = exchange(
            address, "POST", "/rpc?call=config.get", timeout_s=1.5
        )
        number = int(json.loads(body)["version"][1:]) if status == 200 else None
        self._record.write(
            f"operator reads at {node.name}: "
            + (f"r{number}" if number is not None else f"status {status}")
        )
        return number


class Backend:
    """A sound backend, which runs each request for a short while.

    Attributes:
        ran: Time, id and tenant of each request whose run began.
    """

    def __init__(self, platform, record, name, service, number, work_s=0.02):
        self.name, self.service = name, service
        self.address = (
            f"127.{platform.block}.3.{number}",
            platform.server_port,
        )
        self.ran: list[tuple[float, str, str]] = []
        self._platform, self._record = platform, record
        self._work_s = work_s
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._running = 0
        self._is_closed = threading.Event()
        self._listener = socket.create_server(self.address, backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def beat(self, node: Node, state: str = "ready") -> int:
        """Sends a liveness report; returns the status."""
        self._sequence += 1
        report = self.make_report(state, self._sequence)
        address = (node.address, self._platform.control_port)
        path = f"/rpc?call=instances.heartbeat&of={self.name}"
        headers = {"Content-Type": "application/json"}
        body = json.dumps(report).encode()
        return exchange(address, "POST", path, body, headers)[0]

    def make_report(self, state: str, sequence: int) -> dict:
        """Returns a liveness report."""
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "rajkot-a",
            "version": "v1",
            "maxConcurrency": 8,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": sequence,
            "born": self._born,
        }

    def keep_beating(self, nodes: list[Node]) -> None:
        """Sends a report every 1.5 s, to the next node if one does not ack."""

        def beat() -> None:
            while not self._is_closed.wait(1.5):
                any(self.beat(node) == 200 for node in nodes)

        threading.Thread(target=beat, daemon=True).start()

    def close(self) -> None:
        """Accepts no more connections and sends no more reports."""
        self._is_closed.set()
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), connection:
            stream = connection.makefile("rb")
            while line := stream.readline():
                headers = read_headers(stream)
                stream.read(int(headers.get("content-length", "0")))
                connection.sendall(self._answer(line.decode(), headers))

    def _answer(self, line: str, headers: dict[str, str]) -> bytes:
        if line.startswith("GET /healthz "):
            return self._encode(200, {"X-Gentianwall-Instance-Id": self.name})
        request_id = headers.get("x-gentianwall-request-id", "")
        echo = {"X-Gentianwall-Request-Id": request_id}
        if headers.get("x-gentianwall-expect-instance", self.name) != self.name:
            return self._encode(
                421, {**echo, "X-Gentianwall-Not-Executed": "1"}
            )
        tenant = headers.get("x-gentianwall-tenant-id", "")
        self.ran.append((time.monotonic(), request_id, tenant))
        self._record.write(f"{self.name} runs {request_id} {line.strip()}")
        self._running += 1
        time.sleep(self._work_s)
        self._running -= 1
        stamp = {"X-Gentianwall-Server-Stamp": f"stamp.{request_id}"}
        return self._encode(200, {**echo, **stamp}, b"ok")

    def _encode(self, status, headers, body=b"") -> bytes:
        load = f"{self._running},0,8,100"
        fields = {
            **headers,
            "X-Gentianwall-Server-Load": load,
            "Content-Length": str(len(body)),
        }
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def make_route(prefix: str, kind: str, service: str) -> dict:
    """Returns a route resource."""
    return {
        "type": "routes",
        "metadata": {"name": f"r-{prefix.strip('/')}"},
        "spec": {
            "host": HOST,
            "pathPrefix": prefix,
            "routeType": kind,
            "timeoutMs": 1700,
            "targetLatencyMs": 478,
            "priority": 2,
            "service": service,
            "maxAttempts": 2,
        },
    }


def make_document(number: int, resources: list[dict], *services: str) -> bytes:
    """Returns a desired state with some services and the default limits."""
    spec = {"healthPath": "/healthz", "maxConns": 940, "protocol": "h1"}
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    declared = [
        {
            "type": "services",
            "metadata": {"name": service},
            "spec": {**spec, "tls": False},
        }
        for service in services
    ]
    content = {
        "version": f"r{number}",
        "resources": [
            *resources,
            *declared,
            {"type": "limits", "metadata": {}, "spec": limits},
        ],
    }
    return json.dumps(content).encode()


def send_request(platform, node, path, request_id, headers=None):
    """Sends a client's request to an edge machine; returns the status."""
    fields = {
        "X-Gentianwall-Request-Id": request_id,
        "X-Gentianwall-Deadline-Ms": "1700",
        **(headers or {}),
    }
    address = (node.address, platform.front_port)
    return exchange(address, "GET", path, b"", fields, 2.5)[0]


def run_case(case) -> int:
    """Runs a case and returns its exit code."""
    try:
        return case()
    except (CaseError, OSError) as error:
        print(f"the case could not run: {error}")
        return NOT_RUN
