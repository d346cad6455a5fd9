"""Runs entries, control instances and servers as processes on loopback."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator

import attrs
import tomli_w

from gentianwall.commands import apply as applying
from gentianwall.ctl.client import OperatorClient, Reply
from gentianwall.links.keys import make_keys
from harness.relay import Relay

ROOT = pathlib.Path(__file__).parent.parent
DECLARATION = (ROOT / "harness" / "declaration.toml").read_text()
READY_TIMEOUT_S = 20.0
FIRST_PORT = 12_000
LAST_PORT = 32_000
_allocated_ports: set[int] = set()


@attrs.frozen
class Answer:
    """An HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def executed(self) -> str:
        """The header that states whether a server executed the call."""
        return self.headers.get("gentianwall-executed", "")


def free_port() -> int:
    """Returns an unused port that was not returned before.

    It lies below the ephemeral range, so that no outgoing connection takes it
    before the process listens.
    """
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in _allocated_ports:
            continue
        _allocated_ports.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 15.0,
) -> Answer:
    """Sends one request on a new connection."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        content = response.read()
        answer_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return Answer(response.status, answer_headers, content)
    finally:
        connection.close()


def wait_until(condition, what: str, limit_s: float = READY_TIMEOUT_S) -> None:
    """Waits until a condition holds; after a connection error, checks again."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if condition():
                return
        time.sleep(0.02)
    raise AssertionError(f"condition not met within {limit_s} s: {what}")


