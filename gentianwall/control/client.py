"""How an entry gets commands committed: repeated until a leader answers."""

from __future__ import annotations

import attrs

from gentianwall.claims.commands import Command
from gentianwall.control.messages import (
    CommandRefused,
    CommandRequest,
    ReadRequest,
    StatusRequest,
)

ControlRequest = CommandRequest | StatusRequest | ReadRequest

RESEND_MS = 120.0


@attrs.define
class PendingRequest:
    """A request not yet answered."""

    message: ControlRequest
    deadline_ms: float
    resend_ms: float


@attrs.frozen
class ControlSend:
    """A message to send to a control instance."""

    receiver: str
    message: ControlRequest


@attrs.define
class ControlClient:
    """Requests to the control instances.

    Attributes:
        replicas: Names of the control instances.
        target: Index of the one thought to lead.
        pending: Requests by id.
        interval_ms: Time before a request is repeated.
    """

    replicas: tuple[str, ...]
    target: int = 0
    pending: dict[str, PendingRequest] = attrs.field(factory=dict)
    interval_ms: float = RESEND_MS

    @property
    def leader(self) -> str:
        """The control instance thought to lead."""
        return self.replicas[self.target]

    def ask(
        self,
        message: ControlRequest,
        deadline_ms: float,
        now_ms: float,
    ) -> ControlSend:
        """Starts a request."""
        self.pending[message.request_id] = PendingRequest(
            message, deadline_ms, now_ms + self.interval_ms
        )
        return ControlSend(self.leader, message)

    def command(
        self,
        request_id: str,
        command: Command,
        deadline_ms: float,
        now_ms: float,
    ) -> ControlSend:
        """Starts a command."""
        request = CommandRequest(request_id, command)
        return self.ask(request, deadline_ms, now_ms)

    def finish(self, request_id: str) -> bool:
        """Ends a request; returns whether it was open."""
        return self.pending.pop(request_id, None) is not None

    def note_replicas(self, names: tuple[str, ...]) -> None:
        """Takes note of the control instances there are."""
        if names and names != self.replicas:
            leader = self.leader
            self.replicas = names
            self.target = names.index(leader) if leader in names else 0

    def note_leader(self, name: str) -> None:
        """Takes note of who leads."""
        if name in self.replicas:
            self.target = self.replicas.index(name)

    def redirect(
        self, refused: CommandRefused, sender: str, now_ms: float
    ) -> ControlSend | None:
        """Follows a refusal to the leader that it names."""
        pending = self.pending.get(refused.request_id)
        if pending is None or refused.leader in ("", sender):
            return None
        self.note_leader(refused.leader)
        pending.resend_ms = now_ms + self.interval_ms
        return ControlSend(self.leader, pending.message)

    def resend_due(self, now_ms: float) -> list[ControlSend]:
        """Repeats what was not answered, at the next control instance."""
        due = [p for p in self.pending.values() if p.resend_ms <= now_ms]
        if due:
            self.target = (self.target + 1) % len(self.replicas)
        for pending in due:
            pending.resend_ms = now_ms + self.interval_ms
        return [ControlSend(self.leader, p.message) for p in due]

    def expire(self, now_ms: float) -> list[str]:
        """Gives up what is past its deadline; returns the request ids."""
        over = [
            request_id
            for request_id, pending in self.pending.items()
            if pending.deadline_ms <= now_ms
        ]
        for request_id in over:
            del self.pending[request_id]
        return over
