"""Drives the gateway reducer of an entry without sockets or clocks."""

from __future__ import annotations

import random

from gentianwall.config.routes import (
    CallerLimits,
    Route,
    RouteConfiguration,
    RoutedService,
    RouteKind,
    RouteTarget,
)
from gentianwall.control.messages import FeedNotice
from gentianwall.gateway import effects as fx
from gentianwall.gateway.budget import RetryLimits
from gentianwall.gateway.events import (
    FeedArrived,
    LoadQueryEnded,
    RequestArrived,
    ServerAnswered,
    ServerFailed,
)
from gentianwall.gateway.reducer import reduce_gateway
from gentianwall.gateway.state import GatewayState
from gentianwall.membership.messages import ServerKey, ServerNotice
from gentianwall.membership.registry import RegisteredServer
from gentianwall.routing.reports import SpeedReport

IDLE = SpeedReport(0, 0, 2)
FULL = SpeedReport(2, 3, 2)


def server(name, revision, state="up", incarnation=1, port=80):
    """Returns a server as the registry of control contains it."""
    notice = ServerNotice(
        ServerKey("s", name), "10.0.0.1", port, 2, "z", incarnation, state
    )
    return RegisteredServer(notice, 1, 0.0, revision)


def route(kind):
    """Returns a route of one kind to the only service."""
    return Route(
        f"r-{kind.value}",
        "a.example",
        f"/{kind.value}/",
        kind,
        1000.0,
        400.0,
        1,
        2,
        (RouteTarget("s", 1.0),),
    )


CONFIGURATION = RouteConfiguration(
    7,
    tuple(route(kind) for kind in RouteKind),
    (RoutedService("s", "/h", 9),),
    CallerLimits(),
)


class Entry:
    """An entry whose methods reduce one event and return the effects."""

    def __init__(self):
        self.now_ms = 1000.0
        self.state = GatewayState(
            "e",
            "z",
            random.Random(1),
            RetryLimits(0.2, 20.0, 10_000.0),
            seeds=("c1", "c2"),
            started_ms=1000.0,
        )
        self.last_call_id = 0

    def reduce(self, event):
        """Reduces an event; returns the effects other than log lines."""
        effects = reduce_gateway(self.state, event)
        return [e for e in effects if not isinstance(e, fx.Log)]

    def deliver_update(
        self, *servers, number=7, configuration=CONFIGURATION, entries=1
    ):
        """Delivers an update with servers and the configuration."""
        revision = max((s.revision for s in servers), default=0)
        notice = FeedNotice(
            3,
            number,
            configuration,
            revision,
            servers,
            0,
            None,
            ("c1",),
            entries,
        )
        return self.reduce(FeedArrived(self.now_ms, "c1", notice))

    def deliver_quarantines(self, register, trials=(), entries=1):
        """Delivers the quarantines of a register, and permissions to try."""
        notice = FeedNotice(
            3,
            7,
            None,
            0,
            (),
            register.quarantine_version,
            tuple(register.quarantines),
            ("c1",),
            entries,
            trials=trials,
        )
        return self.reduce(FeedArrived(self.now_ms, "c1", notice))

    def deliver_request(
        self,
        kind=RouteKind.SAFE,
        wait_ms=1000.0,
        fingerprint="",
        authorization=(),
    ):
        """Delivers a new request of a caller."""
        self.last_call_id += 1
        return self.reduce(
            RequestArrived(
                self.now_ms,
                self.last_call_id,
                f"id-{self.last_call_id}",
                "a.example",
                f"/{kind.value}/x",
                wait_ms,
                fingerprint,
                authorization=authorization,
            )
        )

    def deliver_load_report(
        self, name, report, is_healthy=True, is_mismatched=False
    ):
        """Ends a load query with the load report of a server."""
        return self.reduce(
            LoadQueryEnded(
                self.now_ms, name, True, is_healthy, is_mismatched, report
            )
        )

    def deliver_answer(
        self, status=200, is_refusal=False, is_authentic=True, attempt=1
    ):
        """Delivers a server's answer to the last request."""
        return self.reduce(
            ServerAnswered(
                self.now_ms,
                self.last_call_id,
                attempt,
                status,
                is_refusal,
                is_authentic,
                IDLE,
            )
        )

    def fail_attempt(self, kind, attempt=1):
        """Fails an attempt of the last request."""
        return self.reduce(
            ServerFailed(self.now_ms, self.last_call_id, attempt, kind)
        )


def effects_of_type(effects, effect_class):
    """Returns the effects of one class."""
    return [effect for effect in effects if isinstance(effect, effect_class)]


def single_refusal(effects):
    """Returns the refusal; there must be exactly one."""
    (refused,) = effects_of_type(effects, fx.RefuseRequest)
    return refused.refusal
