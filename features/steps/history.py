"""Steps for concurrent changes by operators while leaders fail."""

from __future__ import annotations

import random
import signal
import threading
import time

from behave import then, when

from gentianwall.commands.apply import ExitCode, apply
from gentianwall.ctl.client import Reply
from harness.cluster import DECLARATION
from harness.history import Operation, OperationResult, find_violations

SUSPENSION_S = 1.5
FAILURE_INTERVAL_S = 0.8
APPLY_WAIT_S = 4.0
RESULT_BY_EXIT_CODE = {
    ExitCode.OK: OperationResult.ACCEPTED,
    ExitCode.NOT_CONFIRMED: OperationResult.ACCEPTED,
    ExitCode.CONFLICT: OperationResult.CONFLICT,
    ExitCode.UNKNOWN: OperationResult.UNKNOWN,
}


class HistoryRecorder:
    """Records the operations of concurrent operators and readers."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.history = []
        self.is_finished = False

    def run_operator(self, number):
        """Applies changes; resends one up to twice if its result is unknown."""
        count = 0
        while not self.is_finished:
            count += 1
            base_version = self._read_version()
            if base_version is None:
                continue
            change_id = f"operator-{number}-{count}"
            text = DECLARATION + f"# {change_id}\n"
            for _ in range(3):
                if not self._apply_change(text, base_version, change_id):
                    break

    def _apply_change(self, text, base_version, change_id):
        """Applies a change; returns whether its result is unknown."""
        start_s = time.monotonic()
        result = apply(
            self.cluster.client(),
            text,
            "x",
            base_version,
            change_id,
            APPLY_WAIT_S,
        )
        operation_result = RESULT_BY_EXIT_CODE.get(result.code)
        assert operation_result is not None, result
        self.history.append(
            Operation(
                operation_result,
                start_s,
                time.monotonic(),
                result.version,
                base_version,
                change_id,
            )
        )
        return operation_result is OperationResult.UNKNOWN

    def _read_version(self):
        start_s = time.monotonic()
        reply = self.cluster.client().get("/v1/status")
        if not isinstance(reply, Reply) or reply.status != 200:
            return None
        version = reply.content["version"]
        self.history.append(
            Operation(OperationResult.READ, start_s, time.monotonic(), version)
        )
        return version

    def run_reader(self, number):
        """Reads the version in force until the run is finished."""
        while not self.is_finished:
            self._read_version()

    def inject_failures(self, seconds):
        """Kills, suspends or silences the leader repeatedly, for `seconds`."""
        rng = random.Random(7)
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            time.sleep(FAILURE_INTERVAL_S)
            status = self.cluster.status()
            if status is None:
                continue
            leader = status["leader"]
            match rng.randrange(3):
                case 0:
                    self.cluster.kill(leader)
                    self.cluster.start_instance(leader)
                case 1:
                    self.cluster.signal(leader, signal.SIGSTOP)
                    time.sleep(SUSPENSION_S)
                    self.cluster.signal(leader, signal.SIGCONT)
                case 2:
                    self.cluster.relays[leader].silence()
        self.is_finished = True


@when(
    "{operators:d} operators and {readers:d} readers work for {seconds:d} "
    "seconds while leaders fail"
)
def step_concurrent_operators(context, operators, readers, seconds):
    recorder = HistoryRecorder(context.cluster)
    threads = [
        threading.Thread(target=recorder.run_operator, args=(n,))
        for n in range(operators)
    ]
    threads += [
        threading.Thread(target=recorder.run_reader, args=(n,))
        for n in range(readers)
    ]
    for thread in threads:
        thread.start()
    recorder.inject_failures(seconds)
    for thread in threads:
        thread.join()
    context.history = recorder.history


@then("the history is linearizable")
def step_linearizable(context):
    violations = find_violations(context.history)
    assert not violations, violations[:10]


@then("at least {count:d} changes were accepted")
def step_accepted_count(context, count):
    accepted = {
        op.change_id
        for op in context.history
        if op.result is OperationResult.ACCEPTED
    }
    assert len(accepted) >= count, len(accepted)


@then("the configuration history agrees with every accepted change")
def step_in_history(context):
    context.cluster.leader()
    recorded = context.cluster.status()["history"]
    versions = {h["version"]: h["change_id"] for h in recorded}
    for operation in context.history:
        is_recorded = operation.version in versions
        if operation.result is OperationResult.ACCEPTED and is_recorded:
            assert versions[operation.version] == operation.change_id
