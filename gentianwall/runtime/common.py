"""Functions that the drivers of entries and control instances share."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from gentianwall.config.fleet import FleetSettings
from gentianwall.config.settings import Address, parse_address
from gentianwall.core.events import MessageArrived
from gentianwall.http.channel import (
    CallerRequest,
    CallerSite,
    SiteLimits,
    refuse_bodies,
)
from gentianwall.http.client_budget import ClientBudget
from gentianwall.links.messages import Envelope
from gentianwall.links.sockets import LinkSetup
from gentianwall.runtime.client_reports import ClientReports
from gentianwall.timeline import Timeline
from gentianwall.timers import monotonic_ms, wall_ms

LISTEN_BACKLOG = 1024
# A change must be in force within 2 s. A silent link is closed and reconnected
# in less than half of that, so that the change still arrives in time.
LINK_HEARTBEAT_MS = 300
LINK_SILENCE_MS = 900


class ControlFailedError(Exception):
    """The control instance cannot start, or an unhandled exception stopped it.

    It acknowledged nothing that is not synced to its journal.
    """


def listen(reactor, address: str, factory):
    """Listens at a validated IP:PORT; returns the listening port."""
    parsed = parse_address(address)
    assert isinstance(parsed, Address)
    return reactor.listenTCP(
        parsed.port, factory, backlog=LISTEN_BACKLOG, interface=parsed.host
    )


def stop_listening(ports: list, *sites: CallerSite) -> None:
    """Stops accepting connections and closes those without a request."""
    for port in ports:
        port.stopListening()
    ports.clear()
    for site in sites:
        for channel in list(site.channels):
            channel.close_when_idle()


def listen_metrics(
    reactor,
    settings: FleetSettings,
    render: Callable[[], bytes],
    budget: ClientBudget,
    reports: ClientReports,
):
    """Serves metrics as text at `GET /metrics`; returns the port."""

    def answer(request: CallerRequest) -> None:
        if request.path == b"/metrics":
            reports.update_metrics()
            headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
            request.answer(200, headers, render())
        else:
            request.answer(404, [], b"")

    address = f"{settings.host}:{settings.metrics_port}"
    site = CallerSite(
        answer,
        lambda request: None,
        limits=SiteLimits(
            budget=budget, report_misuse=reports.reporter("metrics")
        ),
        check_head=refuse_bodies,
    )
    return listen(reactor, address, site)


def message_events(
    envelopes: list[Envelope], timeline: Timeline
) -> Iterator[MessageArrived]:
    """Yields an event per envelope and advances the clock of the timeline."""
    for envelope in envelopes:
        timeline.advance_clock(envelope.clock_ms)
        yield MessageArrived(
            at_ms=monotonic_ms(),
            wall_ms=wall_ms(),
            sender=envelope.sender,
            boot_id=envelope.boot_id,
            sent_ms=envelope.sent_ms,
            message=envelope.message,
        )


def fleet_link_setup(settings: FleetSettings) -> LinkSetup:
    """Returns the link setup of a fleet's process, named by its address."""
    return LinkSetup(
        name=settings.link_address,
        address=settings.link_address,
        can_connect_on_demand=True,
        heartbeat_ms=LINK_HEARTBEAT_MS,
        silence_ms=LINK_SILENCE_MS,
    )
