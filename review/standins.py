"""Starts gentianwall on loopback, with stand-ins for all that surrounds it.

The stand-ins follow the users' pages: backends and the operator as in
PROTOCOL.md, settings files as in DEPLOY.md. They use the standard library only.
"""

from __future__ import annotations

import contextlib
import hashlib
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
BOUNDS = {
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 64,
}
HEARTBEAT_S = 1.5
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class NotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Collects what was sent, answered and run; writes `record.txt`."""

    def __init__(self, folder: pathlib.Path):
        self._path = folder / "record.txt"
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._lines: list[str] = []

    def add(self, who: str, what: str, **fields) -> float:
        """Adds a line; returns its time in seconds from the start."""
        at_s = time.monotonic() - self._started_s
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        with self._lock:
            self._lines.append(f"{at_s:9.3f} {who} {what} {text}".rstrip())
        return at_s

    def now_s(self) -> float:
        """Returns the time in seconds from the start."""
        return time.monotonic() - self._started_s

    def write(self) -> None:
        """Writes all lines."""
        with self._lock:
            self._path.write_text("\n".join(self._lines) + "\n")


def _render(template: str, fields: dict) -> str:
    """Fills in a settings template as far as this project's ones need it."""

    def find(name: str, entry):
        if name == ".":
            return entry
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match) -> str:
        value = find(match.group(1), fields)
        return "" if not value else values(match.group(2), value)

    def values(text: str, entry) -> str:
        def one(match: re.Match) -> str:
            value = find(match.group(1), entry)
            if match.group(2):
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", one, text)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return values(text, None)


def _free_ports(count: int) -> list[int]:
    """Returns ports that no socket uses on any loopback address."""
    sockets = []
    while len(sockets) < count:
        port = random.randrange(20_000, 30_000)
        candidate = socket.socket()
        try:
            candidate.bind(("0.0.0.0", port))
        except OSError:
            candidate.close()
            continue
        sockets.append(candidate)
    ports = [s.getsockname()[1] for s in sockets]
    for used in sockets:
        used.close()
    return ports


def _free_block(metrics_port: int) -> int:
    """Returns a second octet under which the port of the metrics is free."""
    while True:
        block = random.randrange(16, 250)
        candidate = socket.socket()
        with candidate, contextlib.suppress(OSError):
            candidate.bind((f"127.{block}.1.1", metrics_port))
            return block


class Machine:
    """One machine of the system with its only process."""

    def __init__(self, name: str, role: str, host: str, zone: str):
        self.name = name
        self.role = role
        self.host = host
        self.zone = zone
        self.process: subprocess.Popen | None = None


