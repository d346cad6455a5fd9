"""Runs a fleet as processes on loopback, with clients and fake servers.

The protocol is described on the platform's page "What gentianwall speaks":
for servers in "Backends" and "Service discovery", for operators in "The
operator's API" and for callers in "Requests". The ports are the same on all
machines, so each simulated machine has its own address in 127.0.0.0/8.
"""

from __future__ import annotations

import contextlib
import hashlib
import http.client
import http.server
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator

import attrs

CONTROL_PORT = 9544
CALLERS_PORT = 9548
READINESS_PORT = 9542
CONTROL_LINK_PORT = 9540
LINK_PORT = 9555
PEER_PORT = 9554
METRICS_PORT = 9102
SERVER_PORT = 9080
SERVERS_PREFIX = "127.0.3."
HOST = "shop.example"
START_TIMEOUT_S = 15.0


class FleetError(AssertionError):
    """The fleet did not reach an expected condition in time."""


def wait_until(
    what: str, condition: Callable[[], bool], limit_s=START_TIMEOUT_S
) -> float:
    """Waits until a condition holds and returns the elapsed seconds."""
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_s > limit_s:
            raise FleetError(f"condition not met within {limit_s} s: {what}")
        time.sleep(0.02)
    return time.monotonic() - started_s


@attrs.define
class Answer:
    """An HTTP answer; status 0 if none was received."""

    status: int
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""


def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> Answer:
    """Sends one request on a new connection."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        content = answer.read()
        return Answer(answer.status, dict(answer.getheaders()), content)
    except (OSError, http.client.HTTPException):
        return Answer(0)
    finally:
        connection.close()


@attrs.define
class FakeServer:
    """A fake server that stamps its answers and records its executions.

    Attributes:
        service_s: Service time of a request.
        limit_per_s: Limit that it names in its answers; None for none.
        zone: Its failure domain.
        cold_until_s: Until when it is cold, by the monotonic clock.
        states_warmup: Whether its health answers state that.
        is_leaving: Whether it says in all its answers that it leaves.
        padding_bytes: Bytes that it adds to its answers to GET.
        rest_until_s: It turns requests away and asks for rest until then, by
            the monotonic clock.
        turned_away: Time and request id of each request that it turned away.
        checked_at_s: Time of each health check.
        executed_ids: The ids of all requests whose execution began, in order.
        executed_at_s: When the execution of each of them began.
        finished_ids: The ids of all requests whose execution has ended.
        expected_instances: The expected instance that each of them names.
        body_digests: SHA-256 of the body of each of them, by id.
    """

    name: str
    service: str
    host: str
    service_s: float = 0.02
    limit_per_s: float | None = None
    zone: str = "z"
    cold_until_s: float = float("-inf")
    states_warmup: bool = False
    is_leaving: bool = False
    padding_bytes: int = 0
    rest_until_s: float = float("-inf")
    turned_away: list[tuple[float, str]] = attrs.field(factory=list)
    checked_at_s: list[float] = attrs.field(factory=list)
    executed_ids: list[str] = attrs.field(factory=list)
    executed_at_s: list[float] = attrs.field(factory=list)
    finished_ids: list[str] = attrs.field(factory=list)
    expected_instances: list[str | None] = attrs.field(factory=list)
    body_digests: dict[str, str] = attrs.field(factory=dict)
    _started_ms: int = attrs.field(factory=lambda: int(time.time() * 1000))
    _sequence: int = 0
    _running_requests: int = 0

    def handler(self) -> type[http.server.BaseHTTPRequestHandler]:
        """Returns a handler class that answers for this server."""
        fake_server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args) -> None:
                """Logs nothing."""

            def do_GET(self) -> None:
                """Answers a request or a health check."""
                size = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(size)
                expected_name = self.headers.get(
                    "X-Gentianwall-Expect-Instance"
                )
                if self.path == "/healthz":
                    fake_server.checked_at_s.append(time.monotonic())
                    self._send(200, b"", {})
                elif expected_name not in (None, fake_server.name):
                    self._send(421, b"", {"X-Gentianwall-Not-Executed": "1"})
                elif time.monotonic() < fake_server.rest_until_s:
                    self._turn_away()
                else:
                    self._execute(body)

            do_POST = do_GET

            def _turn_away(self) -> None:
                now_s = time.monotonic()
                request_id = self.headers["X-Gentianwall-Request-Id"]
                fake_server.turned_away.append((now_s, request_id))
                rest_s = fake_server.rest_until_s - now_s
                headers = {
                    "X-Gentianwall-Request-Id": request_id,
                    "X-Gentianwall-Server-Stamp": f"stamp-{request_id}",
                    "X-Gentianwall-Not-Executed": "1",
                    "Retry-After": f"{max(0.001, rest_s):.3f}",
                }
                self._send(503, b"", headers)

            def _execute(self, body: bytes) -> None:
                request_id = self.headers["X-Gentianwall-Request-Id"]
                digest = hashlib.sha256(body).hexdigest()
                fake_server.body_digests[request_id] = digest
                fake_server._running_requests += 1
                fake_server.executed_ids.append(request_id)
                fake_server.executed_at_s.append(time.monotonic())
                fake_server.expected_instances.append(
                    self.headers["X-Gentianwall-Expect-Instance"]
                )
                time.sleep(fake_server.service_s)
                fake_server._running_requests -= 1
                fake_server.finished_ids.append(request_id)
                stamp_headers = {
                    "X-Gentianwall-Request-Id": request_id,
                    "X-Gentianwall-Server-Stamp": f"stamp-{request_id}",
                }
                if fake_server.limit_per_s is not None:
                    stamp_headers["Server-Limit"] = f"{fake_server.limit_per_s}"
                body = f"{fake_server.name} {self.path}".encode()
                if self.command == "GET":
                    body += bytes(fake_server.padding_bytes)
                self._send(200, body, stamp_headers)

            def _send(self, status, body, headers) -> None:
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.send_header("X-Gentianwall-Instance-Id", fake_server.name)
                load = f"{fake_server._running_requests},0,4,100"
                self.send_header("X-Gentianwall-Server-Load", load)
                if self.path == "/healthz" and fake_server.states_warmup:
                    left_ms = str(fake_server.warmup_left_ms())
                    self.send_header("X-Gentianwall-Warmup-Ms", left_ms)
                if fake_server.is_leaving:
                    self.send_header("Server-Leaving", "1")
                for name, value in headers.items():
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(body)

        return Handler

    def warmup_left_ms(self) -> int:
        """Returns for how long the server is still cold."""
        left_s = self.cold_until_s - time.monotonic()
        return max(0, int(1000 * left_s)) if left_s > 0 else 0

    def heartbeat(self, state: str = "ready") -> bytes:
        """Returns the body of the next heartbeat."""
        self._sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.host}:{SERVER_PORT}",
                "zone": self.zone,
                "version": "v1",
                "maxConcurrency": 4,
                "state": state,
                "warmupLeftMs": self.warmup_left_ms(),
                "sequence": self._sequence,
                "born": self._started_ms,
            }
        ).encode()

    def deregistration(self) -> bytes:
        """Returns the body of the deregistration."""
        return json.dumps({"born": self._started_ms}).encode()


class _HttpServer(http.server.ThreadingHTTPServer):
    """An HTTP server that ignores connections that callers abort."""

    def handle_error(self, request, client_address) -> None:
        """Reports all errors except connection errors."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


