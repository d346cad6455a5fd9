"""Steps for configuration changes and restarts of the instances."""

from __future__ import annotations

import time

from behave import then, when

from harness.cluster import call, wait_until

UNREADY_CHECK_S = 1.5


def _control_name(context) -> str:
    return context.cluster.names("control")[0]


def _entry_name(context) -> str:
    return context.cluster.names("entry")[0]


@when("the control instance is killed")
def step_kill_control(context):
    context.cluster.kill(_control_name(context))


@when("the control instance is started again")
def step_start_control(context):
    context.cluster.start_instance(_control_name(context))
    context.cluster.leader()


@when("the entry is restarted")
def step_restart_entry(context):
    context.cluster.kill(_entry_name(context))
    context.cluster.start_instance(_entry_name(context))


@then("the entry is live but not ready")
def step_not_ready(context):
    address = context.cluster.address(_entry_name(context))
    wait_until(
        lambda: call(address, "GET", "/livez").status == 200,
        "the entry is live",
    )
    end_s = time.monotonic() + UNREADY_CHECK_S
    while time.monotonic() < end_s:
        assert call(address, "GET", "/readyz").status == 503
        time.sleep(0.05)
    refused = call(address, "GET", "/die-ledger/x")
    assert refused.status == 503 and refused.executed == "no"


@then("the entry becomes ready with version {version:d}")
def step_ready(context, version):
    wait_until(context.cluster.is_ready, "the entry is ready")
    step_version(context, version)


@then("a caller is still answered")
def step_caller_answered(context):
    address = context.cluster.address(_entry_name(context))
    assert call(address, "GET", "/die-ledger/x").status == 200


@when("an operator applies a changed declaration")
def step_apply(context):
    context.result = context.cluster.apply(price=6)


@then("the exit code is {code:d}")
def step_exit_code(context, code):
    assert context.result.code == code, context.result


@then("the version in force is {version:d}")
def step_version(context, version):
    status = context.cluster.status()
    assert status and status["version"] == version, status

    def is_in_force():
        entries = context.cluster.status()["entries"]
        return {e["version"] for e in entries} == {version}

    # A new leader receives an entry's version only with its next poll.
    wait_until(is_in_force, f"every entry has applied version {version}", 3.0)