class System:
    """Control instances and entries, started as the deploy file says."""

    def __init__(
        self, folder: pathlib.Path, record: Record, controls=3, entries=2
    ):
        self.folder = folder
        self.record = record
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.block = _free_block(9102)
        ports = _free_ports(7)
        self.control_port, self.front_port, self.ready_port = ports[:3]
        self.internal_ports = ports[3:5]
        self.backend_port = ports[5]
        self.foreign_port = ports[6]
        self.controls = [
            Machine(f"core-{n}", "control", f"127.{self.block}.1.{n}", f"z{n}")
            for n in range(1, controls + 1)
        ]
        self.entries = [
            Machine(f"edge-{n}", "entry", f"127.{self.block}.2.{n}", f"z{n}")
            for n in range(1, entries + 1)
        ]

    def start(self, machine: Machine, is_first: bool = False) -> None:
        """Writes the settings of a machine and starts its process."""
        folder = self.folder / machine.name
        folder.mkdir(exist_ok=True)
        role = self.deploy["roles"][machine.role]
        fields = {
            "nodeName": machine.name,
            "zone": machine.zone,
            "ip": machine.host,
            "internalPorts": self.internal_ports,
            "seeds": [
                f"{c.host}:{self.control_port}" for c in self.controls[:3]
            ],
            "bootstrap": is_first,
            "faultTolerance": {"machines": 1},
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "dataDir": str(folder / "data"),
            "listen": {
                "control": f"{machine.host}:{self.control_port}",
                "front": f"{machine.host}:{self.front_port}",
                "readinessAddress": f"{machine.host}:{self.ready_port}",
            },
        }
        settings = folder / "settings"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(_render(template, fields))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["GENTIANWALL_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (folder / "log").open("ab") as log:
            machine.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add(machine.name, "started", pid=machine.process.pid)

    def start_all(self) -> None:
        """Starts all machines for the first time."""
        for machine in [*self.controls, *self.entries]:
            self.start(machine, is_first=True)

    def kill(self, machine: Machine) -> None:
        """Kills the process of a machine."""
        machine.process.kill()
        machine.process.wait()
        self.record.add(machine.name, "killed")

    def stop_all(self) -> None:
        """Kills all processes that still run."""
        for machine in [*self.controls, *self.entries]:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()

    def rpc(
        self, machine: Machine, call: str, body: bytes, timeout_s=1.0
    ) -> tuple[int, bytes]:
        """Sends a call to a control instance; status 0 without an answer."""
        return exchange(
            machine.host,
            self.control_port,
            "POST",
            f"/rpc?call={call}",
            body,
            {"Content-Type": "application/json"},
            timeout_s,
        )

    def is_ready(self, machine: Machine) -> bool:
        """Returns whether an entry answers its readiness check with 200."""
        return (
            exchange(machine.host, self.ready_port, "GET", "/readyz")[0] == 200
        )


def exchange(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
    source: str = "",
) -> tuple[int, bytes]:
    """Sends one request on a new connection; status 0 without an answer."""
    connection = http.client.HTTPConnection(
        host, port, timeout_s, (source, 0) if source else None
    )
    try:
        connection.request(method, path, body or None, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def route(host: str, prefix: str, kind: str, service: str, attempts=2) -> dict:
    """Returns a route of a desired state."""
    return {
        "type": "routes",
        "metadata": {"name": f"r-{service}-{prefix.strip('/')}"},
        "spec": {
            "host": host,
            "pathPrefix": prefix,
            "routeType": kind,
            "timeoutMs": 1500,
            "targetLatencyMs": 500,
            "priority": 1,
            "service": service,
            "maxAttempts": attempts,
        },
    }


def desired_state(
    version: int, routes: list[dict], services, body_bytes: int = 67_108_864
) -> bytes:
    """Returns the body of a desired state."""
    resources = list(routes)
    for name in services:
        spec = {
            "healthPath": "/healthz",
            "maxConns": 260,
            "protocol": "h1",
            "tls": False,
        }
        resources.append(
            {"type": "services", "metadata": {"name": name}, "spec": spec}
        )
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": body_bytes,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    resources.append({"type": "limits", "metadata": {}, "spec": limits})
    body = {"version": f"r{version}", "resources": resources}
    return json.dumps(body, separators=(",", ":")).encode()


class Operator:
    """Sends desired states, each until it is acknowledged."""

    def __init__(self, system: System):
        self._system = system

    def replace(
        self, version: int, body: bytes, limit_s=15.0, timeout_s=1.0
    ) -> float | None:
        """Sends a desired state; returns the seconds to its ack, or None."""
        record = self._system.record
        started_s = record.add("operator", "sends", version=f"r{version}")
        pause_s = 0.1
        while record.now_s() < started_s + limit_s:
            for machine in self._system.controls:
                status, _ = self._system.rpc(
                    machine, "config.replace", body, timeout_s
                )
                at_s = record.add(
                    "operator",
                    "answer",
                    version=f"r{version}",
                    node=machine.name,
                    status=status,
                )
                if status == 200:
                    return at_s - started_s
                if record.now_s() >= started_s + limit_s:
                    break
                time.sleep(pause_s)
                pause_s = min(1.0, 1.5 * pause_s)
        return None


class SlowPath:
    """A path to a control instance that holds up what is sent on it.

    Attributes:
        host: Where the sender connects to.
        port: Its port.
        delay_s: How much later the bytes arrive.
    """

    def __init__(self, system: System, machine: Machine):
        self.delay_s = 0.0
        self._system = system
        self._machine = machine
        listener = socket.socket()
        listener.bind((f"127.{system.block}.4.1", 0))
        listener.listen(16)
        self.host, self.port = listener.getsockname()
        threading.Thread(
            target=self._accept, args=(listener,), daemon=True
        ).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            connection, _ = listener.accept()
            threading.Thread(
                target=self._carry, args=(connection,), daemon=True
            ).start()

    def _carry(self, connection: socket.socket) -> None:
        """Carries one call; its sender may give up meanwhile."""
        target = socket.create_connection(
            (self._machine.host, self._system.control_port)
        )
        try:
            data = _read_call(connection)
            time.sleep(self.delay_s)
            self._system.record.add(
                "network", "delivers a report", node=self._machine.name
            )
            target.sendall(data)
            connection.settimeout(1.0)
            target.settimeout(1.0)
            connection.sendall(target.recv(65536))
        except OSError:
            pass
        finally:
            _close(connection)
            _close(target)


class Backend:
    """A backend: answers requests and reports itself.

    Attributes:
        ran: Time and request id of each request whose work began.
        is_up: Whether it accepts connections.
        on_run: Called with each request that it begins to run; may end it.
        send: Sends an answer with connection, path, body and headers; returns
            whether the connection stays open.
    """

    def __init__(
        self,
        system: System,
        name: str,
        service: str,
        number: int,
        work_s: float = 0.03,
        slots: int = 4,
    ):
        self.system = system
        self.record = system.record
        self.name = name
        self.service = service
        self.host = f"127.{system.block}.3.{number}"
        self.port = system.backend_port
        self.work_s = work_s
        self.slots = slots
        self.ran: list[tuple[float, str]] = []
        self.on_run: Callable[[Backend, str, str], None] | None = None
        self.send: Callable[..., bool] = _send_framed
        self.is_up = False
        self.is_beating = False
        self.state = "ready"
        self.born_ms = 0
        self.sequence = 0
        self.acked_s: dict[str, float] = {}
        self._listener: socket.socket | None = None
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._running = 0

    @property
    def running(self) -> int:
        """The number of requests that it runs."""
        return self._running

    @property
    def address(self) -> str:
        """The address that it reports."""
        return f"{self.host}:{self.port}"

    def start(self, is_beating: bool = True) -> None:
        """Starts a new boot."""
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self._running = 0
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(256)
        self._listener = listener
        self.is_up = True
        self.is_beating = is_beating
        self.record.add(self.name, "started", born=self.born_ms)
        threading.Thread(
            target=self._accept, args=(listener,), daemon=True
        ).start()
        threading.Thread(
            target=self._beat, args=(self.born_ms,), daemon=True
        ).start()

    def crash(self) -> None:
        """Ends at once; all connections are reset."""
        self.is_up = False
        self.is_beating = False
        with self._lock:
            connections, self._connections = self._connections, set()
        _close(self._listener)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            _close(connection)
        self.record.add(self.name, "crashed")

    def beat_body(self, state: str | None = None) -> bytes:
        """Returns the body of the next liveness report."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": "z1",
                "version": "v1",
                "maxConcurrency": self.slots,
                "state": state or self.state,
                "warmupLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born_ms,
            }
        ).encode()

    def report(self, controls: list[Machine] | None = None) -> bool:
        """Sends a liveness report, to the next node after a failure."""
        body = self.beat_body()
        state = self.state
        for machine in controls or self._shuffled():
            status, _ = self.system.rpc(
                machine, f"instances.heartbeat&of={self.name}", body
            )
            if 200 <= status < 300:
                if state not in self.acked_s:
                    at_s = self.record.add(
                        self.name, "report acked", state=state
                    )
                    self.acked_s[state] = at_s
                return True
        return False

    def report_by(self, path: SlowPath) -> bool:
        """Sends a liveness report on a path; returns whether it was acked."""
        at_s = self.record.add(self.name, "sends a report", state=self.state)
        status, _ = exchange(
            path.host,
            path.port,
            "POST",
            f"/rpc?call=instances.heartbeat&of={self.name}",
            self.beat_body(),
            {"Content-Type": "application/json"},
        )
        self.record.add(
            self.name, "answer to the report", status=status, sent=f"{at_s:.3f}"
        )
        return 200 <= status < 300

    def deregister(self, limit_s: float = 5.0) -> bool:
        """Deregisters itself; returns whether that was acknowledged."""
        body = json.dumps({"born": self.born_ms}).encode()
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            for machine in self._shuffled():
                status, _ = self.system.rpc(
                    machine, f"instances.deregister&of={self.name}", body
                )
                if 200 <= status < 300:
                    at_s = self.record.add(self.name, "deregister acked")
                    self.acked_s["gone"] = at_s
                    return True
        return False

    def _shuffled(self) -> list[Machine]:
        return random.sample(self.system.controls, len(self.system.controls))

    def _beat(self, born_ms: int) -> None:
        while self.is_beating and self.born_ms == born_ms:
            self.report()
            time.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            with connection.makefile("rb") as stream:
                while self._serve_one(connection, stream):
                    pass
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
            _close(connection)

    def _serve_one(self, connection: socket.socket, stream) -> bool:
        start = stream.readline()
        if not start:
            return False
        method, path, _ = start.decode("latin-1").split(" ", 2)
        headers = {}
        while line := stream.readline().strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = stream.read(int(headers.get("content-length", 0)))
        request_id = headers.get("x-gentianwall-request-id", "")
        if path == "/healthz":
            connection.sendall(self.answer(200, b"", {}))
            return True
        echo = {"X-Gentianwall-Request-Id": request_id}
        expected = headers.get("x-gentianwall-expect-instance", self.name)
        if expected != self.name:
            self.record.add(self.name, "refuses", status=421, id=request_id)
            echo["X-Gentianwall-Not-Executed"] = "1"
            connection.sendall(self.answer(421, b"", echo))
            return True
        at_s = self.record.add(
            self.name, "runs", id=request_id, method=method, path=path
        )
        with self._lock:
            self.ran.append((at_s, request_id))
            self._running += 1
        if self.on_run is not None:
            self.on_run(self, request_id, path)
        time.sleep(self.work_s)
        with self._lock:
            self._running -= 1
        digest = hashlib.sha256(body).hexdigest()[:8]
        echo["X-Gentianwall-Server-Stamp"] = f"stamp.{request_id}"
        text = f"{self.name} {path} {digest}".encode()
        return self.send(self, connection, path, text, echo)

    def answer(
        self, status: int, body: bytes, headers: dict, has_length: bool = True
    ) -> bytes:
        """Returns the bytes of an answer with the load report."""
        lines = [
            f"HTTP/1.1 {status} X",
            *([f"Content-Length: {len(body)}"] if has_length else []),
            f"X-Gentianwall-Instance-Id: {self.name}",
            f"X-Gentianwall-Server-Load: {self._running},0,{self.slots},100",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _send_framed(
    backend: Backend,
    connection: socket.socket,
    path: str,
    body: bytes,
    headers: dict,
) -> bool:
    """Sends an answer with its length."""
    connection.sendall(backend.answer(200, body, headers))
    return True


class Clients:
    """Send requests at a constant rate, each on a new connection.

    Attributes:
        answers: Time of sending, id and status of each request.
        bodies: Body of each answer, by the id of its request.
    """

    def __init__(
        self,
        system: System,
        kind: str,
        method: str,
        host: str,
        path: Callable[[int], str],
        per_s: float,
        deadline_ms: int = 1200,
    ):
        self.answers: list[tuple[float, str, int]] = []
        self.bodies: dict[str, bytes] = {}
        self._system = system
        self._kind = kind
        self._method = method
        self._host = host
        self._path = path
        self._per_s = per_s
        self._deadline_ms = deadline_ms
        self._is_running = False

    def start(self) -> None:
        """Starts to send."""
        self._is_running = True
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stops sending; requests that were sent are still answered."""
        self._is_running = False

    def _run(self) -> None:
        number = 0
        due_s = time.monotonic()
        while self._is_running:
            number += 1
            threading.Thread(
                target=self._send, args=(number,), daemon=True
            ).start()
            due_s += 1.0 / self._per_s
            time.sleep(max(0.0, due_s - time.monotonic()))

    def _send(self, number: int) -> None:
        system = self._system
        entry = system.entries[number % len(system.entries)]
        request_id = f"{self._kind}-{number}-{random.getrandbits(32):08x}"
        path = self._path(number)
        at_s = system.record.add(
            "client", "sends", id=request_id, node=entry.name, path=path
        )
        headers = {
            "Host": self._host,
            "X-Gentianwall-Request-Id": request_id,
            "X-Gentianwall-Deadline-Ms": str(self._deadline_ms),
        }
        body = b"order" if self._method == "POST" else b""
        status, content = exchange(
            entry.host,
            system.front_port,
            self._method,
            path,
            body,
            headers,
            self._deadline_ms / 1000.0,
            f"127.{system.block}.5.{number % 200 + 1}",
        )
        system.record.add(
            "client",
            "answer",
            id=request_id,
            status=status,
            bytes=len(content),
        )
        self.bodies[request_id] = content
        self.answers.append((at_s, request_id, status))


def wait_until(what: str, condition: Callable[[], bool], limit_s=20.0) -> None:
    """Waits until a condition holds.

    Raises:
        NotRunError: It did not hold in time.
    """
    end_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end_s:
            raise NotRunError(what)
        time.sleep(0.05)


@contextlib.contextmanager
def running_system(
    folder: pathlib.Path, controls=3, entries=2
) -> Iterator[System]:
    """Runs a system in a temporary folder and ends it with the context."""
    record = Record(folder)
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    system = System(temporary, record, controls, entries)
    try:
        system.start_all()
        yield system
    finally:
        system.stop_all()
        record.write()
        if os.environ.get("KEEP"):
            print("kept", temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)


def is_trouble() -> bool:
    """Returns whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Callable[[], bool]) -> None:
    """Runs a case, which returns whether the rule held, and exits."""
    try:
        held = case()
    except Exception as error:  # noqa: BLE001 - the exit code 1 has a meaning
        print(f"could not run: {type(error).__name__}: {error}", flush=True)
        os._exit(EXIT_NOT_RUN)
    print("the rule held" if held else "the rule was broken")
    sys.stdout.flush()
    os._exit(EXIT_HELD if held else EXIT_BROKEN)


def _read_call(connection: socket.socket) -> bytes:
    """Reads a call with its body."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += connection.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(re.search(rb"(?i)content-length: *(\d+)", head).group(1))
    while len(body) < length:
        body += connection.recv(65536)
    return head + b"\r\n\r\n" + body


def _close(connection: socket.socket | None) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    with contextlib.suppress(OSError):
        connection.close()
