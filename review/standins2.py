"""Stand-ins for the platform, its clients and its servers, on loopback.

The programs under test are started with the commands of the deploy file, as
separate processes, with the settings that its templates describe. Servers run
in processes of their own (`python3 review/standins2.py server FILE`), so that
they can be killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "jepu9.example"
HEARTBEAT_S = 1.5
LONG_ANSWER_BYTES = 90_000
MACHINE_MEMORY_MB = {"entry": 733, "control": 296}
MACHINE_DESCRIPTORS = {"entry": 10933, "control": 4096}


class NotRunError(Exception):
    """The case cannot run: the system did not start as it should."""


def is_disturbed() -> bool:
    """Returns whether the disruption of a case is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the time in seconds."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w")
        self.started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line."""
        elapsed_s = time.monotonic() - self.started_s
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()


# HTTP/1.1, as far as the stand-ins need it.


@attrs.define
class Message:
    """A request or an answer; header names are in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split()[1])


async def read_message(reader, is_answer: bool = False) -> Message | None:
    """Reads a complete message; None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return Message(lines[0], headers, body)


def render(first_line: str, headers: dict[str, str], body: bytes) -> bytes:
    """Returns the bytes of a message."""
    lines = [first_line, f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def exchange(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 3.0,
    source: str | None = None,
) -> Message | None:
    """Sends a request on a new connection; None if it got no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, local_addr=(source, 0) if source else None
            )
            first_line = f"{method} {path} HTTP/1.1"
            headers = {"Host": HOST, **(headers or {})}
            writer.write(render(first_line, headers, body))
            return await read_message(reader)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()


# The platform.


@attrs.define
class Machine:
    """A machine with one process of the system."""

    name: str
    role: str
    zone: str
    ip: str
    folder: pathlib.Path
    process: subprocess.Popen | None = None


def _fill_in(line: str, values: dict[str, object]) -> str:
    for key, value in values.items():
        line = line.replace("{{" + key + "|json}}", json.dumps(value))
        if isinstance(value, int | float):
            line = line.replace("{{" + key + "}}", str(value))
    return line


def _render_template(text: str, values: dict[str, object]) -> str:
    """Fills in a settings template of the deploy file."""
    lines = []
    for line in text.splitlines():
        if line.startswith("{{#"):
            key, _, rest = line[3:].partition("}}")
            if key not in values:
                continue
            rest = rest[: rest.rindex("{{/")]
            lines.append(rest.replace("{{.}}", json.dumps(values[key])))
            continue
        lines.append(_fill_in(line, values))
    return "\n".join(lines) + "\n"


