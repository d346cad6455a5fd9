"""Tests that no request ends without an answer in a planned stop.

Bodies on kept connections are complete at several times after the signal. There
are no bounds on times: each request is either served or refused as not run.
"""

from __future__ import annotations

import contextlib
import copy
import signal
import socket
import threading
import time

import pytest

from gentianwall.core.refusals import Executed, RefusalReason
from gentianwall.runtime.relay_headers import RELAY_HEADER, decode_outcome
from harness import cluster as listed
from harness.fleet import (
    CALLERS_PORT,
    HOST,
    PEER_PORT,
    FakeServer,
    Fleet,
    document,
    replace_configuration_until_acknowledged,
    running_server,
    send_document_until_acknowledged,
    send_heartbeat_until_acknowledged,
    wait_until,
    wait_until_serving,
)

BLOCK = 201
GRACE_S = 4.0
SERVICE_S = 0.9
BODY = b"order"
WAIT_MS = 2000
# Longer than the grace period.
PATIENT_MS = 20_000
# Times after the signal at which bodies are complete; None for never.
LAST_BYTES_S = (0.3, 1.2, 2.0, 2.7, 2.9, 3.1, 3.3, 3.6, 3.8, None)
ROUTES = ("/orders/x", "/reads/x")


def _document():
    content = document(1)
    # An attempt at a server that works for longer would count as overdue.
    content["resources"][0]["spec"]["targetLatencyMs"] = 1000
    safe = copy.deepcopy(content["resources"][0])
    safe["metadata"]["name"] = "safe"
    safe["spec"] |= {
        "pathPrefix": "/reads/",
        "routeType": "safe",
        "timeoutMs": PATIENT_MS,
    }
    content["resources"].insert(1, safe)
    return content


@pytest.fixture
def servers():
    """Servers that work for a while on each request."""
    with contextlib.ExitStack() as stack:
        yield [
            stack.enter_context(
                running_server(
                    FakeServer(
                        f"i-{number}",
                        "orders",
                        f"127.{BLOCK}.3.{number}",
                        service_s=SERVICE_S,
                    )
                )
            )
            for number in range(1, 5)
        ]


@pytest.fixture
def fleet(tmp_path, servers):
    """One entry that is told to stop, and its control instance."""
    fleet = Fleet(tmp_path, 1, 1, BLOCK)
    fleet.entry_settings = [f"grace_s = {GRACE_S}"]
    try:
        for node in (*fleet.controls, *fleet.entries):
            fleet.start(node, is_first_start=True)
        send_document_until_acknowledged(fleet, _document())
        for server in servers:
            send_heartbeat_until_acknowledged(fleet, server)
        wait_until_serving(fleet)
        yield fleet
    finally:
        fleet.kill_all()


class _Caller:
    """A connection whose request lacks the last byte of its body."""

    def __init__(
        self,
        host: str,
        path: str,
        last_byte_s: float | None,
        wait_ms: int = WAIT_MS,
        port: int = CALLERS_PORT,
    ):
        self.request_id = f"{path[1:]}-{last_byte_s}"
        self.last_byte_s = last_byte_s
        self.received = b""
        self.sock = socket.create_connection((host, port), 15.0)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Gentianwall-Request-Id: {self.request_id}\r\n"
            f"X-Gentianwall-Deadline-Ms: {wait_ms}\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n"
        )
        self.sock.sendall(head.encode() + BODY[:-1])

    def complete(self) -> None:
        """Sends the last byte; the connection may be closed by then."""
        with contextlib.suppress(OSError):
            self.sock.sendall(BODY[-1:])

    def read_to_end(self) -> None:
        """Reads whatever the entry sends until it closes the connection."""
        with contextlib.suppress(ConnectionError):
            while data := self.sock.recv(65536):
                self.received += data
        self.sock.close()

    @property
    def status(self) -> int:
        """Status of a complete answer; 0 for none."""
        head, _, body = self.received.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        is_complete = int(fields.get("content-length", -1)) == len(body)
        return int(lines[0].split()[1]) if is_complete else 0


# Requests that came late in the grace period were passed on, and then cut.
def test_a_late_request_is_answered_or_refused_as_not_run(fleet, servers):
    (entry,) = fleet.entries
    callers = [
        _Caller(entry.host, path, last_byte_s)
        for last_byte_s in LAST_BYTES_S
        for path in ROUTES
    ]
    # The entry has read what was sent once it answers a later request.
    assert fleet.send_request(entry, "after").status == 200
    fleet.signal(entry, signal.SIGTERM)
    stopped_s = time.monotonic()
    for caller in callers:
        if caller.last_byte_s is not None:
            left_s = stopped_s + caller.last_byte_s - time.monotonic()
            time.sleep(max(0.0, left_s))
            caller.complete()
    for caller in callers:
        caller.read_to_end()
    assert entry.process.wait(timeout=15.0) == 0
    executed = [name for server in servers for name in server.executed_ids]
    outcomes = {
        caller.request_id: (caller.status, executed.count(caller.request_id))
        for caller in callers
    }
    allowed = {(200, 1), (503, 0)}
    assert not {
        name: outcome
        for name, outcome in outcomes.items()
        if outcome not in allowed
    }
    assert (200, 1) in outcomes.values()


