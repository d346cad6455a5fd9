"""Events of one process, ordered over all processes.

The time of an event is a hybrid logical clock (Kulkarni et al., "Logical
Physical Clocks", OPODIS 2014): wall time that never goes back, with a
counter for events of the same millisecond.
"""

from __future__ import annotations

import collections
import enum

import attrs

MAX_EVENTS = 20_000


class EventKind(enum.Enum):
    """What happened."""

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
    REQUEST_QUARANTINED = "request-quarantined"
    LEADER_CHANGED = "leader-changed"
    MEMBERS_CHANGED = "members-changed"
    STARTED = "started"
    DRAINING = "draining"


@attrs.frozen
class TimelineEvent:
    """One event.

    Attributes:
        wall_ms: Milliseconds since 1970, never going back in a process.
        counter: Orders the events of one millisecond.
        instance: The process.
        kind: What happened.
        request_id: The request concerned, or an empty text.
        subject: The server, version, leader or service concerned.
        detail: More in words.
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
    """The latest events of one process."""

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
        """Adds an event at the present wall time."""
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
        """Returns the clock at a wall time; it never goes back."""
        return max(wall_ms, self._wall_ms)

    def observe(self, wall_ms: int) -> None:
        """Moves the clock past the time of a message that arrived."""
        if wall_ms > self._wall_ms:
            self._wall_ms = wall_ms
            self._counter = 0
