"""Steps for orders that must not be executed more than once."""

from __future__ import annotations

import concurrent.futures
import json
import threading

from behave import given, then, when

from harness.cluster import Answer, call, wait_until

ORDERS_PATH = "/order-desk/orders"


def _post_order(context, number, key, query="", body=b"order") -> Answer:
    cluster = context.cluster
    address = cluster.address(cluster.names("entry")[number])
    headers = {"Idempotency-Key": key, "Gentianwall-Max-Wait-Ms": "3000"}
    return call(address, "POST", ORDERS_PATH + query, body, headers)


def _count_executions(context, key) -> int:
    return context.cluster.executions().get(f"POST /orders {key}", 0)


def _wait_until_ended_servers_are_unknown(cluster, service, names):
    """Otherwise a restarted server would count as known before it serves."""
    ended = {name for name in names if not cluster.is_running(name)}
    wait_until(
        lambda: (
            not any(
                ended & cluster.known_servers(entry, service)
                for entry in cluster.names("entry")
            )
        ),
        "servers that have ended are not known to any entry",
    )


@given('{count:d} servers of "{service}" are known')
def step_servers(context, count, service):
    names = {f"{service}-{n}" for n in range(count)}
    _wait_until_ended_servers_are_unknown(context.cluster, service, names)
    for name in names:
        if not context.cluster.is_running(name):
            if name in context.cluster.commands:
                context.cluster.restart_server(name)
            else:
                context.cluster.start_server(name, service)
    context.cluster.wait_for_servers(service, names)


@when('an order with key "{key}" is sent through entry {number:d}')
def step_order(context, key, number):
    context.first_order = getattr(context, "order", None)
    context.order = _post_order(context, number, key)


@when('another order with key "{key}" is sent through entry {number:d}')
def step_other_order(context, key, number):
    context.order = _post_order(context, number, key, body=b"another")


@when(
    'an order with key "{key}" that takes {time_ms:d} ms is sent through '
    "entry {number:d}"
)
def step_slow_order(context, key, time_ms, number):
    def send():
        try:
            context.order = _post_order(
                context, number, key, f"?sleep_ms={time_ms}"
            )
        except OSError:
            context.order = None

    context.sending = threading.Thread(target=send)
    context.sending.start()
    # An order through entry 0 stays outstanding; the scenario kills that entry.
    if number != 0:
        context.sending.join()


@when("entry {number:d} is killed after {time_ms:d} ms")
def step_kill_entry(context, number, time_ms):
    context.sending.join(time_ms / 1000)
    context.cluster.kill(context.cluster.names("entry")[number])
    context.sending.join()


@then("entry {number:d} is started again")
def step_start_entry(context, number):
    context.cluster.start_instance(context.cluster.names("entry")[number])
    wait_until(context.cluster.is_ready, "all entries are ready")


@when(
    'an order with key "{key}" that crashes "{server}" is sent until it fails'
)
def step_crashing_order(context, key, server):
    for attempt in range(100):
        context.key = f"{key}-{attempt}"
        context.query = f"?crash={server}"
        context.order = _post_order(context, 0, context.key, context.query)
        if context.order.status != 200:
            return
    raise AssertionError(f"{server} received none of 100 orders")


@then('a resend is answered with status {status:d} and executed "{executed}"')
def step_resend(context, status, executed):
    answer = _post_order(context, 1, context.key, context.query)
    assert (answer.status, answer.executed) == (status, executed), answer


@then("the failed order was executed {count:d} times")
def step_failed_order_executions(context, count):
    step_executions(context, context.key, count)


@when("the leading control instance is killed")
def step_kill_leader(context):
    context.cluster.kill(context.cluster.leader())


@when("two control instances are killed")
def step_kill_two(context):
    for name in context.cluster.names("control")[:2]:
        context.cluster.kill(name)


@then("all control instances are running again")
def step_controls_running(context):
    cluster = context.cluster
    for name in cluster.names("control"):
        if not cluster.is_running(name):
            cluster.start_instance(name)
    cluster.leader()
    wait_until(
        lambda: all(
            cluster.replica_status(n)["leader"]
            for n in cluster.names("control")
        ),
        "every control instance knows the leader",
    )


@when(
    "{count:d} orders with distinct keys are each sent {times:d} times "
    "concurrently"
)
def step_concurrent_orders(context, count, times):
    def send(key, number):
        try:
            return key, _post_order(context, number % 3, key, "?sleep_ms=20")
        except OSError:
            return key, None

    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        leader = context.cluster.leader()
        futures = [
            pool.submit(send, f"race-{n}", n + repetition)
            for n in range(count)
            for repetition in range(times)
        ]
        context.cluster.kill(leader)
        context.concurrent_answers = [future.result() for future in futures]


@then("no order was executed more than once")
def step_no_order_repeated(context):
    repeated = {
        request: count
        for request, count in context.cluster.executions().items()
        if request.startswith("POST /orders ") and count > 1
    }
    assert not repeated, repeated


@then("every order that was answered with status {status:d} was executed once")
def step_answered_orders_executed_once(context, status):
    for key, answer in context.concurrent_answers:
        if answer is not None and answer.status == status:
            assert _count_executions(context, key) == 1, key


@then('the order is answered with status {status:d} and executed "{executed}"')
def step_order_status(context, status, executed):
    order = context.order
    assert (order.status, order.executed) == (status, executed), order


@then("both answers name the same server")
def step_same_server(context):
    names = [
        json.loads(order.body)["server"]
        for order in (context.first_order, context.order)
    ]
    assert names[0] == names[1]


@then('the order with key "{key}" was executed {count:d} times')
def step_executions(context, key, count):
    assert _count_executions(context, key) == count, (
        context.cluster.executions()
    )
