"""Measures the cost of the leader's feed by entries, servers and routes."""

from __future__ import annotations

import time

import attrs

from gentianwall import codec
from gentianwall.claims.commands import (
    AnnounceServer,
    MarkSilent,
    PutConfiguration,
)
from gentianwall.claims.register import apply_command
from gentianwall.config.routes import (
    CallerLimits,
    Route,
    RouteConfiguration,
    RouteKind,
    RouteTarget,
)
from gentianwall.control.messages import FeedPoll
from gentianwall.core.control import ControlState, reduce_control
from gentianwall.core.effects import SendMessage
from gentianwall.core.events import MessageArrived
from gentianwall.links.messages import (
    PROTOCOL_VERSION,
    BodyEncoder,
    Envelope,
    Frame,
    Message,
    decode_envelope,
)
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.replication.replica import BatchEnded
from harness.leader import leading_replica

NOW_MS = 10_000.0
POLLS_PER_S = 2.5
SIZES = ((44, 164, 20), (250, 164, 20), (250, 2600, 500), (1000, 2600, 500))


@attrs.frozen
class Cost:
    """Cost of the feed.

    Attributes:
        poll_us: Leader's processor time for a poll without a change.
        poll_bytes: Bytes of the poll and its reply.
        change_ms: Leader's processor time to send one change to all entries.
        change_bytes: Bytes sent to each entry for one change.
        full_update_ms: Leader's processor time to send a full update to all
            entries.
        full_update_bytes: Bytes sent to each entry in a full update.
        decode_ms: Entry's processor time to decode a full update.
    """

    poll_us: float
    poll_bytes: int
    change_ms: float
    change_bytes: int
    full_update_ms: float
    full_update_bytes: int
    decode_ms: float


def _make_route(number: int) -> Route:
    return Route(
        f"r-{number}",
        f"host-{number}.example",
        f"/path-{number}/",
        RouteKind.SAFE,
        1000.0,
        400.0,
        1,
        2,
        (RouteTarget(f"service-{number % 83}", 1.0),),
    )


def make_leader(servers: int, routes: int) -> ControlState:
    """Returns the state of a leader with a lease, servers and routes."""
    replica = leading_replica(NOW_MS)
    configuration = RouteConfiguration(
        1, tuple(map(_make_route, range(routes))), (), CallerLimits()
    )
    apply_command(replica.register, PutConfiguration(configuration, b"", 0))
    for number in range(servers):
        notice = ServerNotice(
            ServerKey(f"service-{number % 83}", f"i-{number}"),
            f"10.{number // 62500}.{number // 250 % 250}.{number % 250}",
            8080,
            4,
            "z",
            1_700_000_000_000 + number,
            "up",
        )
        apply_command(replica.register, AnnounceServer(notice, 1, 0.0, 0))
    return ControlState(replica, ())


class Leader:
    """Leader with its entries; keeps the frames that it sends."""

    def __init__(self, entries: int, servers: int, routes: int):
        self.state = make_leader(servers, routes)
        self.entry_names = [
            f"10.200.{n // 250}.{n % 250}:1" for n in range(entries)
        ]
        self.encoder = BodyEncoder()
        self.sent: list[bytes] = []

    def encode_frame(self, message: Message) -> bytes:
        """Encodes a message in a frame as links do."""
        is_compressed, body = self.encoder.pack(message)
        frame = Frame(
            PROTOCOL_VERSION, "a", "boot", 1.0, 1, is_compressed, body
        )
        return codec.pack(frame, Frame)

    def handle_event(self, event) -> None:
        """Handles an event and keeps the messages that result from it."""
        for effect in reduce_control(self.state, event):
            if isinstance(effect, SendMessage):
                self.sent.append(self.encode_frame(effect.message))

    def poll_all(self, poll: FeedPoll) -> tuple[float, int]:
        """Handles one poll of each entry.

        Returns:
            Processor time in seconds and the number of bytes sent.
        """
        encoded_poll = self.encode_frame(poll)
        self.sent.clear()
        started_s = time.process_time()
        for name in self.entry_names:
            envelope = decode_envelope(encoded_poll)
            assert isinstance(envelope, Envelope)
            self.handle_event(
                MessageArrived(NOW_MS, 0, name, "boot", 0.0, envelope.message)
            )
        return time.process_time() - started_s, sum(map(len, self.sent))


def measure(entries: int, servers: int, routes: int) -> Cost:
    """Measures the cost at one size of a fleet."""
    leader = Leader(entries, servers, routes)
    full_update_s, full_update_bytes = leader.poll_all(
        FeedPoll(-1, 0, 0, False)
    )
    full_update = leader.sent[-1]
    decode_s = time.process_time()
    decode_envelope(full_update)
    decode_s = time.process_time() - decode_s
    poll = FeedPoll(1, servers, 0, True)
    leader.poll_all(poll)
    poll_s, poll_bytes = leader.poll_all(poll)
    leader.sent.clear()
    register = leader.state.replica.register
    apply_command(register, MarkSilent("i-0", 1_700_000_000_000, 0))
    change_s = time.process_time()
    leader.handle_event(BatchEnded(NOW_MS))
    change_s = time.process_time() - change_s
    assert len(leader.sent) == entries
    return Cost(
        poll_us=poll_s / entries * 1e6,
        poll_bytes=poll_bytes // entries + len(leader.encode_frame(poll)),
        change_ms=change_s * 1e3,
        change_bytes=sum(map(len, leader.sent)) // entries,
        full_update_ms=full_update_s * 1e3,
        full_update_bytes=full_update_bytes // entries,
        decode_ms=decode_s * 1e3,
    )


def main() -> None:
    """Prints the cost at each size as a Markdown table."""
    print(
        "| entries, servers, routes | poll | of a core | B a poll "
        "| change to all | B each | full update to all | B each | decode |"
    )
    print("|" + " --- |" * 9)
    for entries, servers, routes in SIZES:
        cost = measure(entries, servers, routes)
        share = cost.poll_us * entries * POLLS_PER_S / 1e4
        print(
            f"| {entries}, {servers}, {routes} | {cost.poll_us:.0f} us "
            f"| {share:.1f}% | {cost.poll_bytes} | {cost.change_ms:.1f} ms "
            f"| {cost.change_bytes} | {cost.full_update_ms:.0f} ms "
            f"| {cost.full_update_bytes} | {cost.decode_ms:.0f} ms |"
        )


if __name__ == "__main__":
    main()
