"""Runs a control instance of a fleet."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

from twisted.internet import reactor

from gentianwall.commands.signals import (
    EXIT_BEFORE_KILL_MS,
    call_when,
    grace_left_ms,
    on_stop_signal,
)
from gentianwall.config.fleet import FleetSettings
from gentianwall.core.feed import count_withheld
from gentianwall.http.channel import (
    CallerBounds,
    CallerRequest,
    CallerSite,
    SiteLimits,
)
from gentianwall.logs import get_logger
from gentianwall.replication.state import Role, Timing
from gentianwall.runtime.client_reports import ClientReports
from gentianwall.runtime.common import (
    fleet_link_setup,
    listen,
    listen_metrics,
    stop_listening,
)
from gentianwall.runtime.control import (
    ControlRuntime,
    ControlSetup,
    run_control,
)
from gentianwall.runtime.leader_client import (
    LEADER_CLIENT_TICK_MS,
    LeaderClient,
)
from gentianwall.runtime.process_limits import make_budget, watch_memory
from gentianwall.storage.journal import Journal, JournalNotEmpty
from gentianwall.timers import TimerService, monotonic_ms

log = get_logger("fleet")

# Least time between closing the listener and stopping, so that requests which
# other instances have passed on to this one are answered.
MIN_STOP_MS = 300.0
# Longer than three syncs of a slow disk (25 x 5 = 125 ms each).
ELECTION_TIMEOUT_MS = 400.0
HEARTBEAT_MS = 80.0
SNAPSHOT_ENTRIES = 1000
# Heartbeats that a server may miss before it counts as silent. A heartbeat can
# arrive seconds late, and a restart takes about as long.
MISSED_HEARTBEATS = 5
# Interval at which the peers are updated with newly discovered members.
PEER_UPDATE_INTERVAL_MS = 1000.0
# Largest configuration; those of the largest deployments have less than 1 MB.
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
# A JSON document takes up to this multiple of its size when it is decoded: an
# empty list in a list has 3 bytes in the document and 64 in memory.
DOCUMENT_COPIES = 22


@contextlib.contextmanager
def run(
    settings: FleetSettings,
    handler_factory: Callable[
        [LeaderClient, FleetSettings], Callable[[CallerRequest], None]
    ],
    timers: TimerService,
) -> Iterator[Callable[[FleetSettings], None]]:
    """Runs a control instance; yields the callback for changed settings."""
    name = settings.link_address
    _bootstrap_on_first_start(settings)
    setup = ControlSetup(
        name=name,
        data_folder=settings.data_folder,
        peers=tuple(
            seed for seed in settings.seed_link_addresses if seed != name
        ),
        timing=Timing(
            heartbeat_ms=HEARTBEAT_MS,
            election_timeout_ms=ELECTION_TIMEOUT_MS,
            snapshot_entries=SNAPSHOT_ENTRIES,
        ),
        target_voters=settings.target_voters,
        server_silence_ms=MISSED_HEARTBEATS * settings.server_heartbeat_ms,
        can_rejoin_empty=True,
        free_space_bytes=0,
    )
    links = fleet_link_setup(settings)
    with run_control(setup, links, reactor, timers) as runtime:
        leader_client = LeaderClient(runtime)
        budget = make_budget(settings.memory_mb, settings.descriptors)
        reports = ClientReports(runtime.metrics, budget)
        site = CallerSite(
            handler_factory(leader_client, settings),
            lambda request: None,
            limits=SiteLimits(
                budget=budget,
                report_misuse=reports.reporter("control"),
                body_copies=DOCUMENT_COPIES,
            ),
        )
        site.bounds = CallerBounds(body_bytes=MAX_DOCUMENT_BYTES)
        ports = [listen(reactor, settings.control_address, site)]
        on_stop_signal(lambda: _stop_control(settings, ports, site, timers))
        if settings.metrics_port:
            listen_metrics(
                reactor,
                settings,
                lambda: _metrics_text(runtime),
                budget,
                reports,
            )

        def reload(changed: FleetSettings) -> None:
            _update_peers(runtime, changed)

        def update_peers() -> None:
            _update_peers(runtime, settings)

        with (
            timers.every(
                "gate.tick", LEADER_CLIENT_TICK_MS, leader_client.tick
            ),
            timers.every("gate.members", PEER_UPDATE_INTERVAL_MS, update_peers),
            watch_memory("gate.memory", budget, settings.memory_mb, timers),
        ):
            yield reload


def _metrics_text(runtime: ControlRuntime) -> bytes:
    """Renders the metrics of a control instance."""
    replica = runtime.state.replica
    registry = replica.register.registry
    numbered = replica.register.numbered
    runtime.metrics.process_values.update(
        {
            "term": replica.term,
            "is_leader": int(replica.role is Role.LEADER),
            "is_voter": int(replica.is_member),
            "commit_index": replica.commit_index,
            "voters": len(replica.members),
            "journal_bytes": runtime.journal.size_bytes,
            "is_disk_refusing": int(bool(runtime.unstored_effects)),
            "configuration_number": (
                numbered.configuration.number if numbered else -1
            ),
            "organisations": (
                len(numbered.configuration.organisations) if numbered else 0
            ),
            "servers_revision": registry.revision,
            "servers": sum(s.is_present for s in registry.servers.values()),
            "evacuated_domains": len(replica.register.evacuations),
            "evacuations_total": replica.register.evacuation_version,
            "entries_heard": len(runtime.state.feed.subscribers),
            "entries_withheld": count_withheld(runtime.state.feed, replica),
        }
    )
    return runtime.metrics.text()


def _bootstrap_on_first_start(settings: FleetSettings) -> None:
    """Bootstraps the cluster if this is a seed at the fleet's first start."""
    name = settings.link_address
    if not settings.is_first_start or name not in settings.seed_link_addresses:
        return
    founders = tuple(sorted(settings.seed_link_addresses))
    bootstrapped = Journal(settings.data_folder).bootstrap(name, founders)
    if isinstance(bootstrapped, JournalNotEmpty):
        log.info("Journal not empty; continuing an earlier first start.")
    else:
        log.info(
            "Cluster bootstrapped with founding members %s.", " ".join(founders)
        )


def _update_peers(runtime: ControlRuntime, settings: FleetSettings) -> None:
    """Adds the control instances among the seeds and members to the peers."""
    replica = runtime.state.replica
    names = {*replica.peers, *settings.seed_link_addresses}
    names |= {member.replica for member in replica.members}
    names.discard(replica.name)
    replica.peers = tuple(sorted(names))
    runtime.links.close_unused()


def _stop_control(
    settings: FleetSettings,
    ports: list,
    site: CallerSite,
    timers: TimerService,
) -> None:
    """Closes the listener, answers the requests that were read, then stops."""
    if not ports:
        return
    stop_listening(ports, site)
    now_ms = monotonic_ms()
    limit_ms = now_ms + grace_left_ms(settings.grace_s, EXIT_BEFORE_KILL_MS)

    def is_over() -> bool:
        return not site.channels and monotonic_ms() >= now_ms + MIN_STOP_MS

    call_when(timers, is_over, limit_ms, reactor.stop)