class Cluster:
    """Entries, control instances and servers as processes.

    The settings, data, logs and keys lie in a new temporary folder.

    Args:
        entries: Number of entries.
        controls: Number of control instances.
        has_relays: Whether links between instances go through relays.
        is_secured: Whether tokens and link keys are required.
        settings: Further settings of all instances.
    """

    def __init__(
        self,
        entries: int,
        controls: int,
        has_relays: bool = False,
        is_secured: bool = False,
        settings: dict | None = None,
    ):
        self.relays: dict[str, Relay] = {}
        self.token = ""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="gentianwall-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.commands: dict[str, list[str]] = {}
        self.instances = [
            self._instance_settings(f"entry-{n}", "entry")
            for n in range(entries)
        ] + [
            self._instance_settings(f"control-{n}", "control")
            for n in range(controls)
        ]
        if has_relays:
            self.relays = {
                i["name"]: Relay(
                    free_port(), int(i["link_address"].split(":")[1])
                )
                for i in self.instances
            }
        security = self._write_credentials() if is_secured else {}
        for instance in self.instances:
            instance_settings = {
                **security,
                **(settings or {}),
                "instance": instance["name"],
                "data_folder": f"data-{instance['name']}",
                "instances": [
                    self._instance_seen_by(instance["name"], other)
                    for other in self.instances
                ],
            }
            path = self.folder / f"{instance['name']}.toml"
            path.write_text(tomli_w.dumps(instance_settings))

    def _write_credentials(self) -> dict:
        """Generates tokens and keys; returns the settings that name them."""
        self.token = secrets.token_hex(16)
        token_file = self.folder / "operator-token"
        token_file.write_text(self.token)
        token_file.chmod(0o600)
        tokens = self.folder / "server-tokens"
        tokens.mkdir()
        (tokens / "die-ledger").write_text("die-ledger-token\n")
        for instance in self.instances:
            make_keys(str(self.folder / "keys"), instance["name"])
        return {
            "operator_token_file": "operator-token",
            "server_token_folder": "server-tokens",
            "links": {"key_folder": "keys"},
        }

    def _instance_seen_by(self, name: str, other: dict) -> dict:
        """Returns an instance with the link address that `name` connects to."""
        relay = self.relays.get(other["name"])
        if relay is None or other["name"] == name:
            return other
        return other | {"link_address": f"127.0.0.1:{relay.port}"}

    def _instance_settings(self, name: str, role: str) -> dict:
        instance = {
            "name": name,
            "role": role,
            "failure_domain": f"domain-{name[-1]}",
            "link_address": f"127.0.0.1:{free_port()}",
            "operators_address": f"127.0.0.1:{free_port()}",
        }
        if role == "entry":
            instance["callers_address"] = f"127.0.0.1:{free_port()}"
        return instance

    def names(self, role: str) -> list[str]:
        """Returns the names of all instances with a role."""
        return [i["name"] for i in self.instances if i["role"] == role]

    def address(
        self, name: str, address_option: str = "callers_address"
    ) -> str:
        """Returns an address from the settings of an instance."""
        found = next(i for i in self.instances if i["name"] == name)
        return found[address_option]

    def client(self) -> OperatorClient:
        """Returns an operator client for all entries."""
        addresses = [
            self.address(name, "operators_address")
            for name in self.names("entry")
        ]
        return OperatorClient(tuple(addresses), self.token)

    def start(
        self, declaration: str = DECLARATION, without: tuple[str, ...] = ()
    ) -> None:
        """Bootstraps the cluster, starts it and applies a declaration.

        Args:
            declaration: The declaration to apply.
            without: Instances that are not started; the declaration stays
                unconfirmed by them.
        """
        first = self.names("control")[0]
        command = [sys.executable, "-m", "gentianwall", "found"]
        command += ["--settings", str(self.folder / f"{first}.toml")]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
        for instance in self.instances:
            if instance["name"] not in without:
                self.start_instance(instance["name"])
        wait_until(
            lambda: self.members() == set(self.names("control")),
            "all control instances are members",
        )
        wait_s = 3.0 if without else READY_TIMEOUT_S
        result = applying.apply(
            self.client(), declaration, "harness", 0, "", wait_s
        )
        assert result.missing == without, result
        wait_until(self.is_ready, "all entries are ready")

    def members(self) -> set[str]:
        """Returns the members that the leader reports."""
        status = self.status()
        return set(status["members"]) if status else set()

    def status(self) -> dict | None:
        """Returns the status, or None while no leader answers."""
        reply = self.client().get("/v1/status")
        is_successful = isinstance(reply, Reply) and reply.status == 200
        return reply.content if is_successful else None

    def replica_status(self, name: str) -> dict:
        """Returns the replica status that a control instance reports."""
        address = self.address(name, "operators_address")
        return json.loads(call(address, "GET", "/v1/replica").body)

    def apply(
        self, price: int, base_version: int | None = None, change_id: str = ""
    ) -> applying.ApplyResult:
        """Applies the declaration with another price for its first tier."""
        text = DECLARATION.replace("price = 5", f"price = {price}")
        return applying.apply(
            self.client(),
            text,
            "harness",
            base_version,
            change_id,
            READY_TIMEOUT_S,
        )

    def leader(self) -> str:
        """Waits for a leader and returns its name."""
        found: list[str] = []

        def has_leader() -> bool:
            status = self.status()
            if status:
                found.append(status["leader"])
            return bool(found)

        wait_until(has_leader, "a leader answers")
        return found[-1]

    def is_ready(self) -> bool:
        """Returns whether every running entry is ready."""
        return all(
            call(self.address(name), "GET", "/readyz").status == 200
            for name in self.names("entry")
            if self.is_running(name)
        )

    def start_instance(self, name: str) -> None:
        """Starts an instance, or restarts it after it has ended."""
        settings = str(self.folder / f"{name}.toml")
        command = ["-m", "gentianwall", "--settings", settings]
        self._start(name, command)

    def start_server(self, name: str, service: str, *options: str) -> None:
        """Starts the example server, which announces itself to all entries."""
        entries = [self.address(n) for n in self.names("entry")]
        command = [str(ROOT / "examples" / "standin_server.py")]
        command += ["--name", name, "--service", service]
        command += ["--entries", ",".join(entries)]
        command += ["--log-path", str(self.folder / "executions.log")]
        self._start(name, [*command, *options])

    def restart_server(self, name: str) -> None:
        """Starts a stopped server with its previous options."""
        self._start(name, self.commands[name])

    def _start(self, name: str, command: list[str]) -> None:
        self.commands[name] = command
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *command],
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def is_running(self, name: str) -> bool:
        """Returns whether a process was started and has not ended."""
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of the cluster."""
        os.kill(self.processes[name].pid, number)

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def wipe(self, name: str) -> None:
        """Empties the data folder of a control instance that was killed."""
        shutil.rmtree(self.folder / f"data-{name}")

    def executions(self) -> dict[str, int]:
        """Counts the executions of all servers by method, path and key."""
        counts: dict[str, int] = {}
        path = self.folder / "executions.log"
        if path.exists():
            for line in path.read_text().splitlines():
                request = line.split("\t")[1]
                counts[request] = counts.get(request, 0) + 1
        return counts

    def known_servers(self, entry: str, service: str) -> set[str]:
        """Returns the servers of a service that an entry reports as up."""
        address = self.address(entry, "operators_address")
        headers = {"Authorization": f"Bearer {self.token}"}
        answer = call(address, "GET", "/v1/servers", None, headers)
        content = json.loads(answer.body)
        return {
            s["server"]
            for s in content["servers"]
            if s["service"] == service and s["state"] == "up"
        }

    def wait_for_servers(self, service: str, names: set[str]) -> None:
        """Waits until every running entry has exactly these servers."""
        wait_until(
            lambda: all(
                self.known_servers(entry, service) == names
                for entry in self.names("entry")
                if self.is_running(entry)
            ),
            f"all entries have servers {sorted(names)} of {service}",
        )

    def close(self) -> None:
        """Kills all processes, closes the relays and removes the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for relay in self.relays.values():
            relay.close()
        shutil.rmtree(self.folder, ignore_errors=True)


@contextlib.contextmanager
def open_cluster(
    entries: int, controls: int, declaration: str = DECLARATION
) -> Iterator[Cluster]:
    """Starts a cluster and closes it at the end of the context."""
    cluster = Cluster(entries, controls)
    try:
        cluster.start(declaration)
        yield cluster
    finally:
        cluster.close()
