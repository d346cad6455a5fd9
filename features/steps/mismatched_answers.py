"""Steps for servers that send late, unsolicited or mismatched answers."""

from __future__ import annotations

import json
import time

from behave import given, then, when

from harness.cluster import call, free_port, wait_until
from harness.mismatched_answers import MismatchedAnswerServer

REQUEST_PAUSE_S = 0.06


def _announce(context):
    content = {
        "address": "127.0.0.1",
        "port": context.mismatched_answer_server.port,
        "slots": 2,
        "incarnation": context.incarnation,
    }
    path = f"/gentianwall/v1/services/{context.service}/servers/crossing"
    entry = context.cluster.address("entry-0")
    return call(entry, "PUT", path, json.dumps(content).encode())


@given('a server of "{service}" whose answers are {manner}')
def step_server(context, service, manner):
    context.service = service
    context.incarnation = time.time_ns() // 1000
    context.mismatched_answer_server = MismatchedAnswerServer(free_port())
    context.resources.append(context.mismatched_answer_server)
    context.mismatched_answer_server.mode = manner
    wait_until(
        lambda: _announce(context).status == 200, "the server is announced"
    )


@when("{count:d} callers request distinct paths, one after the other")
def step_distinct_requests(context, count):
    entry = context.cluster.address("entry-0")
    context.answers = {}
    for number in range(count):
        _announce(context)
        path = f"/{context.service}/own/{time.time_ns()}-{number}"
        context.answers[path] = call(entry, "GET", path)
        time.sleep(REQUEST_PAUSE_S if number % 2 else 0.0)


@then("every answer that was passed on names the requested path")
def step_requested_path(context):
    for path, answer in context.answers.items():
        if answer.status == 200:
            named = json.loads(answer.body)["path"]
            assert f"/{context.service}{named}" == path, (path, answer)


@then("at least {minimum:d} answers were passed on")
def step_passed_on_count(context, minimum):
    passed_on = [a for a in context.answers.values() if a.status == 200]
    assert len(passed_on) >= minimum, len(passed_on)


@then("no answer was passed on")
def step_none_passed_on(context):
    assert all(a.status != 200 for a in context.answers.values())