@contextlib.contextmanager
def running_server(server: FakeServer) -> Iterator[FakeServer]:
    """Runs a fake server while the context lasts."""
    address = (server.host, SERVER_PORT)
    http_server = _HttpServer(address, server.handler())
    thread = threading.Thread(target=http_server.serve_forever, daemon=True)
    thread.start()
    try:
        yield server
    finally:
        http_server.shutdown()
        http_server.server_close()


@attrs.define
class Node:
    """One process of the fleet.

    Attributes:
        folder: Contains the settings, the log and, for control, the data.
    """

    host: str
    role: str
    folder: pathlib.Path
    process: subprocess.Popen | None = None


def platform_command(settings: pathlib.Path) -> list[str]:
    """Returns the platform's command, which does not name the settings file.

    The process finds the file by the environment variable that `start` sets.
    """
    return ["gentianwall.platform"]


def product_command(settings: pathlib.Path) -> list[str]:
    """Returns the command that uses the product's own names and formats."""
    return ["gentianwall", "fleet", "--settings", str(settings)]


class Fleet:
    """Control instances and entries as processes.

    Attributes:
        rerouted_hosts: By the host of a process, the prefixes of hosts that it
            does not connect to directly, and what replaces them.

    Args:
        folder: Contains the folders of all processes.
        controls: Number of control instances.
        entries: Number of entries.
        block: Second octet of all addresses; keeps fleets apart.
        command: Returns the command line for a settings file.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        controls: int,
        entries: int,
        block: int = 0,
        command: Callable[[pathlib.Path], list[str]] = platform_command,
    ):
        self.folder = folder
        self.command = command
        self.rerouted_hosts: dict[str, dict[str, str]] = {}
        self.control_settings: list[str] = []
        self.entry_settings: list[str] = []
        self.controls = [
            Node(f"127.{block}.1.{n}", "control", folder / f"c{n}")
            for n in range(1, controls + 1)
        ]
        self.entries = [
            Node(f"127.{block}.2.{n}", "entry", folder / f"e{n}")
            for n in range(1, entries + 1)
        ]

    def start(self, node: Node, is_first_start: bool = False) -> None:
        """Writes the settings of a process and starts it."""
        node.folder.mkdir(parents=True, exist_ok=True)
        seeds = [f"{c.host}:{CONTROL_PORT}" for c in self.controls[:3]]
        lines = [
            f'name = "{node.folder.name}"',
            f'role = "{node.role}"',
            'failure_domain = "z"',
            f'host = "{node.host}"',
            f"link_port = {LINK_PORT}",
            f"control_link_port = {CONTROL_LINK_PORT}",
            f"seeds = {json.dumps(seeds)}",
            f"metrics_port = {METRICS_PORT}",
            f"is_first_start = {json.dumps(is_first_start)}",
        ]
        if node.role == "entry":
            lines += self.entry_settings
            lines += [
                f'callers_address = "{node.host}:{CALLERS_PORT}"',
                f'readiness_address = "{node.host}:{READINESS_PORT}"',
                f"peer_port = {PEER_PORT}",
            ]
        else:
            lines += self.control_settings
            lines += [
                f'control_address = "{node.host}:{CONTROL_PORT}"',
                f'data_folder = "{node.folder / "data"}"',
            ]
        settings = node.folder / "settings.toml"
        settings.write_text("\n".join(lines) + "\n")
        command = self.command(settings)
        environment = {**os.environ, "GENTIANWALL_NODE_FILE": str(settings)}
        if node.host in self.rerouted_hosts:
            command = ["harness.rerouted_process", *command]
            environment["REROUTED_HOSTS"] = json.dumps(
                self.rerouted_hosts[node.host]
            )
        with (node.folder / "log").open("ab") as log:
            node.process = subprocess.Popen(
                [sys.executable, "-m", *command],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def kill(self, node: Node) -> None:
        """Kills a process with SIGKILL."""
        node.process.kill()
        node.process.wait()

    def wipe(self, node: Node) -> None:
        """Removes the data folder of a stopped control instance."""
        shutil.rmtree(node.folder / "data")

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        node.process.send_signal(number)

    def kill_all(self) -> None:
        """Kills all running processes of the fleet."""
        for node in [*self.controls, *self.entries]:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()

    def replace_configuration(
        self, node: Node, document: dict, timeout_s=3.0
    ) -> int:
        """Sends a configuration to a control instance; returns the status."""
        return self._rpc(
            node, "config.replace", json.dumps(document).encode(), timeout_s
        ).status

    def read(self, node: Node, timeout_s=3.0) -> Answer:
        """Reads the configuration from a control instance."""
        return self._rpc(node, "config.get", b"", timeout_s)

    def send_heartbeat(
        self, node: Node, server: FakeServer, state="ready"
    ) -> int:
        """Sends a server's next heartbeat to a control instance."""
        return self.deliver_heartbeat(node, server, server.heartbeat(state))

    def deliver_heartbeat(
        self, node: Node, server: FakeServer, body: bytes
    ) -> int:
        """Sends a heartbeat that may have been made earlier."""
        query = f"instances.heartbeat&of={server.name}"
        return self._rpc(node, query, body).status

    def deregister(self, node: Node, server: FakeServer) -> int:
        """Deregisters a server at a control instance."""
        query = f"instances.deregister&of={server.name}"
        return self._rpc(node, query, server.deregistration()).status

    def set_evacuation(
        self, node: Node, zone: str, is_evacuated: bool, timeout_s=1.5
    ) -> int:
        """Starts or finishes an evacuation; returns the status."""
        name = "start" if is_evacuated else "finish"
        query = f"evacuations.{name}&of={zone}"
        return self._rpc(node, query, b"", timeout_s).status

    def _rpc(self, node, query, body, timeout_s=3.0) -> Answer:
        path = f"/rpc?call={query}"
        return call(
            node.host, CONTROL_PORT, "POST", path, body, timeout_s=timeout_s
        )

    def send_request(
        self, node: Node, request_id: str, path="/orders/x", method="POST"
    ) -> Answer:
        """Sends a caller's request to an entry."""
        headers = {
            "Host": HOST,
            "X-Gentianwall-Request-Id": request_id,
            "X-Gentianwall-Deadline-Ms": "2000",
        }
        body = b"order" if method == "POST" else b""
        return call(node.host, CALLERS_PORT, method, path, body, headers)

    def is_ready(self, node: Node) -> bool:
        """Returns whether an entry reports that it is ready."""
        return call(node.host, READINESS_PORT, "GET", "/readyz").status == 200