# The connection was closed without an answer.
def test_a_request_that_runs_at_the_end_is_answered(fleet, servers):
    (entry,) = fleet.entries
    for server in servers:
        server.service_s = 2.0 * GRACE_S
    caller = _Caller(entry.host, ROUTES[1], 0.0, PATIENT_MS)
    caller.complete()
    wait_until(
        "the request runs",
        lambda: any(
            caller.request_id in server.executed_ids for server in servers
        ),
    )
    fleet.signal(entry, signal.SIGTERM)
    caller.read_to_end()
    assert caller.status == 504
    assert entry.process.wait(timeout=15.0) == 0


# The entry ended as soon as no caller was connected.
def test_a_connection_of_a_peer_is_answered_before_the_entry_ends(fleet):
    (entry,) = fleet.entries
    peer = _Caller(entry.host, ROUTES[0], 2.5, port=PEER_PORT)
    assert fleet.send_request(entry, "after").status == 200
    fleet.signal(entry, signal.SIGTERM)
    time.sleep(peer.last_byte_s)
    peer.complete()
    peer.read_to_end()
    # Nothing is relayed without the header about it.
    assert peer.status == 400
    assert entry.process.wait(timeout=15.0) == 0


# The refusal did not name the outcome, so the peer took the request for lost.
def test_a_peer_learns_that_a_request_that_was_not_received_has_not_run(fleet):
    (entry,) = fleet.entries
    peer = _Caller(entry.host, ROUTES[0], None, port=PEER_PORT)
    assert fleet.send_request(entry, "after").status == 200
    fleet.signal(entry, signal.SIGTERM)
    peer.read_to_end()
    assert peer.status == 503
    head = peer.received.partition(b"\r\n\r\n")[0].decode()
    headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:])
    outcome = decode_outcome(headers.get(RELAY_HEADER.decode(), ""))
    assert outcome is not None
    assert outcome.refusal.executed is Executed.NO
    assert outcome.refusal.reason is RefusalReason.NOT_READY
    # An empty id would make it the answer to another request.
    assert "Gentianwall-Request-Id" not in headers


@contextlib.contextmanager
def _slow_caller(entry, *options):
    """Connects a caller with a small receive buffer and further options.

    Most of an answer is still to be sent when the entry has written it.
    """
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        for option in options:
            sock.setsockopt(*option)
        sock.settimeout(15.0)
        sock.connect((entry.host, CALLERS_PORT))
        yield sock


def _wait_until_running(servers, request_id):
    wait_until(
        "the request runs",
        lambda: any(request_id in server.executed_ids for server in servers),
    )


def _read_rest(sock):
    """Returns what is received until the connection ends."""
    received = b""
    with contextlib.suppress(ConnectionError):
        while data := sock.recv(4096):
            received += data
    return received


# The close with an unread request reset the connection, and what the kernel had
# not sent of the answer was lost.
def test_an_answer_is_whole_if_a_further_request_was_sent(fleet, servers):
    (entry,) = fleet.entries
    for server in servers:
        server.padding_bytes = 300_000
    head = (
        f"GET {ROUTES[0]} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Gentianwall-Request-Id: %s\r\nContent-Length: %d\r\n\r\n"
    )
    with _slow_caller(entry) as sock:
        sock.sendall((head % ("first", 0)).encode())
        _wait_until_running(servers, "first")
        # More than the entry reads while another request runs.
        sock.sendall((head % ("second", 100_000)).encode() + bytes(100_000))
        fleet.signal(entry, signal.SIGTERM)
        time.sleep(2.0 * SERVICE_S)
        received = _read_rest(sock)
    received_head, _, body = received.partition(b"\r\n\r\n")
    assert len(body) > 300_000, received_head


