"""Steps for registration, crashes, load shedding and connections of servers."""

from __future__ import annotations

import json
import signal
import socket
import time

from behave import given, step, then, when

from harness.cluster import call, free_port, wait_until
from harness.relay import Relay


def _addresses(context):
    cluster = context.cluster
    return [cluster.address(name) for name in cluster.names("entry")]


@step("{count:d} calls through all entries are answered")
def step_calls_answered(context, count):
    addresses = _addresses(context)
    for number in range(count):
        address = addresses[number % len(addresses)]
        answer = call(address, "GET", f"/die-ledger/dies/{number}")
        assert answer.status == 200, answer


@when('the server "{name}" receives a termination signal')
def step_terminate(context, name):
    context.cluster.signal(name, signal.SIGTERM)
    context.cluster.processes[name].wait()


@when('the server "{name}" is killed')
def step_kill(context, name):
    context.cluster.kill(name)


@then('all entries know {count:d} servers of "{service}"')
def step_known_count(context, count, service):
    cluster = context.cluster
    wait_until(
        lambda: all(
            len(cluster.known_servers(entry, service)) == count
            for entry in cluster.names("entry")
        ),
        f"{count} servers are known to every entry",
    )


@when('the server "{name}" is killed and restarted on another port')
def step_restart_on_other_port(context, name):
    context.cluster.kill(name)
    context.cluster.commands[name] += ["--port", str(free_port())]
    context.cluster.restart_server(name)
    context.cluster.wait_for_servers(
        "die-ledger", {f"die-ledger-{n}" for n in range(3)}
    )


@then('{count:d} calls that "{name}" sheds are answered')
def step_shed_calls_answered(context, count, name):
    addresses = _addresses(context)
    for number in range(count):
        path = f"/die-ledger/x{number}?shed={name}"
        answer = call(addresses[number % len(addresses)], "GET", path)
        assert answer.status == 200, answer


@then("the request is reported as quarantined by every entry")
def step_quarantine_reported(context):
    def is_reported():
        status = context.cluster.status()
        version = status["quarantine_version"]
        entry_versions = {e["quarantine_version"] for e in status["entries"]}
        return len(status["quarantines"]) == 1 and entry_versions == {version}

    wait_until(is_reported, "every entry has the quarantine in force")


@then("every entry refuses GET {path} with {status:d}")
def step_quarantine_refused(context, path, status):
    for address in _addresses(context):
        answer = call(address, "GET", path)
        assert answer.status == status, answer


@then('{count:d} server of "{service}" is still running')
def step_running_count(context, count, service):
    names = [f"{service}-{n}" for n in range(3)]
    running = [n for n in names if context.cluster.is_running(n)]
    assert len(running) == count, running


@when("the operator releases the quarantine")
def step_release_quarantine(context):
    client = context.cluster.client()
    for fingerprint in context.cluster.status()["quarantines"]:
        reply = client.post("/v1/quarantine/release", fingerprint.encode(), {})
        assert reply.status == 200, reply


@then("no request is quarantined")
def step_no_quarantine(context):
    assert context.cluster.status()["quarantines"] == []


@given('a server of "{service}" behind a relay')
def step_relay(context, service):
    relay = Relay(free_port(), free_port())
    context.resources.append(relay)
    context.relay = relay
    options = ["--port", str(relay.target_port)]
    options += ["--announced-port", str(relay.port)]
    context.cluster.start_server("relayed", service, *options)
    context.cluster.wait_for_servers(service, {"relayed"})


@when('{count:d} calls to "{service}" were answered')
def step_calls_were_answered(context, count, service):
    for _ in range(count):
        step_idempotent_call(context, service)


@step("all open connections of the relay go silent")
def step_silence_connections(context):
    assert context.relay.silence() > 0


@step('an idempotent call to "{service}" is answered')
def step_idempotent_call(context, service):
    answer = call(_addresses(context)[0], "GET", f"/{service}/x")
    assert answer.status == 200, answer


@then('the server of "{service}" is not ejected')
def step_not_ejected(context, service):
    address = context.cluster.address("entry-0", "operators_address")
    servers = json.loads(call(address, "GET", "/v1/servers").body)["servers"]
    found = [s for s in servers if s["service"] == service]
    assert len(found) == 1 and not found[0]["is_ejected"], found


@when('an order without a key is sent to "{service}"')
def step_order_without_key(context, service):
    path = f"/{service}/keyless"
    context.answer = call(_addresses(context)[0], "POST", path, b"x")


@then("the order without a key was executed at most once")
def step_order_without_key_executions(context):
    assert context.cluster.executions().get("POST /keyless ", 0) <= 1


@when("a caller disconnects during a call that takes {time_ms:d} ms")
def step_caller_disconnects(context, time_ms):
    host, _, port = _addresses(context)[0].partition(":")
    with socket.create_connection((host, int(port))) as connection:
        path = f"/die-ledger/slow?sleep_ms={time_ms}".encode()
        connection.sendall(b"GET " + path + b" HTTP/1.1\r\nHost: a\r\n\r\n")
        time.sleep(0.3)
        # An overdue call is outstanding at two servers.
        assert 1 <= _count_outstanding_calls(context) <= 2


def _count_outstanding_calls(context):
    total = 0
    for name in context.cluster.names("entry"):
        address = context.cluster.address(name, "operators_address")
        content = json.loads(call(address, "GET", "/v1/servers").body)
        total += sum(s["outstanding"] for s in content["servers"])
    return total


@then("no call is outstanding at any entry")
def step_none_outstanding(context):
    wait_until(
        lambda: _count_outstanding_calls(context) == 0,
        "no call is outstanding",
        1.0,
    )