def replace_configuration_until_acknowledged(
    fleet: Fleet,
    number: int,
    nodes: list[Node] | None = None,
    service: str = "orders",
) -> None:
    """Sends a configuration of one route until it is acknowledged."""
    send_document_until_acknowledged(
        fleet, document(number, service), nodes, timeout_s=1.0
    )


def send_document_until_acknowledged(
    fleet: Fleet,
    content: dict,
    nodes: list[Node] | None = None,
    timeout_s: float = 3.0,
) -> None:
    """Sends a configuration until a control instance acknowledges it."""
    nodes = nodes or fleet.controls
    wait_until(
        f"configuration {content['version']} is acknowledged",
        lambda: any(
            fleet.replace_configuration(node, content, timeout_s) == 200
            for node in nodes
        ),
    )


def set_evacuation_until_acknowledged(
    fleet: Fleet, zone: str, is_evacuated: bool, limit_s: float = 4.0
) -> None:
    """Starts or finishes an evacuation as an operator does, in 4 s at most."""
    wait_until(
        f"evacuation of {zone} is acknowledged",
        lambda: any(
            fleet.set_evacuation(node, zone, is_evacuated) == 200
            for node in fleet.controls
            if node.process.poll() is None
        ),
        limit_s,
    )


def send_heartbeat_until_acknowledged(
    fleet: Fleet, server: FakeServer, state: str = "ready"
) -> None:
    """Sends heartbeats of a server until one is acknowledged."""
    wait_until(
        f"{server.name}: a heartbeat is acknowledged",
        lambda: any(
            fleet.send_heartbeat(n, server, state) == 200
            for n in fleet.controls
        ),
    )


