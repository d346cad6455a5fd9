"""What servers and operators want of the control instances.

Any control instance takes a request; only the leader can commit or read, so
the others pass it on and wait for its answer.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from gentianwall.claims.commands import (
    AnnounceServer,
    Command,
    CommandResult,
    Done,
    PutConfiguration,
    RemoveServer,
)
from gentianwall.config.routes import RouteConfiguration
from gentianwall.control.client import ControlClient, ControlSend
from gentianwall.control.messages import (
    CommandRefused,
    CommandReply,
    CommandRequest,
    ConfigurationReply,
    ConfigurationRequest,
    ServerHeartbeats,
)
from gentianwall.core.events import MessageArrived
from gentianwall.links.messages import Message
from gentianwall.logs import get_logger
from gentianwall.membership.messages import ServerNotice
from gentianwall.membership.registry import changes_registry
from gentianwall.runtime.control import ControlRuntime
from gentianwall.timers import monotonic_ms, wall_ms

log = get_logger("gate")

# Callers move on after a second without an answer; what is late is lost.
ANSWER_WITHIN_MS = 950.0
# A large configuration may take longer to copy and its caller waits longer.
LARGE_DOCUMENT_BYTES = 64 * 1024
LARGE_ANSWER_WITHIN_MS = 3000.0
# Above the sync of a slow disk (25 x 5 ms), far below ANSWER_WITHIN_MS.
RESEND_MS = 250.0
GATE_TICK_MS = 50.0
# Two per server heartbeat; the silence that is told from it is seconds.
HEARD_MS = 500.0


@attrs.frozen
class NoAnswer:
    """No leader answered in time; the request may still take effect."""


GateResult = CommandResult | ConfigurationReply | NoAnswer


class Gate:
    """Passes requests to the leader and hands their results back."""

    def __init__(self, runtime: ControlRuntime):
        self._runtime = runtime
        self._client = ControlClient(
            (runtime.setup.name,), interval_ms=RESEND_MS
        )
        self._waiting: dict[str, Callable[[GateResult], None]] = {}
        self._heard: set[str] = set()
        self._heard_due_ms = 0.0
        self._number = 0
        runtime.receive_reply = self.receive

    def announce(
        self,
        notice: ServerNotice,
        sequence: int,
        warmup_ms: float,
        done: Callable[[GateResult], None],
    ) -> None:
        """Records what a server says; at once if it says only that it lives."""
        registry = self._runtime.state.replica.register.registry
        self._heard.add(notice.key.server)
        if not changes_registry(registry, notice, sequence):
            done(Done())
            return
        command = AnnounceServer(notice, sequence, warmup_ms, wall_ms())
        self._submit(command, ANSWER_WITHIN_MS, done)

    def remove(
        self,
        server: str,
        incarnation: int,
        done: Callable[[GateResult], None],
    ) -> None:
        """Records that a server leaves."""
        self._heard.discard(server)
        command = RemoveServer(server, incarnation, wall_ms())
        self._submit(command, ANSWER_WITHIN_MS, done)

    def put_configuration(
        self,
        configuration: RouteConfiguration,
        document: bytes,
        done: Callable[[GateResult], None],
    ) -> None:
        """Puts a valid configuration in force if its number is the highest."""
        is_large = len(document) > LARGE_DOCUMENT_BYTES
        wait_ms = LARGE_ANSWER_WITHIN_MS if is_large else ANSWER_WITHIN_MS
        command = PutConfiguration(configuration, document, wall_ms())
        self._submit(command, wait_ms, done)

    def read_configuration(self, done: Callable[[GateResult], None]) -> None:
        """Reads the configuration in force; never an older one."""
        request = ConfigurationRequest(self._open("read", done))
        self._ask(request, ANSWER_WITHIN_MS)

    def receive(self, message: Message) -> bool:
        """Takes an answer; returns whether the message was one."""
        match message:
            case CommandReply():
                self._finish(message.request_id, message.result)
            case ConfigurationReply():
                self._finish(message.request_id, message)
            case CommandRefused():
                send = self._client.redirect(
                    message, self._runtime.setup.name, monotonic_ms()
                )
                if send is not None:
                    self._send(send)
            case _:
                return False
        return True

    def tick(self) -> None:
        """Repeats what is not answered, and ends what is late."""
        now_ms = monotonic_ms()
        replica = self._runtime.state.replica
        names = {*replica.peers, replica.name}
        names |= {member.replica for member in replica.members}
        self._client.set_replicas(tuple(sorted(names)))
        for send in self._client.resend_due(now_ms):
            self._send(send)
        for request_id in self._client.expire_requests(now_ms):
            done = self._waiting.pop(request_id, None)
            if done is not None:
                done(NoAnswer())
        if self._heard and now_ms >= self._heard_due_ms and replica.leader:
            self._heard_due_ms = now_ms + HEARD_MS
            heard = ServerHeartbeats(tuple(sorted(self._heard)))
            self._heard.clear()
            self._send(ControlSend(replica.leader, heard))

    def _submit(
        self,
        command: Command,
        wait_ms: float,
        done: Callable[[GateResult], None],
    ) -> None:
        request = CommandRequest(self._open("command", done), command)
        self._ask(request, wait_ms)

    def _open(self, kind: str, done: Callable[[GateResult], None]) -> str:
        self._number += 1
        request_id = f"{kind}-{self._number}"
        self._waiting[request_id] = done
        return request_id

    def _ask(self, request, wait_ms: float) -> None:
        now_ms = monotonic_ms()
        leader = self._runtime.state.replica.leader
        if leader:
            self._client.set_replicas(
                tuple(sorted({*self._client.replicas, leader}))
            )
            self._client.set_leader(leader)
        self._send(
            self._client.start_request(request, now_ms + wait_ms, now_ms)
        )

    def _finish(self, request_id: str, result: GateResult) -> None:
        if self._client.close_request(request_id):
            self._waiting.pop(request_id)(result)

    def _send(self, send: ControlSend) -> None:
        runtime = self._runtime
        if send.receiver != runtime.setup.name:
            runtime.links.send(send.receiver, send.message)
            return
        runtime.handle_own(
            MessageArrived(
                at_ms=monotonic_ms(),
                wall_ms=wall_ms(),
                sender=runtime.setup.name,
                boot_id=runtime.links.boot_id,
                sent_ms=monotonic_ms(),
                message=send.message,
            )
        )