# Answers that the kernel had not taken when the entry ended were cut.
def test_an_answer_is_whole_if_it_is_read_after_the_end(fleet, servers):
    (entry,) = fleet.entries
    for server in servers:
        server.padding_bytes = 300_000
    # The kernel's buffers begin as small as on a network.
    segments = (socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
    with _slow_caller(entry, segments) as sock:
        sock.sendall(
            f"GET {ROUTES[1]} HTTP/1.1\r\nHost: {HOST}\r\n"
            "X-Gentianwall-Request-Id: slow\r\n"
            f"X-Gentianwall-Deadline-Ms: {PATIENT_MS}\r\n\r\n".encode()
        )
        _wait_until_running(servers, "slow")
        fleet.signal(entry, signal.SIGTERM)
        assert entry.process.wait(timeout=15.0) == 0
        received = _read_rest(sock)
    _, _, body = received.partition(b"\r\n\r\n")
    assert len(body) > 300_000


# The request was sent after the last part of the answer had been written, when
# nothing was read any more, and the close reset the connection.
def test_an_answer_is_whole_if_a_request_is_sent_while_it_is_read(
    fleet, servers
):
    (entry,) = fleet.entries
    for server in servers:
        server.padding_bytes = 300_000
    head = (
        f"GET {ROUTES[0]} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Gentianwall-Request-Id: %s\r\n\r\n"
    )
    with _slow_caller(entry) as sock:
        sock.sendall((head % "first").encode())
        _wait_until_running(servers, "first")
        fleet.signal(entry, signal.SIGTERM)
        received = sock.recv(4096)
        # The kernel has taken what the entry has written.
        time.sleep(0.3)
        with contextlib.suppress(ConnectionError):
            sock.sendall((head % "second").encode())
            time.sleep(0.1)
        received += _read_rest(sock)
    received_head, _, body = received.partition(b"\r\n\r\n")
    assert len(body) > 300_000, received_head
    assert not any("second" in server.executed_ids for server in servers)


@pytest.fixture
def listed_entry():
    """A cluster with an entry at a listed address."""
    cluster = listed.Cluster(1, 1)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.close()


# The entry ended as soon as no call ran.
def test_a_listed_entry_answers_every_connection_before_it_ends(listed_entry):
    host, port = listed_entry.address("entry-0").split(":")
    caller = _Caller(host, "/die-ledger/x", 2.5, port=int(port))
    assert listed.call(f"{host}:{port}", "GET", "/readyz").status == 200
    listed_entry.signal("entry-0", signal.SIGTERM)
    time.sleep(caller.last_byte_s)
    caller.complete()
    caller.read_to_end()
    # There is no server.
    assert caller.status == 503
    assert listed_entry.processes["entry-0"].wait(timeout=15.0) == 0


@pytest.fixture
def controls(tmp_path):
    """Three control instances, of which only the first one still runs."""
    fleet = Fleet(tmp_path, 3, 0, BLOCK + 1)
    fleet.control_settings = [f"grace_s = {GRACE_S}"]
    try:
        for node in fleet.controls:
            fleet.start(node, is_first_start=True)
        replace_configuration_until_acknowledged(fleet, 1)
        for node in fleet.controls[1:]:
            fleet.kill(node)
        yield fleet
    finally:
        fleet.kill_all()


# The connection was closed 0.3 s after the signal.
def test_a_change_that_waits_for_a_majority_is_answered(controls):
    node = controls.controls[0]
    server = FakeServer("i-1", "orders", f"127.{BLOCK + 1}.3.1")
    statuses = []
    thread = threading.Thread(
        target=lambda: statuses.append(controls.send_heartbeat(node, server))
    )
    thread.start()
    time.sleep(0.2)
    controls.signal(node, signal.SIGTERM)
    thread.join()
    assert statuses == [503]
    assert node.process.wait(timeout=15.0) == 0


# The entry ended before the last answers were written.
def test_an_entry_that_was_suspended_until_the_end_answers(fleet):
    (entry,) = fleet.entries
    callers = [
        _Caller(entry.host, path, last_byte_s)
        for last_byte_s in (GRACE_S, None)
        for path in ROUTES
    ]
    assert fleet.send_request(entry, "after").status == 200
    fleet.signal(entry, signal.SIGTERM)
    time.sleep(GRACE_S / 2.0)
    fleet.signal(entry, signal.SIGSTOP)
    time.sleep(GRACE_S / 2.0)
    for caller in callers:
        if caller.last_byte_s is not None:
            caller.complete()
    fleet.signal(entry, signal.SIGCONT)
    for caller in callers:
        caller.read_to_end()
    assert [caller.status for caller in callers] == [503] * len(callers)
    assert entry.process.wait(timeout=15.0) == 0


# A signal that came while the interpreter ended changed the exit status.
@pytest.mark.parametrize("role", ["entry", "control"])
def test_signals_until_the_end_do_not_change_the_exit_status(fleet, role):
    (node,) = fleet.entries if role == "entry" else fleet.controls
    while node.process.poll() is None:
        fleet.signal(node, signal.SIGTERM)
        fleet.signal(node, signal.SIGHUP)
        time.sleep(0.001)
    assert node.process.returncode == 0
