"""Tests that clients that misbehave do not exhaust a process.

Each shape is sent to real processes with small limits. The process must live,
stay within its memory and descriptors, and answer an ordinary request while the
clients are still connected. There are no bounds on times.
"""

from __future__ import annotations

import contextlib
import fcntl
import json

import pytest

from harness import cluster as listed
from harness import misbehaving as shapes
from harness.fleet import (
    CALLERS_PORT,
    CONTROL_LINK_PORT,
    CONTROL_PORT,
    HOST,
    LINK_PORT,
    METRICS_PORT,
    PEER_PORT,
    READINESS_PORT,
    FakeServer,
    Fleet,
    call,
    document,
    running_server,
    send_document_until_acknowledged,
    send_heartbeat_until_acknowledged,
    wait_until,
    wait_until_serving,
)
from harness.misbehaving import Usage, flooding

pytestmark = pytest.mark.misbehaving_clients

BLOCK = 79
# Limits in the settings of the processes, which are also the bounds that the
# tests check. A process takes 43 MB and 40 descriptors without clients.
MEMORY_MB = 112
DESCRIPTORS = 400
FLOOD_S = 5.0
# Limits and duration of a crowd of which a part fills the budget.
CROWD_MEMORY_MB = 296
CROWD_DESCRIPTORS = 1535
CROWD_S = 12.0
# Limits of a small entry, and a configuration with which a process takes more
# than is reckoned for one without clients.
SMALL_MEMORY_MB = 152
SMALL_DESCRIPTORS = 1535
SMALL_CROWD = ([shapes.upload(2 * 1024 * 1024, part_bytes=512)], 300)
MANY_ROUTES = 12_000
ROUTE = b"/orders/x"
# Requests of this route run beside each other on one connection.
SAFE_ROUTE = b"/reads/x"
NO_ROUTE = b"/nobody/x"
CONFIGURATION_PATH = b"/rpc?call=config.replace"
MIB = 1024 * 1024
# Shapes with the number of clients that send them.
SHAPES = {
    "upload": (shapes.upload(8 * MIB), 24),
    "pieces": (shapes.upload(2 * MIB, part_bytes=512), 64),
    "chunks": (shapes.chunked(128, 64 * 1024), 24),
    "tiny chunks": (shapes.chunked(64 * 1024, 1), 60),
    "terabyte": (shapes.ANNOUNCED_TERABYTE, 24),
    "short fields": (shapes.SHORT_FIELDS, 60),
    "pipelined": (shapes.pipelined(400), 48),
    "sent ahead": (shapes.pipelined(20_000), 60),
    "unread answers": (shapes.pipelined(2), 24),
    "slow heads": (shapes.SLOW_HEAD, 600),
}
# Bodies that grow side by side and stop just short of their end, with the
# number of clients that send them.
CROWDS = {
    "pieces": ([shapes.upload(2 * MIB, part_bytes=512)], 500),
    "chunks": ([shapes.chunked(4095, 512, part_bytes=519)], 500),
    "mixed": (
        [
            shapes.upload(300 * 1024, part_bytes=1024),
            shapes.upload(MIB, part_bytes=4096),
            shapes.upload(2 * MIB, part_bytes=512),
            shapes.chunked(4095, 512, part_bytes=519),
        ],
        500,
    ),
}