class Platform:
    """Starts, stops and ends the processes of a small deployment.

    Args:
        zones: Names of the failure domains.
        controls: Number of machines of the class `core`.
        entries: Number of machines of the class `edge`.
    """

    def __init__(self, zones: tuple[str, ...], controls: int, entries: int):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="gentianwall-"))
        self.block = 64 + os.getpid() % 128
        ports = _free_ports(7)
        self.front_port, self.readiness_port, self.control_port = ports[:3]
        self.internal_ports = ports[3:5]
        self.server_port = ports[5]
        with (ROOT / "deploy/system.toml").open("rb") as file:
            self.deploy = tomllib.load(file)
        self.controls = self._machines("control", 1, controls, zones)
        self.entries = self._machines("entry", 2, entries, zones)
        self._servers: list[subprocess.Popen] = []

    def _machines(self, role, network, count, zones) -> list[Machine]:
        machines = []
        for number in range(1, count + 1):
            name = f"{role}-{number}"
            folder = self.folder / name
            (folder / "data").mkdir(parents=True)
            zone = zones[(number - 1) % len(zones)]
            ip = f"127.{self.block}.{network}.{number}"
            machines.append(Machine(name, role, zone, ip, folder))
        return machines

    def start(self, machine: Machine, is_first_start: bool = False) -> None:
        """Starts the process of a machine with its settings."""
        role = self.deploy["roles"][machine.role]
        seeds = [f"{c.ip}:{self.control_port}" for c in self.controls[:3]]
        values = {
            "nodeName": machine.name,
            "zone": machine.zone,
            "ip": machine.ip,
            "internalPorts.0": self.internal_ports[0],
            "internalPorts.1": self.internal_ports[1],
            "seeds": seeds,
            "bootstrap": is_first_start,
            "faultTolerance.machines": 1,
            "heartbeatMs": 1500,
            "bounds.graceS": 6.0,
            "bounds.retryRatio": 0.2,
            "bounds.retrySlack": 64.0,
            "bounds.retryWindowS": 10.0,
            "limits.memoryMb": MACHINE_MEMORY_MB[machine.role],
            "limits.maxFds": MACHINE_DESCRIPTORS[machine.role],
            "listen.control": f"{machine.ip}:{self.control_port}",
            "listen.front": f"{machine.ip}:{self.front_port}",
            "listen.readinessAddress": f"{machine.ip}:{self.readiness_port}",
            "dataDir": str(machine.folder / "data"),
        }
        template = (ROOT / role["template"]).read_text()
        # Each machine has an address of its own, so the port may be the same.
        settings = machine.folder / "settings.toml"
        settings.write_text(_render_template(template, values))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(machine.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GENTIANWALL_NODE_FILE": str(settings),
        }
        with (machine.folder / "log").open("ab") as log:
            machine.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def kill(self, machine: Machine) -> None:
        """Kills the process of a machine."""
        machine.process.kill()
        machine.process.wait()

    def start_servers(self, servers: list[dict], log: pathlib.Path):
        """Starts one process that runs some servers; returns the process."""
        content = {
            "servers": servers,
            "controls": [[c.ip, self.control_port] for c in self.controls],
            "log": str(log),
        }
        file = self.folder / f"servers-{len(self._servers)}.json"
        file.write_text(json.dumps(content))
        process = subprocess.Popen(
            [sys.executable, __file__, "server", str(file)],
            stdin=subprocess.DEVNULL,
        )
        self._servers.append(process)
        return process

    def end(self) -> None:
        """Ends all processes that were started."""
        processes = [m.process for m in [*self.controls, *self.entries]]
        for process in [*processes, *self._servers]:
            if process is not None and process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    # What the operator and the servers' platform say.

    async def call_control(
        self, call: str, content: dict | None, machine=None, timeout_s=1.0
    ) -> Message | None:
        """Calls a control machine, the first one that answers by default."""
        body = b"" if content is None else json.dumps(content).encode()
        headers = {"Content-Type": "application/json"}
        for control in [machine] if machine else self.controls:
            answer = await exchange(
                control.ip,
                self.control_port,
                "POST",
                f"/rpc?call={call}",
                headers,
                body,
                timeout_s,
            )
            if answer is not None and answer.status < 500:
                return answer
        return None

    async def apply(self, desired_state: dict, limit_s: float = 25.0) -> None:
        """Sends a desired state until it is acknowledged."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            answer = await self.call_control("config.replace", desired_state)
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.2)
        raise NotRunError("the desired state is not acknowledged")

    async def is_ready(self, machine: Machine) -> bool:
        """Returns whether an entry says that it is ready."""
        answer = await exchange(
            machine.ip, self.readiness_port, "GET", "/readyz", timeout_s=1.0
        )
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, limit_s: float = 25.0) -> None:
        """Waits until all entries say that they are ready."""
        end_s = time.monotonic() + limit_s
        for machine in self.entries:
            while not await self.is_ready(machine):
                if time.monotonic() > end_s:
                    raise NotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)

    async def request(
        self,
        machine: Machine,
        request_id: str,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 1200,
        source: str | None = None,
        key: str = "",
    ) -> Message | None:
        """Sends a client's request; None if it got no answer in its time."""
        headers = {
            "X-Gentianwall-Request-Id": request_id,
            "X-Gentianwall-Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers["Authorization"] = f"Bearer {key}"
        return await exchange(
            machine.ip,
            self.front_port,
            method,
            path,
            headers,
            body,
            deadline_ms / 1000.0,
            source,
        )


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind(("127.0.0.1", 0))
            ports.append(sock.getsockname()[1])
        return ports


def route(name, prefix, kind, service, timeout_ms=1200, target_ms=400) -> dict:
    """Returns a route of a desired state."""
    spec = {
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }
    return {"type": "routes", "metadata": {"name": name}, "spec": spec}


def service(name) -> dict:
    """Returns a service of a desired state."""
    spec = {
        "healthPath": "/healthz",
        "maxConns": 260,
        "protocol": "h1",
        "tls": False,
    }
    return {"type": "services", "metadata": {"name": name}, "spec": spec}


def tenant(name: str, key: str) -> dict:
    """Returns a tenant of a desired state, without a limit."""
    spec = {"apiKeys": [key]}
    return {"type": "tenants", "metadata": {"name": name}, "spec": spec}


def desired_state(version: int, *resources: dict) -> dict:
    """Returns a complete desired state."""
    spec = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    limits = {"type": "limits", "metadata": {}, "spec": spec}
    return {"version": f"r{version}", "resources": [*resources, limits]}


# Servers.


class Server:
    """A server that answers as the pages say, and reports itself."""

    def __init__(self, spec: dict, controls: list, log):
        self.id = spec["id"]
        self.service = spec["service"]
        self.host, self.port = spec["host"], spec["port"]
        self.zone = spec["zone"]
        self.slots = spec.get("slots", 2)
        self.work_s = spec.get("work_ms", 100) / 1000.0
        # A request of this path crashes the process that begins to run it, if
        # it comes from this tenant where one is named.
        self.crash_path = spec.get("crash_path", "")
        self.crash_tenant = spec.get("crash_tenant", "")
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        # Whether it crashes in the middle of its answer, not before it.
        self.crashes_midway = spec.get("crashes_midway", False)
        # Share of its answers in which the load is spoiled.
        self.spoiled_share = spec.get("spoiled_share", 0.0)
        self._slots = asyncio.Semaphore(self.slots)
        self._controls = controls
        self._log = log

    def _write(self, text: str) -> None:
        self._log.write(f"{time.monotonic():.3f} {self.id} {text}\n")
        self._log.flush()

    async def run(self) -> None:
        """Serves and reports until the process ends."""
        await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        turn = 0
        while True:
            self.sequence += 1
            content = {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "maxConcurrency": self.slots,
                "state": "ready",
                "warmupLeftMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            is_acked = False
            for _ in self._controls:
                host, port = self._controls[turn % len(self._controls)]
                answer = await exchange(
                    host,
                    port,
                    "POST",
                    f"/rpc?call=instances.heartbeat&of={self.id}",
                    {"Content-Type": "application/json"},
                    json.dumps(content).encode(),
                    1.0,
                )
                if answer is not None and answer.status == 200:
                    is_acked = True
                    break
                turn += 1
            self._write(f"report {'acknowledged' if is_acked else 'failed'}")
            await asyncio.sleep(HEARTBEAT_S if is_acked else 0.3)

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, OSError):
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                writer.write(await self._answer(request, writer))
                await writer.drain()
        writer.close()

    def _load(self) -> str:
        load = f"{self.running},{self.waiting},{self.slots}"
        if random.random() < self.spoiled_share:
            self._write("spoils the load of an answer")
            return f"{load},nan"
        return f"{load},100"

    async def _send_half(self, headers: dict[str, str], writer) -> None:
        """Sends the head and half of the body of a long answer."""
        await asyncio.sleep(self.work_s)
        answer = render("HTTP/1.1 200 OK", headers, bytes(LONG_ANSWER_BYTES))
        writer.write(answer[: -LONG_ANSWER_BYTES // 2])
        await writer.drain()
        await asyncio.sleep(0.05)

    async def _answer(self, request: Message, writer) -> bytes:
        _, path, _ = request.first_line.split()
        headers = {"X-Gentianwall-Instance-Id": self.id}
        if path == "/healthz":
            headers["X-Gentianwall-Server-Load"] = self._load()
            return render("HTTP/1.1 200 OK", headers, b"")
        request_id = request.headers.get("x-gentianwall-request-id", "")
        headers["X-Gentianwall-Request-Id"] = request_id
        headers["X-Gentianwall-Server-Stamp"] = f"{self.id}.{request_id}"
        expected = request.headers.get("x-gentianwall-expect-instance", "")
        if expected not in ("", self.id):
            headers["X-Gentianwall-Not-Executed"] = "1"
            line = "HTTP/1.1 421 Misdirected Request"
            return render(line, headers, b"")
        if self.running + self.waiting >= self.slots + 4:
            headers["X-Gentianwall-Not-Executed"] = "1"
            headers["X-Gentianwall-Server-Load"] = self._load()
            return render("HTTP/1.1 503 Full", headers, b"")
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            tenant = request.headers.get("x-gentianwall-tenant-id", "")
            self._write(f"runs {request_id} {path} {tenant}")
            if path == self.crash_path and tenant == self.crash_tenant:
                if self.crashes_midway:
                    await self._send_half(headers, writer)
                self._write(f"crashes {request_id}")
                os._exit(1)
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        headers["X-Gentianwall-Server-Load"] = self._load()
        body = f"{self.id} {request_id} {path}".encode()
        return render("HTTP/1.1 200 OK", headers, body)


async def _run_servers(path: str) -> None:
    content = json.loads(pathlib.Path(path).read_text())
    with open(content["log"], "a") as log:
        servers = [
            Server(spec, content["controls"], log)
            for spec in content["servers"]
        ]
        await asyncio.gather(*(server.run() for server in servers))


# RULES.md, CONFIG: "In steady state, machines in touch get 20 or more requests
# on routes that were added later, and serve them less than a quarter as often
# as those on the first routes."
LEAST_ON_ADDED_ROUTES = 20
ADDED_ROUTES_SHARE = 0.25
# The steady state begins this long after the last disturbance: three times the
# `stableWindowMs` of the site.
STEADY_AFTER_S = 9.0


@attrs.frozen
class Outcome:
    """When a request was sent, and whether it was served."""

    sent_s: float
    is_served: bool


def neglects_added_routes(
    record: Record,
    first: list[Outcome],
    added: list[Outcome],
    disturbed_until_s: float,
) -> bool:
    """Returns whether routes that were added later are hardly served.

    Args:
        record: The record, which gets the figures.
        first: Outcomes of the requests on the first routes.
        added: Outcomes of those on the routes that were added later.
        disturbed_until_s: When the last disturbance ended.
    """
    steady_s = disturbed_until_s + STEADY_AFTER_S
    shares, counts = [], []
    for outcomes in (first, added):
        steady = [o.is_served for o in outcomes if o.sent_s >= steady_s]
        if not steady:
            raise NotRunError("no request was sent in the steady state")
        counts.append(len(steady))
        shares.append(sum(steady) / len(steady))
    record.write(
        f"steady state: {counts[0]} requests on the first routes, "
        f"{shares[0]:.3f} served; {counts[1]} on those that were added later, "
        f"{shares[1]:.3f} served"
    )
    if shares[0] < 0.5:
        raise NotRunError("the first routes are hardly served")
    return (
        counts[1] >= LEAST_ON_ADDED_ROUTES
        and shares[1] < ADDED_ROUTES_SHARE * shares[0]
    )


def run_case(folder: pathlib.Path, case) -> int:
    """Runs a case; returns its exit code.

    Args:
        folder: Folder of the case.
        case: Coroutine function that gets the record and returns the code.
    """
    record = Record(folder)
    # Ends what was started also when the case itself is stopped.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    try:
        code = asyncio.run(case(record))
    except NotRunError as error:
        record.write(f"not run: {error}")
        print(f"not run: {error}", file=sys.stderr)
        code = NOT_RUN
    except Exception:  # noqa: BLE001 - a fault of the case is no broken rule
        record.write(traceback.format_exc())
        traceback.print_exc()
        code = NOT_RUN
    record.write({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    return code


if __name__ == "__main__" and sys.argv[1:2] == ["server"]:
    asyncio.run(_run_servers(sys.argv[2]))
