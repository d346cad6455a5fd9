"""Steps for callers' requests, well-formed and malformed, and answers."""

from __future__ import annotations

import contextlib
import json
import os
import socket

from behave import given, then, when

from harness.cluster import Answer, call

OVER_LIMIT_BYTES = 17 * 1024 * 1024
GET_HEAD = b"GET /die-ledger/x HTTP/1.1\r\nHost: a\r\n"
POST_HEAD = b"POST /die-ledger/x HTTP/1.1\r\nHost: a\r\n"
RAW_REQUESTS = {
    "two-lengths": POST_HEAD
    + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    "length-and-chunked": POST_HEAD
    + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "folded-header": GET_HEAD + b"X: a\r\n b\r\n\r\n",
    "nul-in-header": GET_HEAD + b"X: a\0b\r\n\r\n",
    "too-many-headers": GET_HEAD + b"X: y\r\n" * 400 + b"\r\n",
    "too-large": POST_HEAD + b"Content-Length: %d\r\n\r\n" % OVER_LIMIT_BYTES,
    "too-large-chunked": POST_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"%x\r\n" % OVER_LIMIT_BYTES
    + b"x" * OVER_LIMIT_BYTES,
    "too-large-expect": POST_HEAD
    + b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n" % OVER_LIMIT_BYTES,
}


def _entry_address(context) -> str:
    return context.cluster.address(context.cluster.names("entry")[0])


def _send(context, method, path, body=None, headers=None):
    context.answer = call(_entry_address(context), method, path, body, headers)


@given('the server "{name}" of "{service}" is known')
def step_server(context, name, service):
    cluster = context.cluster
    if not cluster.is_running(name):
        cluster.start_server(name, service)
    cluster.wait_for_servers(service, {name})


@when("a caller sends {method:w} {path}")
def step_send(context, method, path):
    _send(context, method, path)


@when("a caller posts {size:d} bytes to {path}")
def step_post(context, size, path):
    context.posted = os.urandom(size)
    _send(context, "POST", path, context.posted)


@when("a caller posts {size:d} bytes in chunks to {path}")
def step_post_chunks(context, size, path):
    context.posted = os.urandom(size)
    parts = [
        context.posted[start : start + 100_000]
        for start in range(0, size, 100_000)
    ]
    _send(context, "POST", path, iter(parts))


@when("a caller that waits up to {wait:d} ms sends GET {path}")
def step_send_with_wait(context, wait, path):
    headers = {"Gentianwall-Max-Wait-Ms": str(wait)}
    _send(context, "GET", path, None, headers)


@when('a caller with the header "{header}" sends GET {path}')
def step_send_with_header(context, header, path):
    name, _, value = header.partition(": ")
    _send(context, "GET", path, None, {name: value})


@when("a request that has passed through the system {times:d} times is sent")
def step_forwarding_loop(context, times):
    via = ", ".join(["1.1 gentianwall-x"] * times)
    _send(context, "GET", "/die-ledger/x", None, {"Via": via})


@when("the raw request {name} is sent")
def step_raw_request(context, name):
    _send_raw(context, RAW_REQUESTS[name])


@when("{count:d} pipelined requests are sent")
def step_pipeline(context, count):
    request = b"GET /die-ledger/dies/%d HTTP/1.1\r\nHost: a\r\n%s\r\n"
    requests = [request % (n, b"") for n in range(count - 1)]
    requests.append(request % (count - 1, b"Connection: close\r\n"))
    _send_raw(context, b"".join(requests))
    context.count = count


def _send_raw(context, data):
    host, _, port = _entry_address(context).partition(":")
    context.raw_answers = b""
    context.is_closed = False
    with socket.create_connection((host, int(port)), 10) as connection:
        with contextlib.suppress(OSError):
            connection.sendall(data)
        try:
            while part := connection.recv(65536):
                context.raw_answers += part
            context.is_closed = True
        except ConnectionResetError:
            context.is_closed = True


@then("the answer has status {status:d}")
def step_status(context, status):
    answer: Answer = context.answer
    assert answer.status == status, answer


@then('the answer reports executed "{executed}"')
def step_executed(context, executed):
    assert context.answer.executed == executed, context.answer


@then('the answer names the path "{path}"')
def step_path(context, path):
    assert json.loads(context.answer.body)["path"] == path


@then("the answer body is the posted body")
def step_echo(context):
    assert context.answer.body == context.posted


@then("the answer has no body")
def step_empty(context):
    assert context.answer.body == b""


@then("the answer has a retry-after time")
def step_retry_after(context):
    assert int(context.answer.headers["retry-after"]) >= 1
    assert json.loads(context.answer.body)["retry_after_ms"] > 0


@then("the raw answer has status {status:d}")
def step_raw_status(context, status):
    assert context.raw_answers.startswith(b"HTTP/1.1 %d " % status), (
        context.raw_answers[:200]
    )


@then("the connection is closed")
def step_closed(context):
    assert context.is_closed


@then("the raw answers arrive in order")
def step_answers_in_order(context):
    positions = [
        context.raw_answers.find(b'"path": "/dies/%d"' % n)
        for n in range(context.count)
    ]
    assert -1 not in positions and positions == sorted(positions), positions


@then('the price list has the tiers "{names}"')
def step_tiers(context, names):
    tiers = json.loads(context.answer.body)["tiers"]
    assert [t["name"] for t in tiers] == names.split(", ")


@then("the answer has the price {price:d}")
def step_price(context, price):
    assert context.answer.headers["gentianwall-price"] == str(price)


@then("the server received a deadline above {minimum:d} ms")
def step_deadline(context, minimum):
    assert float(json.loads(context.answer.body)["deadline_ms"]) > minimum
