"""Tests with real processes that servers see organisations, and never keys.

One fleet serves all tests, since its configurations are numbered.
"""

from __future__ import annotations

import contextlib
import itertools
import socket
import time

import attrs
import pytest

from harness.fleet import (
    CALLERS_PORT,
    HOST,
    METRICS_PORT,
    SERVER_PORT,
    SERVERS_PREFIX,
    FakeServer,
    call,
    document,
    registered_servers,
    running_fleet,
    wait_until,
)
from soak.proxy import Partition, Proxy

KEYS = ("key-acme-1", "key-acme-2", "key-emca-1")
PROXIES_PREFIX = "127.0.12."
SERVERS = 2
_ids = itertools.count(1)


@attrs.define
class RecordingServer(FakeServer):
    """Records the headers of requests; refuses the first one if it should.

    Attributes:
        received: Headers of each request by id, names in lower case.
    """

    received: dict[str, list[tuple[str, str]]] = attrs.field(factory=dict)

    def handler(self):
        """Returns the handler class of a fake server that records headers."""
        fake_server = self

        class Handler(super().handler()):
            def do_GET(self) -> None:
                """Records the headers, then answers as usual."""
                request_id = self.headers["X-Gentianwall-Request-Id"] or ""
                fake_server.received[request_id] = [
                    (name.lower(), value)
                    for name, value in self.headers.items()
                ]
                super().do_GET()

            do_POST = do_GET

        return Handler


@attrs.define
class Setup:
    """A fleet whose second entry reaches the servers through proxies."""

    fleet: object
    servers: list[RecordingServer]
    proxies: list[Proxy]
    number: int = 1
    acme: tuple[str, ...] = ()

    def configure(self, acme=KEYS[:2]) -> None:
        """Puts a configuration and waits until it is in force everywhere."""
        self.number, self.acme = self.number + 1, acme
        content = document(self.number)
        route = content["resources"][0]
        for path, changes in (
            ("/public/", {"public": True}),
            ("/safe/", {"routeType": "safe"}),
        ):
            spec = {**route["spec"], "pathPrefix": path, **changes}
            metadata = {"name": path.strip("/")}
            content["resources"].append({**route, "metadata": metadata})
            content["resources"][-1]["spec"] = spec
        for name, keys in (("acme", acme), ("emca", KEYS[2:])):
            spec = {"apiKeys": list(keys)}
            organisation = {"type": "tenants", "metadata": {"name": name}}
            content["resources"].append({**organisation, "spec": spec})
        wait_until(
            f"configuration {self.number} is acknowledged",
            lambda: any(
                self.fleet.replace_configuration(node, content) == 200
                for node in self.fleet.controls
            ),
        )
        wait_until(
            f"configuration {self.number} is in force",
            lambda: all(
                self.metric(entry, "configuration_number") == self.number
                for entry in self.fleet.entries
            ),
        )

    def metric(self, node, name, default=0.0) -> float:
        """Returns the value of a metric of a process."""
        text = call(node.host, METRICS_PORT, "GET", "/metrics").body.decode()
        for line in text.splitlines():
            if line.startswith(f"gentianwall_{name} "):
                return float(line.split()[1])
        return default

    def received(self, request_id) -> list[list[tuple[str, str]]]:
        """Returns the headers of a request at all servers that it reached."""
        return [
            server.received[request_id]
            for server in self.servers
            if request_id in server.received
        ]


@pytest.fixture(scope="module")
def setup(tmp_path_factory):
    """Three control instances, two entries and two servers."""
    folder = tmp_path_factory.mktemp("fleet")
    with contextlib.ExitStack() as stack:
        proxies = []
        for number in range(1, SERVERS + 1):
            addresses = (
                f"{PROXIES_PREFIX}{number}",
                f"{SERVERS_PREFIX}{number}",
            )
            proxies.append(Proxy(*addresses, SERVER_PORT))
            stack.callback(proxies[-1].close)
        rerouted = {"127.0.2.2": {SERVERS_PREFIX: PROXIES_PREFIX}}
        fleet = stack.enter_context(running_fleet(folder, 3, 2, rerouted))
        servers = stack.enter_context(
            registered_servers(fleet, SERVERS, RecordingServer)
        )
        yield Setup(fleet, servers, proxies)


