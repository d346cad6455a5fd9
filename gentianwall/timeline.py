"""Timeline of the events of a process, ordered across all processes.

Events are timestamped by a hybrid logical clock (Kulkarni et al., "Logical
Physical Clocks", OPODIS 2014): wall time that never goes back, with a
counter for events of the same millisecond.
"""

from __future__ import annotations

import collections
import enum

import attrs

MAX_EVENTS = 20_000


class EventKind(enum.Enum):
    """Kinds of timeline events."""

    CALL_REFUSED = "call-refused"
    CALL_FAILED = "call-failed"
    CALL_RETRIED = "call-retried"
    CALL_ANSWERED = "call-answered"
    SERVER_JOINED = "server-joined"
    SERVER_DRAINING = "server-draining"
    SERVER_LEFT = "server-left"
    SERVER_LAPSED = "server-lapsed"
    SERVER_EJECTED = "server-ejected"
    SERVER_RETURNED = "server-returned"
    CONNECTIONS_CLOSED = "connections-closed"
    CONFIG_IN_FORCE = "config-in-force"
    CONFIG_WITHHELD = "config-withheld"
    REQUEST_QUARANTINED = "request-quarantined"
    LEADER_CHANGED = "leader-changed"
    MEMBERS_CHANGED = "members-changed"
    EVACUATED = "evacuated-domains"
    STARTED = "started"
    DRAINING = "draining"


@attrs.frozen
class TimelineEvent:
    """An event of the timeline.

    Attributes:
        wall_ms: Milliseconds since the Unix epoch; never decreases within a
            process.
        counter: Orders the events of the same millisecond.
        instance: Name of the process.
        kind: Value of an `EventKind`.
        request_id: Id of the request concerned; empty if there is none.
        subject: Name of the server, version, leader or service concerned.
        detail: Further description.
    """

    wall_ms: int
    counter: int
    instance: str
    kind: str
    request_id: str
    subject: str
    detail: str


@attrs.define
class Timeline:
    """Records the latest events of one process."""

    instance: str
    events: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_EVENTS)
    )
    _wall_ms: int = 0
    _counter: int = 0

    def record(
        self,
        wall_ms: int,
        kind: EventKind,
        subject: str = "",
        detail: str = "",
        request_id: str = "",
    ) -> None:
        """Records an event at the given wall time.

        If the hybrid clock is ahead of it, the event gets the time of that
        clock.
        """
        if wall_ms > self._wall_ms:
            self._wall_ms = wall_ms
            self._counter = 0
        else:
            self._counter += 1
        self.events.append(
            TimelineEvent(
                self._wall_ms,
                self._counter,
                self.instance,
                kind.value,
                request_id,
                subject,
                detail,
            )
        )

    def now_ms(self, wall_ms: int) -> int:
        """Returns the later of a wall time and the hybrid clock."""
        return max(wall_ms, self._wall_ms)

    def advance_clock(self, wall_ms: int) -> None:
        """Advances the hybrid clock to the time in a received message."""
        if wall_ms > self._wall_ms:
            self._wall_ms = wall_ms
            self._counter = 0