def wait_until_serving(fleet: Fleet) -> None:
    """Waits until each entry has answered a request successfully."""
    for entry in fleet.entries:
        wait_until(
            f"{entry.host} answers with status 200",
            lambda entry=entry: fleet.send_request(entry, "warm").status == 200,
        )


@contextlib.contextmanager
def running_fleet(
    folder: pathlib.Path,
    controls: int,
    entries: int,
    rerouted_hosts: dict[str, dict[str, str]] | None = None,
) -> Iterator[Fleet]:
    """Runs a fleet with a configuration while the context lasts."""
    fleet = Fleet(folder, controls, entries)
    fleet.rerouted_hosts = rerouted_hosts or {}
    try:
        for node in [*fleet.entries, *fleet.controls]:
            fleet.start(node, is_first_start=True)
        replace_configuration_until_acknowledged(fleet, 1)
        yield fleet
    finally:
        fleet.kill_all()


@contextlib.contextmanager
def registered_server(fleet: Fleet) -> Iterator[FakeServer]:
    """Runs one server and waits until all entries dispatch to it."""
    with running_server(FakeServer("i-1", "orders", "127.0.3.1")) as server:
        send_heartbeat_until_acknowledged(fleet, server)
        wait_until_serving(fleet)
        yield server


@contextlib.contextmanager
def registered_servers(
    fleet: Fleet, count: int, server_class: type[FakeServer] = FakeServer
) -> Iterator[list[FakeServer]]:
    """Runs servers and waits until all entries dispatch to one of them."""
    with contextlib.ExitStack() as stack:
        servers = []
        for number in range(1, count + 1):
            server = server_class(
                f"i-{number}", "orders", f"{SERVERS_PREFIX}{number}"
            )
            stack.enter_context(running_server(server))
            send_heartbeat_until_acknowledged(fleet, server)
            servers.append(server)
        wait_until_serving(fleet)
        yield servers


def load_entries(
    fleet: Fleet, until_s: float, requests_per_s: float
) -> list[int]:
    """Sends requests to all entries at once; returns the statuses.

    The ids of the requests begin with the host of the entry.

    Args:
        fleet: The fleet.
        until_s: When to stop, by the monotonic clock.
        requests_per_s: At most this many requests a second to each entry.
    """
    statuses = []

    def load(entry: Node) -> None:
        while time.monotonic() < until_s:
            request_id = f"{entry.host}-{time.monotonic_ns()}"
            statuses.append(fleet.send_request(entry, request_id).status)
            time.sleep(1.0 / requests_per_s)

    threads = [
        threading.Thread(target=load, args=(entry,)) for entry in fleet.entries
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def document(
    number: int, service: str = "orders", warmup_per_s: float = 0.0
) -> dict:
    """Returns a configuration with one route to a service.

    Args:
        number: Number of the configuration.
        service: Name of the service.
        warmup_per_s: Requests a second that a cold server takes; 0 for no
            limit.
    """
    route = {
        "host": HOST,
        "pathPrefix": "/orders/",
        "routeType": "non_idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }
    spec = {"healthPath": "/healthz", "maxConns": 99}
    if warmup_per_s:
        spec |= {"warmupS": 5, "warmupPerS": warmup_per_s}
    return {
        "version": f"r{number}",
        "resources": [
            {"type": "routes", "metadata": {"name": "r"}, "spec": route},
            {"type": "services", "metadata": {"name": service}, "spec": spec},
            {"type": "limits", "metadata": {}, "spec": {}},
        ],
    }