@pytest.fixture
def configured(setup):
    """The fleet with all keys in force."""
    if setup.acme != KEYS[:2]:
        setup.configure()
    return setup


class Caller:
    """A connection to an entry on which requests may be pipelined."""

    def __init__(self, entry):
        self._socket = socket.create_connection((entry.host, CALLERS_PORT), 5.0)
        self._file = self._socket.makefile("rb")

    def send(
        self, *lines: str, path="/orders/x", body="5\r\norder\r\n0\r\n\r\n"
    ) -> str:
        """Sends a request with further header lines; returns its id."""
        request_id = f"r-{next(_ids)}"
        head = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Gentianwall-Request-Id: {request_id}",
            "X-Gentianwall-Deadline-Ms: 4000",
            "Transfer-Encoding: chunked",
            *lines,
        ]
        text = "\r\n".join(head) + "\r\n\r\n" + body
        self._socket.sendall(text.encode("latin-1"))
        return request_id

    def read(self) -> tuple[int, dict[str, str]]:
        """Reads the next answer: status and headers, names in lower case."""
        status = int(self._file.readline().split()[1])
        headers = {}
        while line := self._file.readline().strip():
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        self._file.read(int(headers["content-length"]))
        return status, headers

    def close(self) -> None:
        """Closes the connection."""
        self._file.close()
        self._socket.close()


@pytest.fixture
def connect():
    """A function that connects to an entry; closes the connections."""
    with contextlib.ExitStack() as stack:

        def connect(entry):
            caller = Caller(entry)
            stack.callback(caller.close)
            return caller

        yield connect


def _assert_no_key(headers, organisation):
    names = [name for name, _ in headers]
    assert "authorization" not in names
    assert not any(key in value for _, value in headers for key in KEYS)
    stated = [value for name, value in headers if name.endswith("tenant-id")]
    assert stated == ([organisation] if organisation else [])


FORGED = "X-Gentianwall-Tenant-Id: emca"
TRAILER = "0\r\nAuthorization: Bearer key-acme-1\r\n\r\n"


@pytest.mark.parametrize(
    ("lines", "options", "status", "organisation"),
    [
        (["AUTHORIZATION: bearer  key-emca-1 "], {}, 200, "emca"),
        (
            [
                "authorization:Bearer key-acme-2",
                FORGED,
                FORGED.lower(),
                "Connection: X-Gentianwall-Tenant-Id, Authorization",
            ],
            {},
            200,
            "acme",
        ),
        (
            [
                FORGED,
                "aUTHORIZATION: Bearer key-acme-1",
                "Authorization: Basic",
            ],
            {"path": "/public/x"},
            200,
            "",
        ),
        ([FORGED], {}, 401, ""),
        ([FORGED], {"body": TRAILER}, 401, ""),
        (["Authorization: Bearer key-acme-1", "authorization: x"], {}, 401, ""),
        (["Authorization: Bearer key-acme-1"], {"path": "/none"}, 404, ""),
    ],
)
def test_servers_receive_the_organisation_and_never_a_key(
    configured, connect, lines, options, status, organisation
):
    """Guards against keys or forged names that reach servers in any shape."""
    caller = connect(configured.fleet.entries[0])
    request_id = caller.send(*lines, **options)
    answered, headers = caller.read()
    assert answered == status
    assert ("www-authenticate" in headers) == (status == 401)
    received = configured.received(request_id)
    assert len(received) == (status == 200)
    for at_server in received:
        _assert_no_key(at_server, organisation)


