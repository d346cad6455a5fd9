"""Steps of a graceful end, and of links that go silent."""

from __future__ import annotations

import contextlib
import http.client
import signal
import threading
import time

from behave import step, then, when
from steps.orders import _post

from harness.cluster import call, wait_until

CHECK_S = 0.1
SETTLE_S = 1.0


class Balancer:
    """The platform's: it sends callers only to entries that are ready."""

    def __init__(self, addresses):
        self.addresses = addresses
        self.ready = list(addresses)
        self.is_over = False
        self.thread = threading.Thread(target=self._check, daemon=True)
        self.thread.start()

    def _check(self):
        while not self.is_over:
            self.ready = [a for a in self.addresses if self._is_ready(a)]
            time.sleep(CHECK_S)

    def _is_ready(self, address):
        with contextlib.suppress(OSError, http.client.HTTPException):
            return call(address, "GET", "/readyz", timeout_s=1).status == 200
        return False


class Caller:
    """Keeps one connection busy, and moves when its entry is not ready."""

    def __init__(self, balancer, number):
        self.balancer = balancer
        self.number = number
        self.failures = []
        self.answers = 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while not self.balancer.is_over:
            ready = self.balancer.ready
            address = ready[self.number % len(ready)]
            connection = http.client.HTTPConnection(address, timeout=10)
            try:
                while address in self.balancer.ready:
                    if not self._call(connection):
                        break
                    if self.balancer.is_over:
                        break
            finally:
                connection.close()

    def _call(self, connection):
        try:
            connection.request("GET", "/die-ledger/x?sleep_ms=15")
            answer = connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException) as error:
            self.failures.append(repr(error))
            return False
        if answer.status != 200:
            self.failures.append(f"status {answer.status}")
        self.answers += 1
        return answer.getheader("Connection") != "close"


def _entry(context, number):
    return context.cluster.names("entry")[number]


@when("a call that takes {time_ms:d} ms is sent through entry {number:d}")
def step_slow_call(context, time_ms, number):
    address = context.cluster.address(_entry(context, number))

    def send():
        path = f"/die-ledger/slow?sleep_ms={time_ms}"
        context.answer = call(address, "GET", path)

    context.sending = threading.Thread(target=send)
    context.sending.start()
    time.sleep(0.2)


@step("entry {number:d} receives a termination signal")
def step_term(context, number):
    context.cluster.signal(_entry(context, number), signal.SIGTERM)


@then("the call is answered with status {status:d}")
def step_answered(context, status):
    context.sending.join()
    assert context.answer.status == status, context.answer


@step("entry {number:d} exits with code {code:d}")
def step_ends(context, number, code):
    process = context.cluster.processes[_entry(context, number)]
    assert process.wait(30) == code


@when(
    "callers keep {count:d} connections busy behind a balancer that checks "
    "readyz"
)
def step_busy(context, count):
    addresses = [
        context.cluster.address(n) for n in context.cluster.names("entry")
    ]
    context.balancer = Balancer(addresses)
    context.callers = [Caller(context.balancer, n) for n in range(count)]
    time.sleep(SETTLE_S)


@then("no call on the busy connections failed")
def step_none_failed(context):
    time.sleep(SETTLE_S)
    context.balancer.is_over = True
    for caller in context.callers:
        caller.thread.join()
    failures = [f for caller in context.callers for f in caller.failures]
    assert not failures, failures
    assert sum(caller.answers for caller in context.callers) > 100


@when("every link between instances goes silent")
def step_links_silent(context):
    silenced = [r.silence() for r in context.cluster.relays.values()]
    assert sum(silenced) > 0


@when(
    'an order with key "{key}" is sent through entry {number:d} until its '
    "outcome is known"
)
def step_until_decided(context, key, number):
    def is_decided():
        context.order = _post(context, number, key)
        # 409 tells that the outcome is still on its way to a quorum.
        return context.order.status not in (409, 503)

    wait_until(is_decided, "the order is decided")
