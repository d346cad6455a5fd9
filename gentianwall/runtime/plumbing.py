"""What the drivers of both roles do alike."""

from __future__ import annotations

from collections.abc import Iterator

from gentianwall.config.settings import Address, parse_address
from gentianwall.core.events import MessageArrived
from gentianwall.links.messages import Envelope
from gentianwall.timeline import Timeline
from gentianwall.timers import monotonic_ms, wall_ms

LISTEN_BACKLOG = 1024


def listen(reactor, address: str, factory):
    """Listens at a checked IP:PORT; returns the listening port."""
    parsed = parse_address(address)
    assert isinstance(parsed, Address)
    return reactor.listenTCP(
        parsed.port, factory, backlog=LISTEN_BACKLOG, interface=parsed.host
    )


def events_of(
    envelopes: list[Envelope], timeline: Timeline
) -> Iterator[MessageArrived]:
    """Turns envelopes into events; each also moves the time line's clock."""
    for envelope in envelopes:
        timeline.observe(envelope.clock_ms)
        yield MessageArrived(
            at_ms=monotonic_ms(),
            wall_ms=wall_ms(),
            sender=envelope.sender,
            boot_id=envelope.boot_id,
            sent_ms=envelope.sent_ms,
            message=envelope.message,
        )