def test_a_removed_key_is_refused_on_open_connections(configured, connect):
    key = "Authorization: Bearer key-acme-1"
    callers = [connect(entry) for entry in configured.fleet.entries]
    for caller in callers:
        caller.send(key)
        assert caller.read()[0] == 200
    configured.configure(acme=KEYS[1:2])
    for caller in callers:
        request_id = caller.send(key)
        status, headers = caller.read()
        assert status == 401
        assert not configured.received(request_id)
        # The body of a refused request is not read.
        assert headers["connection"] == "close"
    for entry in configured.fleet.entries:
        caller = connect(entry)
        caller.send("Authorization: Bearer key-acme-2")
        assert caller.read()[0] == 200


def test_a_held_request_is_identified_when_it_would_start(configured, connect):
    """Guards against a check at the arrival of a pipelined request alone."""
    key = "Authorization: Bearer key-acme-1"
    caller = connect(configured.fleet.entries[0])
    for server in configured.servers:
        server.service_s = 1.5
    try:
        running = caller.send(key)
        held = caller.send(key)
        wait_until("the first one runs", lambda: configured.received(running))
        configured.configure(acme=KEYS[1:2])
        assert caller.read()[0] == 200
        assert caller.read()[0] == 401
    finally:
        for server in configured.servers:
            server.service_s = 0.02
    assert not configured.received(held)


def test_a_retry_carries_the_organisation_and_no_key(configured, connect):
    caller = connect(configured.fleet.entries[0])
    for server in configured.servers:
        server.rest_until_s = time.monotonic() + 0.2
        request_id = caller.send(
            "Authorization: Bearer key-emca-1", path="/safe/x"
        )
        caller.read()
        wait_until(
            "the rest is over",
            lambda server=server: time.monotonic() > server.rest_until_s + 0.1,
        )
        for at_server in configured.received(request_id):
            _assert_no_key(at_server, "emca")
    turned_away = {
        request_id
        for server in configured.servers
        for _, request_id in server.turned_away
    }
    retried = [
        request_id
        for request_id in turned_away
        if len(configured.received(request_id)) == 2
    ]
    assert retried


def test_a_relayed_request_carries_the_organisation_and_no_key(
    configured, connect
):
    first, partitioned = configured.fleet.entries
    for proxy in configured.proxies:
        proxy.begin_partition(Partition.RESET)
    try:

        def is_partitioned() -> bool:
            caller = connect(partitioned)
            caller.send("Authorization: Bearer key-acme-1")
            caller.read()
            return configured.metric(partitioned, "is_partitioned") == 1

        wait_until("the entry is partitioned", is_partitioned)
        caller = connect(partitioned)
        relayed = caller.send(
            "Authorization: Bearer key-acme-1", "X-Gentianwall-Tenant-Id: emca"
        )
        assert caller.read()[0] == 200
        public = caller.send(
            "Authorization: Bearer key-acme-1",
            "X-Gentianwall-Tenant-Id: emca",
            path="/public/x",
        )
        assert caller.read()[0] == 200
        refused = caller.send("X-Gentianwall-Tenant-Id: emca")
        assert caller.read()[0] == 401
    finally:
        for proxy in configured.proxies:
            proxy.end_partition()
    for request_id, organisation in ((relayed, "acme"), (public, "")):
        (at_server,) = configured.received(request_id)
        _assert_no_key(at_server, organisation)
    assert not configured.received(refused)


def test_lines_and_metrics_contain_no_key_and_count_refusals(
    configured, connect
):
    entry = configured.fleet.entries[0]
    caller = connect(entry)
    caller.send("Authorization: Bearer key-unknown-1")
    assert caller.read()[0] == 401
    metrics = call(entry.host, METRICS_PORT, "GET", "/metrics").body.decode()
    assert 'reason="unauthenticated"' in metrics
    assert configured.metric(entry, "organisations") == 2
    logs = [
        (node.folder / "log").read_text()
        for node in [*configured.fleet.entries, *configured.fleet.controls]
    ]
    assert any("reason=unauthenticated" in text for text in logs)
    for text in [*logs, metrics]:
        assert "key-acme" not in text
        assert "key-unknown" not in text
