"""Tests that calls of callers who leave end at their servers."""

from __future__ import annotations

from gentianwall.core.effects import CancelAttempt
from gentianwall.core.events import CallerDisconnected
from gentianwall.metrics import Metrics
from gentianwall.runtime.calls import CallHandler, OpenCall


class _Attempt:
    is_cancelled = False

    def cancel(self):
        self.is_cancelled = True


# The call was closed before the reducer cancelled it, so that its server worked
# on for nobody.
def test_the_attempt_of_a_caller_that_leaves_is_cancelled():
    attempt, request = _Attempt(), object()
    events = []

    def handle(event):
        events.append(event)
        handler.cancel(CancelAttempt(1, 1))

    handler = CallHandler(None, "e", "b", Metrics(), handle)
    call = OpenCall(1, "b-1", "s", b"/", request, 0.0, True, False, "")
    call.attempts[1] = attempt
    handler.open_calls[1] = call
    handler._call_id_by_request[id(request)] = 1
    handler.on_caller_disconnected(request)
    assert [type(event) for event in events] == [CallerDisconnected]
    assert attempt.is_cancelled
    assert not handler.open_calls
