"""Requests of servers and operators to the leader.

Any control instance accepts such a request. Only the leader can commit
commands and read the configuration, so the other instances send it the
request and wait for the reply.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from gentianwall.claims.commands import (
    FEATURE_STORED_ORGANISATIONS,
    AnnounceServer,
    Command,
    CommandResult,
    DeregisterServer,
    Done,
    EvacuationsHeld,
    PutConfiguration,
    SetEvacuation,
)
from gentianwall.claims.register import (
    RegisterState,
    has_repeated_warmup,
    held_configuration,
    named_services,
    owning_services,
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
from gentianwall.membership.registry import (
    DEPARTURE_SEQUENCE,
    changes_registry,
    is_address_kept,
    unrecorded_departure,
    warmup_end_ms,
)
from gentianwall.runtime.control import ControlRuntime
from gentianwall.timers import monotonic_ms, wall_ms

log = get_logger("gate")

# Servers and operators give up after 1 s without an answer, so a later reply
# would be useless.
REPLY_TIMEOUT_MS = 950.0
# A large configuration takes longer to replicate, and the operator who sends it
# waits longer.
LARGE_DOCUMENT_BYTES = 64 * 1024
LARGE_DOCUMENT_TIMEOUT_MS = 3000.0
# A large configuration occupies the leader for hundreds of milliseconds each
# time that it arrives, so it is sent again only if the leader was lost.
LARGE_DOCUMENT_RESEND_MS = 1000.0
# Above the time of a sync on a slow disk (25 x 5 ms) and far below
# REPLY_TIMEOUT_MS.
RESEND_MS = 250.0
LEADER_CLIENT_TICK_MS = 50.0
# Three reports per heartbeat of a server at the default of 1500 ms. The silence
# of a server is measured in seconds, so more reports would not detect it
# sooner.
HEARTBEAT_REPORT_MS = 500.0


@attrs.frozen
class LeaderTimeout:
    """No leader replied in time; the request may still take effect."""


@attrs.frozen
class UnknownService:
    """A server is announced for a service that the configuration lacks.

    It is registered for another service, or another server has its address. The
    announcement may come from another writer. It changes nothing.
    """

    service: str


@attrs.frozen
class EvacuationUnsupported:
    """Some control instance has not declared that it understands evacuations.

    This ends once the last instance of an earlier build is replaced.
    """


LeaderResult = (
    CommandResult
    | ConfigurationReply
    | LeaderTimeout
    | UnknownService
    | EvacuationUnsupported
)


class LeaderClient:
    """Sends requests to the leader and reports their results."""

    def __init__(self, runtime: ControlRuntime):
        self._runtime = runtime
        self._client = ControlClient((runtime.setup.name,))
        self._callbacks: dict[str, Callable[[LeaderResult], None]] = {}
        self._server_heartbeats: set[str] = set()
        self._server_heartbeats_due_ms = 0.0
        self._last_number = 0
        runtime.receive_reply = self.receive

    def announce(
        self,
        notice: ServerNotice,
        sequence: int,
        warmup_ms: float,
        on_result: Callable[[LeaderResult], None],
    ) -> None:
        """Records an announcement of a server.

        A heartbeat that changes nothing in the registry is not committed; its
        result is reported at once.
        """
        register = self._runtime.state.replica.register
        registry = register.registry
        if not _is_service_possible(register, notice):
            log.warning(
                "Refused the announcement of server %s, started %d, at %s:%d: "
                "the configuration does not name its service %s.",
                notice.key.server,
                notice.incarnation,
                notice.host,
                notice.port,
                notice.key.service,
            )
            on_result(UnknownService(notice.key.service))
            return
        self._server_heartbeats.add(notice.key.server)
        at_ms = wall_ms() if has_repeated_warmup(register, notice) else None
        cold_until_ms = warmup_end_ms(registry, notice, warmup_ms, at_ms)
        is_changed = changes_registry(
            registry, notice, sequence, cold_until_ms, owning_services(register)
        )
        if not is_changed and self._is_register_stored():
            on_result(Done())
            return
        command = AnnounceServer(notice, sequence, warmup_ms, wall_ms())
        self._submit(command, REPLY_TIMEOUT_MS, on_result)

    def deregister(
        self,
        server: str,
        incarnation: int,
        on_result: Callable[[LeaderResult], None],
    ) -> None:
        """Deregisters a server, also one that is not registered yet.

        The result is reported once both the deregistration and the end of an
        unknown start are committed, in either order.
        """
        self._server_heartbeats.discard(server)
        now_ms = wall_ms()
        commands = [DeregisterServer(server, incarnation, now_ms)]
        registry = self._runtime.state.replica.register.registry
        departure = unrecorded_departure(registry, server, incarnation)
        if departure is not None:
            # Older versions apply this command in the same way, so that
            # replicas of both versions have the same registry.
            commands.append(
                AnnounceServer(departure, DEPARTURE_SEQUENCE, 0.0, now_ms)
            )
        self._submit_all(commands, on_result)

    def put_configuration(
        self,
        configuration: RouteConfiguration,
        document: bytes,
        on_result: Callable[[LeaderResult], None],
    ) -> None:
        """Applies a valid configuration if its number is the highest.

        A configuration that changes nothing is not committed; its result is
        reported at once.
        """
        held = held_configuration(
            self._runtime.state.replica.register,
            configuration.number,
            document,
        )
        if held is not None and self._is_register_stored():
            on_result(held)
            return
        if configuration.organisations and self._is_leader_outdated():
            log.warning(
                "Configuration %d not sent to the leader, whose build does "
                "not know organisations.",
                configuration.number,
            )
            on_result(LeaderTimeout())
            return
        command = PutConfiguration(configuration, document, wall_ms())
        if len(document) > LARGE_DOCUMENT_BYTES:
            self._submit(
                command,
                LARGE_DOCUMENT_TIMEOUT_MS,
                on_result,
                LARGE_DOCUMENT_RESEND_MS,
            )
        else:
            self._submit(command, REPLY_TIMEOUT_MS, on_result)

    def _is_register_stored(self) -> bool:
        """Returns whether what the register has may be acknowledged.

        A single control instance commits commands before it stores them.
        """
        return not self._runtime.unstored_effects

    def _is_leader_outdated(self) -> bool:
        """Returns whether another replica leads and lacks organisations."""
        replica = self._runtime.state.replica
        return replica.leader not in ("", replica.name) and not (
            replica.leader_features & FEATURE_STORED_ORGANISATIONS
        )

    def read_configuration(
        self, on_result: Callable[[LeaderResult], None]
    ) -> None:
        """Reads the configuration in force, never an outdated one."""
        request = ConfigurationRequest(self._register("read", on_result))
        self._start_request(request, REPLY_TIMEOUT_MS)

    def read_evacuations(
        self, on_result: Callable[[LeaderResult], None]
    ) -> None:
        """Reads the evacuations in force, never outdated ones."""

        def on_reply(result: LeaderResult) -> None:
            is_unsupported = (
                isinstance(result, ConfigurationReply)
                and result.evacuations is None
            )
            on_result(EvacuationUnsupported() if is_unsupported else result)

        request = ConfigurationRequest(
            self._register("read", on_reply), wants_document=False
        )
        self._start_request(request, REPLY_TIMEOUT_MS)

    def set_evacuation(
        self,
        failure_domain: str,
        is_evacuated: bool,
        is_caller_waiting: Callable[[], bool],
        on_result: Callable[[LeaderResult], None],
    ) -> None:
        """Starts or finishes the evacuation of a failure domain.

        The command is based on a version that is read after the operator's
        request arrived, and proposed only while the operator waits. So nothing
        of a request that its operator has given up takes effect after a later
        request was acknowledged.
        """
        deadline_ms = monotonic_ms() + REPLY_TIMEOUT_MS

        def on_read(result: LeaderResult) -> None:
            if isinstance(result, ConfigurationReply):
                propose(result.evacuations.version)
            else:
                on_result(result)

        def propose(version: int) -> None:
            left_ms = deadline_ms - monotonic_ms()
            if left_ms <= 0.0 or not is_caller_waiting():
                on_result(LeaderTimeout())
                return
            command = SetEvacuation(
                failure_domain, is_evacuated, version, wall_ms()
            )
            self._submit(command, left_ms, on_applied)

        def on_applied(result: LeaderResult) -> None:
            if isinstance(result, EvacuationsHeld) and not result.is_full:
                is_held = failure_domain in result.failure_domains
                if is_held != is_evacuated:
                    # Another change came first.
                    propose(result.version)
                    return
            on_result(result)

        self.read_evacuations(on_read)

    def receive(self, message: Message) -> bool:
        """Handles a reply; returns False for any other message."""
        match message:
            case CommandReply():
                self._complete(message.request_id, message.result)
            case ConfigurationReply():
                self._complete(message.request_id, message)
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
        """Expires and resends open requests and reports server heartbeats."""
        now_ms = monotonic_ms()
        replica = self._runtime.state.replica
        names = {*replica.peers, replica.name}
        names |= {member.replica for member in replica.members}
        self._client.set_replicas(tuple(sorted(names)))
        for request_id in self._client.expire_requests(now_ms):
            on_result = self._callbacks.pop(request_id, None)
            if on_result is not None:
                on_result(LeaderTimeout())
        for send in self._client.resend_due(now_ms):
            self._send(send)
        if (
            self._server_heartbeats
            and now_ms >= self._server_heartbeats_due_ms
            and replica.leader
        ):
            self._server_heartbeats_due_ms = now_ms + HEARTBEAT_REPORT_MS
            heartbeats = ServerHeartbeats(
                tuple(sorted(self._server_heartbeats))
            )
            self._server_heartbeats.clear()
            self._send(ControlSend(replica.leader, heartbeats))

    def _submit_all(
        self,
        commands: list[Command],
        on_result: Callable[[LeaderResult], None],
    ) -> None:
        """Commits commands in any order.

        Reports the result of the last one, or the first timeout.
        """
        open_count = len(commands)

        def on_command_result(result: LeaderResult) -> None:
            nonlocal open_count
            is_reported = open_count <= 0
            open_count = (
                0 if isinstance(result, LeaderTimeout) else open_count - 1
            )
            if open_count <= 0 and not is_reported:
                on_result(result)

        for command in commands:
            self._submit(command, REPLY_TIMEOUT_MS, on_command_result)

    def _submit(
        self,
        command: Command,
        wait_ms: float,
        on_result: Callable[[LeaderResult], None],
        resend_ms: float = RESEND_MS,
    ) -> None:
        request = CommandRequest(self._register("command", on_result), command)
        self._start_request(request, wait_ms, resend_ms)

    def _register(
        self, kind: str, on_result: Callable[[LeaderResult], None]
    ) -> str:
        self._last_number += 1
        request_id = f"{kind}-{self._last_number}"
        self._callbacks[request_id] = on_result
        return request_id

    def _start_request(
        self, request, wait_ms: float, resend_ms: float = RESEND_MS
    ) -> None:
        now_ms = monotonic_ms()
        leader = self._runtime.state.replica.leader
        if leader:
            self._client.set_replicas(
                tuple(sorted({*self._client.replicas, leader}))
            )
            self._client.set_leader(leader)
        self._send(
            self._client.start_request(
                request, now_ms + wait_ms, now_ms, resend_ms
            )
        )

    def _complete(self, request_id: str, result: LeaderResult) -> None:
        if self._client.close_request(request_id):
            self._callbacks.pop(request_id)(result)

    def _send(self, send: ControlSend) -> None:
        runtime = self._runtime
        if send.receiver != runtime.setup.name:
            runtime.links.send(send.receiver, send.message)
            return
        runtime.handle_self_message(
            MessageArrived(
                at_ms=monotonic_ms(),
                wall_ms=wall_ms(),
                sender=runtime.setup.name,
                boot_id=runtime.links.boot_id,
                sent_ms=monotonic_ms(),
                message=send.message,
            )
        )


def _is_service_possible(register: RegisterState, notice: ServerNotice) -> bool:
    """Returns whether a server may be announced for its service.

    A new server may come before the configuration that names its service. It
    takes no address in use before that. The service of a registered server does
    not become an unknown one.
    """
    services = named_services(register)
    if notice.key.service in services:
        return True
    if is_address_kept(register.registry, notice, services):
        return False
    known = register.registry.servers.get(notice.key.server)
    if known is None or known.notice.key.service in ("", notice.key.service):
        return True
    return register.numbered is None
