"""A backend leaves soon after its start; its first report arrives late."""

from __future__ import annotations

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

SERVICE = "order-desk"
HOST = "orders.example"
# How much later than sent the first report arrives.
DELAY_S = 4.0
STAY_S = 1.2
WORK_S = 0.2
# How long the backend goes on serving after it was acknowledged as gone.
SERVE_ON_S = 8.0


def case() -> bool:
    """Returns whether no request reached the backend after it left."""
    with standins.running_system(FOLDER) as system:
        record = system.record
        backends = [
            standins.Backend(system, f"i-{n}", SERVICE, n, WORK_S, 8)
            for n in range(1, 5)
        ]
        *others, leaver = backends
        routes = [standins.route(HOST, "/orders/", "non_idempotent", SERVICE)]
        body = standins.desired_state(1, routes, [SERVICE])
        if standins.Operator(system).replace(1, body) is None:
            raise standins.NotRunError("the first desired state has no ack")
        for backend in others:
            backend.start()
        for entry in system.entries:
            standins.wait_until(
                "an entry is ready", lambda e=entry: system.is_ready(e)
            )
        clients = standins.Clients(
            system, "order", "POST", HOST, lambda n: f"/orders/{n}", 40.0
        )
        clients.start()
        standins.wait_until(
            "the others run requests", lambda: all(b.ran for b in others)
        )
        paths = [standins.SlowPath(system, c) for c in system.controls]
        leaver.start(is_beating=False)
        delay_s = DELAY_S if standins.is_trouble() else 0.0
        for path in paths:
            path.delay_s = delay_s
        leaver.report_by(paths[0])
        time.sleep(STAY_S)
        if not leaver.deregister():
            raise standins.NotRunError("the deregistration has no ack")
        acked_s = leaver.acked_s["gone"]
        time.sleep(SERVE_ON_S)
        cut = leaver.running
        leaver.crash()
        clients.stop()
        time.sleep(1.5)
        record.add("check", "requests at work when it ended", count=cut)
        limit_s = acked_s + standins.BOUNDS["drainMs"] / 1000.0
        late = [ran for ran in leaver.ran if ran[0] > limit_s]
        record.add(
            "check",
            "requests run by the backend more than drainMs after the ack",
            count=len(late),
        )
        return not late


standins.run_case(case)
