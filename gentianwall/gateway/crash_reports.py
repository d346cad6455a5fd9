"""Reports requests that crash servers to the control instances.

Load pattern: a request ends every server that runs it and comes again; two
reports quarantine it at all entries. A partition looks the same for the
requests that it interrupts, also where it is short. So a crash is reported only
once another server was reached after it.
"""

from __future__ import annotations

from gentianwall.claims.commands import ReportCrash
from gentianwall.control.messages import CommandRequest
from gentianwall.gateway.effects import GatewayEffect, Log, SendToControl
from gentianwall.gateway.events import ServerCrashed
from gentianwall.gateway.state import GatewayState


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


def _report(
    state: GatewayState, event: ServerCrashed, effects: list[GatewayEffect]
) -> None:
    state.crash_reports += 1
    command = ReportCrash(event.service, event.fingerprint, event.server, 0)
    request = CommandRequest(f"crash-{state.crash_reports}", command)
    receivers = {state.leader} if state.leader else set(state.controls)
    for receiver in sorted(receivers):
        effects.append(SendToControl(receiver, request))
    fields = {"server": event.server, "fingerprint": event.fingerprint}
    effects.append(Log("server_crashed", fields))
