"""Client of the control instances: resends requests until a leader answers."""

from __future__ import annotations

import attrs

from gentianwall.claims.commands import Command
from gentianwall.control.messages import (
    CommandRefused,
    CommandRequest,
    ConfigurationRequest,
    StatusRequest,
)

ControlRequest = CommandRequest | StatusRequest | ConfigurationRequest

RESEND_MS = 120.0


@attrs.define
class PendingRequest:
    """A request that has not been answered yet.

    Attributes:
        message: The request, stored to be sent again.
        deadline_ms: When the request expires.
        interval_ms: Time without a reply before it is sent again.
        resend_ms: When the request is sent again.
    """

    message: ControlRequest
    deadline_ms: float
    interval_ms: float
    resend_ms: float


@attrs.frozen
class ControlSend:
    """A message to send to a control instance."""

    receiver: str
    message: ControlRequest


@attrs.define
class ControlClient:
    """Tracks the open requests to the control instances.

    Requests go to the presumed leader. When a request stays unanswered for
    `interval_ms`, the client moves on to the next control instance.

    Attributes:
        replicas: Names of the control instances.
        leader_index: Index of the presumed leader in `replicas`.
        pending: Open requests by id.
        interval_ms: Time without a reply before a request is sent again,
            unless the request has an interval of its own.
    """

    replicas: tuple[str, ...]
    leader_index: int = 0
    pending: dict[str, PendingRequest] = attrs.field(factory=dict)
    interval_ms: float = RESEND_MS

    @property
    def leader(self) -> str:
        """Name of the presumed leader."""
        return self.replicas[self.leader_index]

    def start_request(
        self,
        message: ControlRequest,
        deadline_ms: float,
        now_ms: float,
        interval_ms: float | None = None,
    ) -> ControlSend:
        """Opens a request and returns the message to send to the leader.

        Args:
            message: The request.
            deadline_ms: When the request expires.
            now_ms: The local clock.
            interval_ms: Time without a reply before it is sent again; that of
                the client if omitted.
        """
        interval_ms = self.interval_ms if interval_ms is None else interval_ms
        self.pending[message.request_id] = PendingRequest(
            message, deadline_ms, interval_ms, now_ms + interval_ms
        )
        return ControlSend(self.leader, message)

    def command(
        self,
        request_id: str,
        command: Command,
        deadline_ms: float,
        now_ms: float,
    ) -> ControlSend:
        """Opens a request to commit a command."""
        request = CommandRequest(request_id, command)
        return self.start_request(request, deadline_ms, now_ms)

    def close_request(self, request_id: str) -> bool:
        """Closes a request and returns whether it was open."""
        return self.pending.pop(request_id, None) is not None

    def set_replicas(self, names: tuple[str, ...]) -> None:
        """Sets the control instances; keeps the leader if it is among them."""
        if names and names != self.replicas:
            leader = self.leader
            self.replicas = names
            self.leader_index = names.index(leader) if leader in names else 0

    def set_leader(self, name: str) -> None:
        """Sets the presumed leader; ignores names of unknown instances."""
        if name in self.replicas:
            self.leader_index = self.replicas.index(name)

    def redirect(
        self, refused: CommandRefused, sender: str, now_ms: float
    ) -> ControlSend | None:
        """Redirects a refused request to the leader named in the refusal.

        Returns:
            The message to send, or None if the request is no longer open or
            the refusal names no other instance as leader.
        """
        pending = self.pending.get(refused.request_id)
        if pending is None or refused.leader in ("", sender):
            return None
        self.set_leader(refused.leader)
        pending.resend_ms = now_ms + pending.interval_ms
        return ControlSend(self.leader, pending.message)

    def resend_due(self, now_ms: float) -> list[ControlSend]:
        """Returns the requests that are due, addressed to the next instance."""
        due = [p for p in self.pending.values() if p.resend_ms <= now_ms]
        if due:
            self.leader_index = (self.leader_index + 1) % len(self.replicas)
        for pending in due:
            pending.resend_ms = now_ms + pending.interval_ms
        return [ControlSend(self.leader, p.message) for p in due]

    def expire_requests(self, now_ms: float) -> list[str]:
        """Removes requests whose deadline expired and returns their ids."""
        expired_ids = [
            request_id
            for request_id, pending in self.pending.items()
            if pending.deadline_ms <= now_ms
        ]
        for request_id in expired_ids:
            del self.pending[request_id]
        return expired_ids
