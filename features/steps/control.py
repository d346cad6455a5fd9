"""Steps for changes while control instances fail or lose their disks."""

from __future__ import annotations

import concurrent.futures
import signal

from behave import step, then, when

from harness.cluster import wait_until


def _followers(context):
    cluster = context.cluster
    leader = cluster.leader()
    return [n for n in cluster.names("control") if n != leader]


@when("two operators concurrently apply different changes to one version")
def step_concurrent_changes(context):
    base_version = context.cluster.status()["version"]
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        futures = [
            pool.submit(
                context.cluster.apply, 100 + n, base_version, f"race-{n}"
            )
            for n in range(2)
        ]
        context.results = [future.result() for future in futures]


@then("one change is in force and the other reports a conflict with it")
def step_one_accepted(context):
    codes = sorted(result.code for result in context.results)
    assert codes == [0, 3], context.results
    accepted = next(r for r in context.results if r.code == 0)
    conflicting = next(r for r in context.results if r.code == 3)
    assert accepted.change_id in conflicting.message
    assert context.cluster.status()["version"] == accepted.version


@when('an operator applies a change with id "{change_id}"')
def step_apply_id(context, change_id):
    context.base_version = context.cluster.status()["version"]
    context.result = context.cluster.apply(77, context.base_version, change_id)
    context.first_result = context.result


@when('the operator applies the change with id "{change_id}" again')
def step_apply_again(context, change_id):
    context.result = context.cluster.apply(77, context.base_version, change_id)


@then("both results name the same version")
def step_same_result_version(context):
    assert context.result.version == context.first_result.version > 0
    assert context.result.code == context.first_result.code == 0


@when("the leading control instance is suspended")
def step_suspend(context):
    context.suspended = context.cluster.leader()
    context.cluster.signal(context.suspended, signal.SIGSTOP)


@when("an operator applies a change during the suspension")
def step_apply_during_suspension(context):
    context.result = context.cluster.apply(price=55)
    assert context.result.code == 0, context.result


@when("the suspended control instance resumes")
def step_resume(context):
    context.cluster.signal(context.suspended, signal.SIGCONT)


@then("the newer version stays in force at every entry")
def step_newer_version_kept(context):
    for _ in range(20):
        status = context.cluster.status()
        if status is None:
            continue
        entry_versions = {e["version"] for e in status["entries"]}
        assert entry_versions == {context.result.version}, status
        assert status["leader"] != context.suspended


@then("the formerly suspended instance follows the new leader")
def step_follows(context):
    wait_until(
        lambda: (
            context.cluster.replica_status(context.suspended)["role"]
            == "follower"
            and context.cluster.replica_status(context.suspended)["version"]
            == context.result.version
        ),
        "the former leader follows and has the newer version",
    )


@when("{count:d} changes are applied")
def step_apply_many(context, count):
    context.changes = []
    for number in range(count):
        result = context.cluster.apply(1000 + number)
        assert result.code == 0, result
        context.changes.append(result.change_id)


@when("a follower loses its disk and is started again")
def step_lose_disk(context):
    context.wiped = _followers(context)[0]
    _replace_disk(context.cluster, context.wiped)


def _replace_disk(cluster, name):
    cluster.kill(name)
    cluster.wipe(name)
    cluster.start_instance(name)


@step("the replaced disk is reported as repaired")
def step_repaired(context):
    cluster = context.cluster

    def is_repaired():
        disk = cluster.replica_status(context.wiped)["disk_id"]
        status = cluster.status()
        return bool(status) and f"{context.wiped}/{disk}" in status["disks"]

    wait_until(is_repaired, f"{context.wiped} is reported as repaired")


@when("another control instance is killed and loses its disk")
def step_lose_other_disk(context):
    cluster = context.cluster
    other = next(n for n in cluster.names("control") if n != context.wiped)
    cluster.kill(other)
    cluster.wipe(other)
    context.wiped = other


@then("all {count:d} changes are in the history")
def step_history(context, count):
    wait_until(lambda: context.cluster.status() is not None, "a leader answers")
    recorded = [h["change_id"] for h in context.cluster.status()["history"]]
    assert [c for c in recorded if c in context.changes] == context.changes


@then("an operator can apply a change")
def step_can_apply(context):
    assert context.cluster.apply(price=8).code == 0


@when("that control instance is started with an empty disk")
def step_start_wiped(context):
    context.cluster.start_instance(context.wiped)


@when("every process is killed and started again")
def step_restart_all(context):
    cluster = context.cluster
    names = [i["name"] for i in cluster.instances]
    for name in names:
        cluster.kill(name)
    for name in names:
        cluster.start_instance(name)


@then("the last version is in force at all entries")
def step_last_version(context):
    cluster = context.cluster
    wait_until(cluster.is_ready, "all entries are ready")
    status = cluster.status()
    assert status["history"][-1]["change_id"] == context.changes[-1]
    wait_until(
        lambda: (
            {e["version"] for e in cluster.status()["entries"]}
            == {status["version"]}
        ),
        "the last version is in force at all entries",
    )
