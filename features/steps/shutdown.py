"""Steps for graceful shutdown and for silent links between instances."""

from __future__ import annotations

import contextlib
import http.client
import signal
import threading
import time

from behave import step, then, when
from steps.orders import _post_order

from harness.cluster import call, wait_until

READINESS_INTERVAL_S = 0.1
SETTLE_S = 1.0


class Balancer:
    """Simulates the platform's balancer: polls the readiness of the entries."""

    def __init__(self, addresses):
        self.addresses = addresses
        self.ready_addresses = list(addresses)
        self.is_finished = False
        self.thread = threading.Thread(target=self._poll_readiness, daemon=True)
        self.thread.start()

    def _poll_readiness(self):
        while not self.is_finished:
            self.ready_addresses = [
                a for a in self.addresses if self._is_ready(a)
            ]
            time.sleep(READINESS_INTERVAL_S)

    def _is_ready(self, address):
        with contextlib.suppress(OSError, http.client.HTTPException):
            return call(address, "GET", "/readyz", timeout_s=1).status == 200
        return False


class Caller:
    """Keeps one connection busy; reconnects when its entry becomes unready."""

    def __init__(self, balancer, number):
        self.balancer = balancer
        self.number = number
        self.failures = []
        self.answer_count = 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while not self.balancer.is_finished:
            ready_addresses = self.balancer.ready_addresses
            address = ready_addresses[self.number % len(ready_addresses)]
            connection = http.client.HTTPConnection(address, timeout=10)
            try:
                while address in self.balancer.ready_addresses:
                    if not self._send_call(connection):
                        break
                    if self.balancer.is_finished:
                        break
            finally:
                connection.close()

    def _send_call(self, connection):
        try:
            connection.request("GET", "/die-ledger/x?sleep_ms=15")
            answer = connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException) as error:
            self.failures.append(repr(error))
            return False
        if answer.status != 200:
            self.failures.append(f"status {answer.status}")
        self.answer_count += 1
        return answer.getheader("Connection") != "close"


def _entry_name(context, number):
    return context.cluster.names("entry")[number]


@when("a call that takes {time_ms:d} ms is sent through entry {number:d}")
def step_slow_call(context, time_ms, number):
    address = context.cluster.address(_entry_name(context, number))

    def send():
        path = f"/die-ledger/slow?sleep_ms={time_ms}"
        context.answer = call(address, "GET", path)

    context.sending = threading.Thread(target=send)
    context.sending.start()
    time.sleep(0.2)


@step("entry {number:d} receives a termination signal")
def step_terminate_entry(context, number):
    context.cluster.signal(_entry_name(context, number), signal.SIGTERM)


@then("the call is answered with status {status:d}")
def step_answered(context, status):
    context.sending.join()
    assert context.answer.status == status, context.answer


@step("entry {number:d} exits with code {code:d}")
def step_entry_exits(context, number, code):
    process = context.cluster.processes[_entry_name(context, number)]
    assert process.wait(30) == code


@when(
    "callers keep {count:d} connections busy behind a balancer that checks "
    "readyz"
)
def step_busy_connections(context, count):
    addresses = [
        context.cluster.address(n) for n in context.cluster.names("entry")
    ]
    context.balancer = Balancer(addresses)
    context.callers = [Caller(context.balancer, n) for n in range(count)]
    time.sleep(SETTLE_S)


@then("no call on the busy connections failed")
def step_no_call_failed(context):
    time.sleep(SETTLE_S)
    context.balancer.is_finished = True
    for caller in context.callers:
        caller.thread.join()
    failures = [f for caller in context.callers for f in caller.failures]
    assert not failures, failures
    assert sum(caller.answer_count for caller in context.callers) > 100


@when("every link between instances goes silent")
def step_links_silent(context):
    silenced = [r.silence() for r in context.cluster.relays.values()]
    assert sum(silenced) > 0


@when(
    'an order with key "{key}" is sent through entry {number:d} until its '
    "outcome is known"
)
def step_order_until_outcome_known(context, key, number):
    def is_outcome_known():
        context.order = _post_order(context, number, key)
        # Status 409: the outcome of the order is not recorded yet; 503: the
        # order is refused, for example while its claim cannot be decided.
        return context.order.status not in (409, 503)

    wait_until(is_outcome_known, "the outcome of the order is known")
