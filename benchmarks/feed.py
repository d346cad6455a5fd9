"""What it costs a leader to tell entries, by entries, servers and routes."""

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
    """What a leader spends.

    Attributes:
        poll_us: Processor time of a poll that brings no news.
        poll_bytes: Bytes of the poll and its answer.
        change_ms: Processor time of telling all entries of one change.
        change_bytes: Bytes of that, for each entry.
        start_ms: Processor time of telling all entries everything.
        start_bytes: Bytes of that, for each entry.
        read_ms: Processor time of an entry to read everything.
    """

    poll_us: float
    poll_bytes: int
    change_ms: float
    change_bytes: int
    start_ms: float
    start_bytes: int
    read_ms: float


def _route(number: int) -> Route:
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
    """Returns a leader under its lease that holds servers and routes."""
    replica = leading_replica(NOW_MS)
    configuration = RouteConfiguration(
        1, tuple(map(_route, range(routes))), (), CallerLimits()
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
    """A leader with its entries; counts what it sends."""

    def __init__(self, entries: int, servers: int, routes: int):
        self.state = make_leader(servers, routes)
        self.names = [f"10.200.{n // 250}.{n % 250}:1" for n in range(entries)]
        self.packer = BodyEncoder()
        self.sent: list[bytes] = []

    def frame(self, message: Message) -> bytes:
        """Packs a message as the links do."""
        is_compressed, body = self.packer.pack(message)
        frame = Frame(
            PROTOCOL_VERSION, "a", "boot", 1.0, 1, is_compressed, body
        )
        return codec.pack(frame, Frame)

    def see(self, event) -> None:
        """Takes an event and sends what it wants sent."""
        for effect in reduce_control(self.state, event):
            if isinstance(effect, SendMessage):
                self.sent.append(self.frame(effect.message))

    def poll_all(self, poll: FeedPoll) -> tuple[float, int]:
        """Lets each entry poll; returns processor time and sent bytes."""
        asked = self.frame(poll)
        self.sent.clear()
        started_s = time.process_time()
        for name in self.names:
            envelope = decode_envelope(asked)
            assert isinstance(envelope, Envelope)
            self.see(
                MessageArrived(NOW_MS, 0, name, "boot", 0.0, envelope.message)
            )
        return time.process_time() - started_s, sum(map(len, self.sent))


def measure(entries: int, servers: int, routes: int) -> Cost:
    """Measures one size."""
    leader = Leader(entries, servers, routes)
    start_s, start_bytes = leader.poll_all(FeedPoll(-1, 0, 0, False))
    whole = leader.sent[-1]
    read_s = time.process_time()
    decode_envelope(whole)
    read_s = time.process_time() - read_s
    poll = FeedPoll(1, servers, 0, True)
    leader.poll_all(poll)
    poll_s, poll_bytes = leader.poll_all(poll)
    leader.sent.clear()
    register = leader.state.replica.register
    apply_command(register, MarkSilent("i-0", 1_700_000_000_000, 0))
    change_s = time.process_time()
    leader.see(BatchEnded(NOW_MS))
    change_s = time.process_time() - change_s
    assert len(leader.sent) == entries
    return Cost(
        poll_us=poll_s / entries * 1e6,
        poll_bytes=poll_bytes // entries + len(leader.frame(poll)),
        change_ms=change_s * 1e3,
        change_bytes=sum(map(len, leader.sent)) // entries,
        start_ms=start_s * 1e3,
        start_bytes=start_bytes // entries,
        read_ms=read_s * 1e3,
    )


def main() -> None:
    """Prints the cost of each size as a table."""
    print(
        "| entries, servers, routes | poll | of a core | B a poll "
        "| change to all | B each | all told everything | B each | read |"
    )
    print("|" + " --- |" * 9)
    for entries, servers, routes in SIZES:
        cost = measure(entries, servers, routes)
        share = cost.poll_us * entries * POLLS_PER_S / 1e4
        print(
            f"| {entries}, {servers}, {routes} | {cost.poll_us:.0f} us "
            f"| {share:.1f}% | {cost.poll_bytes} | {cost.change_ms:.1f} ms "
            f"| {cost.change_bytes} | {cost.start_ms:.0f} ms "
            f"| {cost.start_bytes} | {cost.read_ms:.0f} ms |"
        )


if __name__ == "__main__":
    main()
