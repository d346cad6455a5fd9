"""Steps for operators' commands and for unauthenticated clients."""

from __future__ import annotations

import json
import shlex
import subprocess
import sys
import time

import zmq
import zmq.auth
from behave import given, then, when

from gentianwall import codec
from gentianwall.claims.commands import ApplyDeclaration
from gentianwall.control.messages import CommandRequest
from gentianwall.links.messages import PROTOCOL_VERSION, BodyEncoder, Frame
from harness.cluster import DECLARATION, call, wait_until

DELIVERY_WAIT_S = 1.0


def _run_command(context, line):
    cluster = context.cluster
    changed = DECLARATION.replace("price = 5", "price = 6")
    broken = DECLARATION.replace("price = 2", "prize = 2")
    (cluster.folder / "changed.toml").write_text(changed)
    (cluster.folder / "broken.toml").write_text(
        broken + "max_queued_calls = -1\n"
    )
    command = [sys.executable, "-m", "gentianwall.ctl", *shlex.split(line)]
    if not line.startswith("check"):
        addresses = ",".join(cluster.client().addresses)
        command += ["--operators", addresses]
        command += ["--token-file", str(cluster.folder / "operator-token")]
    return subprocess.run(
        command,
        cwd=cluster.folder,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@when('the operator runs "{line}"')
def step_run(context, line):
    context.completed = _run_command(context, line)


@when("entry {number:d} is killed")
def step_kill_entry(context, number):
    context.cluster.kill(context.cluster.names("entry")[number])


@then("the command exits with code {code:d}")
def step_exit_code(context, code):
    assert context.completed.returncode == code, context.completed


@then('the output contains "{text}"')
def step_output(context, text):
    printed = context.completed.stdout + context.completed.stderr
    assert text in printed, printed


@given('a server of "{service}" announces itself with the token "{token}"')
def step_registered_server(context, service, token):
    cluster = context.cluster
    if not cluster.is_running("announced"):
        cluster.start_server("announced", service, "--token", token)
    cluster.wait_for_servers(service, {"announced"})


@when('a server of "{service}" announces itself with the token "{token}"')
def step_announce_with_token(context, service, token):
    content = {"address": "127.0.0.1", "port": 1, "slots": 1, "incarnation": 1}
    path = f"/gentianwall/v1/services/{service}/servers/other"
    context.announcement = call(
        context.cluster.address("entry-0"),
        "PUT",
        path,
        json.dumps(content).encode(),
        {"Authorization": f"Bearer {token}"},
    )


@then("the announcement has status {status:d}")
def step_announcement_status(context, status):
    assert context.announcement.status == status


@then("the timeline of the request names the server")
def step_timeline(context):
    request_id = context.answer.headers["gentianwall-request-id"]
    completed = _run_command(context, f"timeline --request-id {request_id}")
    assert "call-answered" in completed.stdout, completed
    assert "announced" in completed.stdout, completed


@then("the timeline can be exported as a trace")
def step_trace(context):
    completed = _run_command(context, "timeline --trace trace.json")
    assert completed.returncode == 0, completed
    trace = json.loads((context.cluster.folder / "trace.json").read_text())
    names = {event["name"] for event in trace["traceEvents"]}
    assert {"process_name", "leader-changed", "call-answered"} <= names


@when("a client without the token requests the status")
def step_no_token(context):
    address = context.cluster.address("entry-0", "operators_address")
    context.answer = call(address, "GET", "/v1/status")


@when("an unauthenticated client sends a command to every instance")
def step_unauthenticated_command(context):
    cluster = context.cluster
    context.version_before = cluster.status()["version"]
    change = ApplyDeclaration(
        "stranger", context.version_before, DECLARATION + "# x\n", "stranger", 1
    )
    is_compressed, body = BodyEncoder().pack(CommandRequest("s", change))
    frame = Frame(PROTOCOL_VERSION, "entry-0", "x", 0.0, 0, is_compressed, body)
    data = codec.pack(frame, Frame)
    zmq_context = zmq.Context()
    has_keys = (cluster.folder / "keys").exists()
    for has_key in (False, True) if has_keys else (False,):
        for instance in cluster.instances:
            socket = zmq_context.socket(zmq.PUSH)
            socket.linger = 0
            if has_key:
                public, secret = zmq.curve_keypair()
                key_file = cluster.folder / "keys" / f"{instance['name']}.key"
                server_key, _ = zmq.auth.load_certificate(key_file)
                socket.curve_publickey = public
                socket.curve_secretkey = secret
                socket.curve_serverkey = server_key
            socket.connect(f"tcp://{instance['link_address']}")
            socket.send(data)
    time.sleep(DELIVERY_WAIT_S)
    zmq_context.destroy(linger=0)


@then("the version in force is unchanged")
def step_version_unchanged(context):
    status = context.cluster.status()
    assert status["version"] == context.version_before
    assert "stranger" not in {h["change_id"] for h in status["history"]}


@then("no entry uses the announced server")
def step_server_unused(context):
    cluster = context.cluster
    wait_until(
        lambda: all(
            cluster.known_servers(entry, "die-ledger") == set()
            for entry in cluster.names("entry")
        ),
        "no entry uses the drained server",
    )
