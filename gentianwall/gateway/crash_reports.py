"""Reports requests that crash servers to the control instances.

Load pattern: a request ends every server that runs it and comes again; two
reports quarantine it at all entries. A partition looks the same for the
requests that it interrupts, also where it is short. So a crash is reported only
once another server was reached after it.

Servers also end for other reasons while they run a request that many callers
send. Such a request completes at other servers, while one that crashes servers
does not. So a completed run withdraws what was reported of it before.
"""

from __future__ import annotations

from gentianwall.claims.commands import (
    CRASH_WINDOW_MS,
    Command,
    ReleaseQuarantine,
    ReportCrash,
)
from gentianwall.claims.quarantines import start_name
from gentianwall.control.messages import CommandRequest
from gentianwall.gateway.effects import GatewayEffect, Log, SendToControl
from gentianwall.gateway.events import ServerCrashed
from gentianwall.gateway.state import GatewayState

# Bounds the memory for requests that never come again.
MAX_SUSPECTS = 1000
# A release is sent again if its quarantine is still listed after this time,
# which is well above the time of a commit on a slow disk.
RELEASE_RESEND_MS = 500.0


def on_server_crashed(
    state: GatewayState, event: ServerCrashed, effects: list[GatewayEffect]
) -> None:
    """Reports a crash once it is known to be none of the entry's own links."""
    if set(state.service_by_server) <= {event.server}:
        _report(state, event, effects)
        return
    state.unconfirmed_crashes.append(event)


def on_server_reached(
    state: GatewayState, server: str, effects: list[GatewayEffect]
) -> None:
    """Reports the crashes of other servers than the one that was reached."""
    for event in list(state.unconfirmed_crashes):
        if event.server != server:
            state.unconfirmed_crashes.remove(event)
            _report(state, event, effects)


def on_partition_began(
    state: GatewayState, effects: list[GatewayEffect]
) -> None:
    """Drops the crashes that the partition explains."""
    for event in state.unconfirmed_crashes:
        fields = {"server": event.server, "fingerprint": event.fingerprint}
        effects.append(Log("crash_unconfirmed", fields))
    state.unconfirmed_crashes.clear()


def on_completed(
    state: GatewayState,
    fingerprint: str,
    now_ms: float,
    effects: list[GatewayEffect],
) -> None:
    """Withdraws the suspicion of a request that a server has completed.

    Args:
        state: State of the entry.
        fingerprint: Name under which the request is quarantined; may be empty
            if none is suspected.
        now_ms: The local clock.
        effects: List to which effects are appended.
    """
    if not fingerprint:
        return
    state.unconfirmed_crashes = [
        event
        for event in state.unconfirmed_crashes
        if event.fingerprint != fingerprint
    ]
    is_suspect = state.suspects.pop(fingerprint, None) is not None
    is_listed = fingerprint in state.quarantines
    sent_ms = state.withdrawn.get(fingerprint, float("-inf"))
    if not is_suspect and (
        not is_listed or now_ms - sent_ms < RELEASE_RESEND_MS
    ):
        return
    if is_listed:
        state.withdrawn[fingerprint] = now_ms
    _send(state, ReleaseQuarantine(fingerprint, 0), effects)
    fields = {"fingerprint": fingerprint, "is_quarantined": is_listed}
    effects.append(Log("crash_withdrawn", fields))


def expire_suspects(state: GatewayState, now_ms: float) -> None:
    """Forgets the suspects whose crashes count no more."""
    suspects = state.suspects
    while suspects:
        oldest = next(iter(suspects))
        if suspects[oldest] > now_ms - CRASH_WINDOW_MS:
            break
        del suspects[oldest]


def _report(
    state: GatewayState, event: ServerCrashed, effects: list[GatewayEffect]
) -> None:
    _record_suspect(state, event)
    start = start_name(event.server, event.incarnation)
    command = ReportCrash(event.service, event.fingerprint, start, 0)
    _send(state, command, effects)
    fields = {"server": event.server, "fingerprint": event.fingerprint}
    effects.append(Log("server_crashed", fields))


def _record_suspect(state: GatewayState, event: ServerCrashed) -> None:
    suspects = state.suspects
    suspects.pop(event.fingerprint, None)
    suspects[event.fingerprint] = event.at_ms
    state.withdrawn.pop(event.fingerprint, None)
    if len(suspects) > MAX_SUSPECTS:
        del suspects[next(iter(suspects))]


def _send(
    state: GatewayState, command: Command, effects: list[GatewayEffect]
) -> None:
    """Sends a command to the leader, or to all control instances."""
    state.crash_reports += 1
    request = CommandRequest(f"crash-{state.crash_reports}", command)
    receivers = {state.leader} if state.leader else set(state.controls)
    for receiver in sorted(receivers):
        effects.append(SendToControl(receiver, request))