@pytest.fixture(autouse=True)
def only_one():
    """Keeps these tests of all checkouts from running beside each other."""
    with open("/tmp/gentianwall-misbehaving-clients.lock", "w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


@pytest.fixture
def server():
    """A server that answers late."""
    return FakeServer("i-1", "orders", f"127.{BLOCK}.3.1", service_s=0.2)


def _document(more_routes=0):
    content = document(1)
    route = json.loads(json.dumps(content["resources"][0]))
    route["metadata"]["name"] = "reads"
    route["spec"] |= {"pathPrefix": "/reads/", "routeType": "safe"}
    content["resources"].append(route)
    for number in range(more_routes):
        further = json.loads(json.dumps(route))
        further["metadata"]["name"] = f"more-{number}"
        further["spec"]["pathPrefix"] = f"/more-{number}/"
        content["resources"].append(further)
    return content


@contextlib.contextmanager
def _running_fleet(folder, server, memory_mb, descriptors, more_routes=0):
    fleet = Fleet(folder, 1, 1, BLOCK)
    fleet.entry_settings = fleet.control_settings = [
        f"memory_mb = {memory_mb}",
        f"descriptors = {descriptors}",
    ]
    content = _document(more_routes)
    try:
        for node in [*fleet.entries, *fleet.controls]:
            fleet.start(node, is_first_start=True)
        send_document_until_acknowledged(fleet, content)
        with running_server(server):
            send_heartbeat_until_acknowledged(fleet, server)
            wait_until_serving(fleet)
            yield fleet
    finally:
        fleet.kill_all()


@pytest.fixture
def fleet(tmp_path, server):
    """One control instance and one entry with a server."""
    limits = (MEMORY_MB, DESCRIPTORS)
    with _running_fleet(tmp_path, server, *limits) as fleet:
        yield fleet


@pytest.fixture
def crowded_fleet(tmp_path, server):
    """The same with the limits for crowds."""
    limits = (CROWD_MEMORY_MB, CROWD_DESCRIPTORS)
    with _running_fleet(tmp_path, server, *limits) as fleet:
        yield fleet


@pytest.fixture
def fleet_with_many_routes(tmp_path, server):
    """The same with the smallest limits and a large configuration."""
    limits = (SMALL_MEMORY_MB, SMALL_DESCRIPTORS)
    with _running_fleet(tmp_path, server, *limits, MANY_ROUTES) as fleet:
        yield fleet


def _flood(pid, address, path, shape_name, is_served):
    """Checks a process under a flood; returns what it used."""
    shape, clients = SHAPES[shape_name]
    host, _, port = address.partition(":")
    with flooding(host, int(port), path, [shape], clients) as flood:
        return _check_usage(
            flood, pid, is_served, FLOOD_S, MEMORY_MB, DESCRIPTORS
        )


def _check_usage(flood, pid, is_served, duration_s, memory_mb, descriptors):
    usage = Usage()
    flood.run(duration_s, lambda: usage.sample(pid))
    wait_until("an ordinary request is answered", is_served, 20.0)
    usage.sample(pid)
    print(usage)
    assert usage.is_alive
    assert usage.peak_mb < memory_mb, usage
    assert usage.descriptors < descriptors, usage
    return usage


def _is_entry_serving(fleet):
    entry = fleet.entries[0]
    return fleet.is_ready(entry) and (
        fleet.send_request(entry, "ordinary").status == 200
    )


def _is_control_serving(fleet):
    return fleet.read(fleet.controls[0]).status == 200


@pytest.mark.parametrize(
    ("shape", "path"),
    [
        *((shape, ROUTE) for shape in SHAPES if shape != "unread answers"),
        ("pipelined", SAFE_ROUTE),
        ("unread answers", SAFE_ROUTE),
        ("upload", NO_ROUTE),
        ("pieces", NO_ROUTE),
        ("pipelined", NO_ROUTE),
        ("sent ahead", SAFE_ROUTE),
        ("sent ahead", NO_ROUTE),
    ],
)
def test_the_callers_port_of_a_fleets_entry(fleet, server, shape, path):
    if shape == "unread answers":
        server.padding_bytes = 8 * MIB
        server.service_s = 0.0
    entry = fleet.entries[0]
    address = f"{entry.host}:{CALLERS_PORT}"
    _flood(
        entry.process.pid,
        address,
        path,
        shape,
        lambda: _is_entry_serving(fleet),
    )


@pytest.mark.parametrize("crowd", CROWDS)
@pytest.mark.parametrize("role", ["entry", "control"])
def test_bodies_that_grow_side_by_side_stay_within_the_memory(
    crowded_fleet, role, crowd
):
    fleet = crowded_fleet
    is_entry = role == "entry"
    node = fleet.entries[0] if is_entry else fleet.controls[0]
    port = CALLERS_PORT if is_entry else CONTROL_PORT
    path = ROUTE if is_entry else CONFIGURATION_PATH
    is_serving = _is_entry_serving if is_entry else _is_control_serving
    with flooding(node.host, port, path, *CROWDS[crowd]) as flood:
        _check_usage(
            flood,
            node.process.pid,
            lambda: is_serving(fleet),
            CROWD_S,
            CROWD_MEMORY_MB,
            CROWD_DESCRIPTORS,
        )


# The budget did not look at what a process takes without clients.
def test_bodies_beside_a_large_configuration_stay_within_the_memory(
    fleet_with_many_routes,
):
    fleet = fleet_with_many_routes
    entry = fleet.entries[0]
    with flooding(entry.host, CALLERS_PORT, ROUTE, *SMALL_CROWD) as flood:
        _check_usage(
            flood,
            entry.process.pid,
            lambda: _is_entry_serving(fleet),
            CROWD_S,
            SMALL_MEMORY_MB,
            SMALL_DESCRIPTORS,
        )


@pytest.mark.parametrize("port", [READINESS_PORT, PEER_PORT, METRICS_PORT])
@pytest.mark.parametrize("shape", ["upload", "slow heads"])
def test_the_other_ports_of_a_fleets_entry(fleet, shape, port):
    entry = fleet.entries[0]
    _flood(
        entry.process.pid,
        f"{entry.host}:{port}",
        b"/readyz",
        shape,
        lambda: _is_entry_serving(fleet),
    )


@pytest.mark.parametrize(
    "shape",
    ["upload", "pieces", "chunks", "pipelined", "sent ahead", "slow heads"],
)
def test_the_control_address(fleet, shape):
    control = fleet.controls[0]
    _flood(
        control.process.pid,
        f"{control.host}:{CONTROL_PORT}",
        CONFIGURATION_PATH,
        shape,
        lambda: _is_control_serving(fleet),
    )


@pytest.mark.parametrize("shape", ["upload", "slow heads"])
@pytest.mark.parametrize("role", ["entry", "control"])
def test_the_link_ports(fleet, shape, role):
    is_entry = role == "entry"
    node = fleet.entries[0] if is_entry else fleet.controls[0]
    port = LINK_PORT if is_entry else CONTROL_LINK_PORT
    _flood(
        node.process.pid,
        f"{node.host}:{port}",
        b"/",
        shape,
        lambda: _is_entry_serving(fleet) and _is_control_serving(fleet),
    )


@pytest.fixture
def cluster():
    """One entry and one control instance with listed addresses."""
    settings = {"memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS}
    cluster = listed.Cluster(1, 1, settings=settings)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.close()


@pytest.mark.parametrize(
    ("shape", "path"),
    [
        ("upload", b"/die-ledger/x"),
        ("upload", b"/nobody/x"),
        ("pieces", b"/die-ledger/x"),
        ("pipelined", b"/livez"),
        ("sent ahead", b"/livez"),
        ("slow heads", b"/livez"),
    ],
)
def test_the_callers_port_of_a_listed_entry(cluster, shape, path):
    address = cluster.address("entry-0")
    _flood(
        cluster.processes["entry-0"].pid,
        address,
        path,
        shape,
        lambda: listed.call(address, "GET", "/readyz").status == 200,
    )


@pytest.mark.parametrize("name", ["entry-0", "control-0"])
@pytest.mark.parametrize("shape", ["upload", "slow heads"])
def test_the_operators_port_of_a_listed_instance(cluster, shape, name):
    address = cluster.address(name, "operators_address")
    _flood(
        cluster.processes[name].pid,
        address,
        b"/v1/declaration",
        shape,
        lambda: listed.call(address, "GET", "/metrics").status == 200,
    )


# A single upload of the largest size must not be refused by the limits.
def test_the_largest_upload_is_served_without_overload(fleet):
    entry = fleet.entries[0]
    headers = {"Host": HOST, "X-Gentianwall-Deadline-Ms": "2000"}
    answer = call(
        entry.host,
        CALLERS_PORT,
        "POST",
        "/orders/x",
        bytes(24 * MIB),
        headers,
        timeout_s=20.0,
    )
    assert answer.status == 200
