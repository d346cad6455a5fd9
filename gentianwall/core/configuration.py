"""Declaration in force at an entry; its version never decreases."""

from __future__ import annotations

import attrs

from gentianwall.admission.budget import (
    RetryBudget,
    probe_interval_ms,
)
from gentianwall.config.declaration import Declaration, parse_declaration
from gentianwall.config.schema import ConfigErrors
from gentianwall.control.messages import ConfigNotice, ConfigPoll
from gentianwall.core import dispatching
from gentianwall.core.effects import EntryEffect, RecordEvent, SendMessage
from gentianwall.core.events import MessageArrived
from gentianwall.core.state import EntryState, Service
from gentianwall.routing.pool import ServerPool
from gentianwall.timeline import EventKind

POLL_INTERVAL_MS = 500.0
STARTUP_POLL_INTERVAL_MS = 100.0


def send_due_polls(
    state: EntryState, now_ms: float, effects: list[EntryEffect]
) -> None:
    """Polls the control instances when due.

    A poll carries the versions in force here, so that the leader sends what
    is newer.
    """
    if now_ms < state.poll_due_ms:
        return
    interval_ms = (
        POLL_INTERVAL_MS if state.is_config_known else STARTUP_POLL_INTERVAL_MS
    )
    state.poll_due_ms = now_ms + interval_ms
    poll = ConfigPoll(state.version, state.quarantine_version, state.is_ready)
    for replica in state.control.replicas:
        effects.append(SendMessage(replica, poll))


def on_notice(
    state: EntryState,
    event: MessageArrived,
    notice: ConfigNotice,
    effects: list[EntryEffect],
) -> None:
    """Applies a notice of the leader.

    A notice is ignored if its version is older, or if it is newer without a
    valid declaration.
    """
    state.control.set_leader(event.sender)
    if notice.version < state.version:
        return
    if notice.version > state.version:
        if notice.text is None:
            return
        declaration = parse_declaration(notice.text)
        if isinstance(declaration, ConfigErrors):
            return
        apply_declaration(state, declaration, event.at_ms, effects)
        state.version = notice.version
        effects.append(
            RecordEvent(EventKind.CONFIG_IN_FORCE, f"version {notice.version}")
        )
        # Polled at once: the sooner the leader receives this version, the
        # sooner `apply` returns.
        state.poll_due_ms = event.at_ms
        send_due_polls(state, event.at_ms, effects)
    state.term = max(state.term, notice.term)
    state.is_config_known = True
    _update_quarantines(state, notice)


def _update_quarantines(state: EntryState, notice: ConfigNotice) -> None:
    if notice.quarantines is None:
        return
    if notice.quarantine_version >= state.quarantine_version:
        state.quarantines = frozenset(notice.quarantines)
        state.quarantine_version = notice.quarantine_version


def apply_declaration(
    state: EntryState,
    declaration: Declaration,
    now_ms: float,
    effects: list[EntryEffect],
) -> None:
    """Applies a declaration to the services.

    Outstanding calls continue; waiting calls of services that are no longer
    declared are refused.
    """
    state.declaration = declaration
    entries = len(state.peers) + 1
    measuring = declaration.measuring
    state.probe_budget = attrs.evolve(
        state.probe_budget,
        interval_ms=probe_interval_ms(
            measuring.probe_cost_ms, measuring.budget_ratio, entries
        ),
    )
    for name in list(state.services):
        if name not in declaration.services:
            service = state.services.pop(name)
            dispatching.refuse_waiting(state, service, now_ms, effects)
    for name, settings in declaration.services.items():
        service = state.services.get(name)
        if service is not None:
            service.settings = settings
            service.retry_budget.ratio = settings.retry_budget_ratio
            continue
        service = Service(
            name=name,
            settings=settings,
            pool=ServerPool(average_service_ms=settings.expected_service_ms),
            retry_budget=RetryBudget(settings.retry_budget_ratio),
        )
        state.services[name] = service
        for notice in state.directory.notices_of_service(name):
            service.pool.put(notice, now_ms)
