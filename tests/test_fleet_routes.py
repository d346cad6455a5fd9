"""Tests for a fleet with the product's own formats, not the platform's.

Operators send TOML route files with the commands of `gentianwallctl`;
operators and servers authenticate with tokens.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import pytest

from gentianwall.commands.apply import ExitCode
from gentianwall.commands.evacuations import list_evacuations, set_evacuation
from gentianwall.commands.routes import get_routes, put_routes
from gentianwall.ctl.client import OperatorClient
from harness.fleet import (
    CALLERS_PORT,
    CONTROL_PORT,
    Fleet,
    call,
    product_command,
    wait_until,
)

EXAMPLE_SERVER = (
    pathlib.Path(__file__).parent.parent / "examples/standin_server.py"
)
TOKEN = "only-for-operators"
SERVERS_PATH = "/gentianwall/v1/services/orders/servers/"


def _configuration_text(number: int, path_prefix: str = "/") -> str:
    return f"""number = {number}

[services.orders]

[routes.orders]
host = "shop.example"
path_prefix = "{path_prefix}"
kind = "non_idempotent"
timeout_ms = 2000
targets = {{ orders = 1 }}
"""


@pytest.fixture
def fleet(tmp_path):
    """Three control instances that require tokens, and an entry."""
    token = tmp_path / "token"
    token.write_text(TOKEN)
    token.chmod(0o600)
    tokens = tmp_path / "tokens"
    tokens.mkdir()
    (tokens / "orders").write_text("only-for-orders")
    fleet = Fleet(tmp_path, controls=3, entries=1, command=product_command)
    fleet.control_settings = [
        f'operator_token_file = "{token}"',
        f'server_token_folder = "{tokens}"',
    ]
    try:
        for node in [*fleet.entries, *fleet.controls]:
            fleet.start(node, is_first_start=True)
        yield fleet
    finally:
        fleet.kill_all()


@pytest.fixture
def client(fleet):
    """An operator's client with a valid token."""
    return OperatorClient(tuple(_addresses(fleet)), TOKEN)


@pytest.fixture
def put(client, tmp_path):
    """A function that sends a configuration and returns the command's result.

    Configuration 1 has been accepted.
    """

    def put(text):
        file = tmp_path / "routes.toml"
        file.write_text(text)
        return put_routes(client, str(file))

    wait_until(
        "the first configuration is accepted",
        lambda: put(_configuration_text(1)).code == ExitCode.OK,
    )
    return put


@pytest.fixture
def server(fleet):
    """The example server, which speaks the documented server protocol."""
    command = [sys.executable, str(EXAMPLE_SERVER), "--name", "i-1"]
    command += ["--service", "orders", "--token", "only-for-orders"]
    command += ["--entries", ",".join(_addresses(fleet))]
    process = subprocess.Popen(command)
    yield process
    process.kill()
    process.wait()


def _addresses(fleet):
    return [f"{node.host}:{CONTROL_PORT}" for node in fleet.controls]


def _send_order(fleet, path="/orders/1"):
    headers = {"Host": "shop.example", "Gentianwall-Request-Id": "r-1"}
    host = fleet.entries[0].host
    return call(host, CALLERS_PORT, "POST", path, b"order", headers)


def test_orders_are_served_until_the_server_deregisters(fleet, put, server):
    wait_until("an order is served", lambda: _send_order(fleet).status == 200)
    answer = _send_order(fleet)
    assert json.loads(answer.body)["server"] == "i-1"
    assert answer.headers["Gentianwall-Request-Id"] == "r-1"
    server.terminate()
    server.wait(10)
    answer = _send_order(fleet)
    assert answer.status == 503
    assert json.loads(answer.body)["executed"] == "no"


def test_the_configuration_with_the_highest_number_is_in_force(
    fleet, put, client
):
    assert put(_configuration_text(3, "/new/")).code == ExitCode.OK
    assert put(_configuration_text(3, "/new/")).code == ExitCode.OK  # A resend.
    assert put(_configuration_text(2)).code == ExitCode.CONFLICT
    assert put(_configuration_text(3, "/other/")).code == ExitCode.CONFLICT
    result = get_routes(client)
    assert (result.code, result.message) == (
        ExitCode.OK,
        _configuration_text(3, "/new/"),
    )
    wait_until(
        "configuration 3 is in force", lambda: _send_order(fleet).status == 404
    )


def test_an_invalid_configuration_is_refused_with_every_problem(put, client):
    invalid = _configuration_text(9).replace(
        "timeout_ms = 2000", "timeout_ms = -1"
    )
    invalid = invalid.replace('"non_idempotent"', '"odd"')
    result = put(invalid)
    assert result.code == ExitCode.BAD_INPUT
    assert "line 9: routes.orders.timeout_ms" in result.message
    assert "line 8: routes.orders.kind" in result.message
    assert get_routes(client).message == _configuration_text(1)


def test_unauthenticated_clients_read_and_change_nothing(fleet, put, client):
    host = fleet.controls[0].host
    routes_path = "/gentianwall/v1/routes"
    body = _configuration_text(9).encode()
    assert call(host, CONTROL_PORT, "PUT", routes_path, body).status == 401
    assert call(host, CONTROL_PORT, "GET", routes_path).status == 401
    server_path = f"{SERVERS_PATH}i-9"
    assert call(host, CONTROL_PORT, "PUT", server_path, b"{}").status == 401
    assert call(host, CONTROL_PORT, "POST", server_path).status == 405
    assert call(host, CONTROL_PORT, "GET", "/else").status == 404
    assert get_routes(client).message == _configuration_text(1)


@pytest.mark.parametrize(
    ("change", "option"),
    [
        ({"sequence": None}, "sequence"),
        ({"address": "nowhere"}, "address"),
        ({"port": 0}, "port"),
        ({"slots": 0}, "slots"),
    ],
)
def test_an_invalid_announcement_is_refused_with_the_reason(
    fleet, put, change, option
):
    content = {
        "address": "127.0.0.1",
        "port": 9,
        "slots": 1,
        "incarnation": 1,
        "sequence": 1,
        **change,
    }
    answer = call(
        fleet.controls[0].host,
        CONTROL_PORT,
        "PUT",
        f"{SERVERS_PATH}i-9",
        json.dumps(content).encode(),
        {"Authorization": "Bearer only-for-orders"},
    )
    assert answer.status == 400
    assert option in json.loads(answer.body)["problems"][0]


def test_operators_start_list_and_finish_evacuations(client, put):
    for _ in range(2):
        result = set_evacuation(client, "zone/2", True)
        assert (result.code, result.content["failure_domains"]) == (
            ExitCode.OK,
            ["zone/2"],
        )
    (listed,) = list_evacuations(client).content["failure_domains"]
    assert listed["name"] == "zone/2"
    assert "zone/2" in list_evacuations(client).message
    assert set_evacuation(client, "zone/2", False).code is ExitCode.OK
    assert list_evacuations(client).content["failure_domains"] == []
    stranger = OperatorClient(client.addresses)
    assert set_evacuation(stranger, "zone/2", True).code is ExitCode.FAILED
    assert set_evacuation(client, "\n", True).code is ExitCode.BAD_INPUT
