"""Starts a process as the platform does: settings, headers, calls."""

from __future__ import annotations

import os

from gentianwall.commands import fleet
from gentianwall.core.refusals import RefusalReason
from gentianwall.http.dialect import Dialect

SETTINGS_VARIABLE = "GENTIANWALL_NODE_FILE"
SETTINGS_PATH = "/etc/gentianwall/boot.conf"

DIALECT = Dialect(
    request_id=b"X-Gentianwall-Request-Id",
    deadline_ms=b"X-Gentianwall-Deadline-Ms",
    expected_server=b"X-Gentianwall-Expect-Instance",
    server_stamp=b"X-Gentianwall-Server-Stamp",
    server_name=b"X-Gentianwall-Instance-Id",
    load=b"X-Gentianwall-Server-Load",
    not_executed=b"X-Gentianwall-Not-Executed",
    # A 4xx of the system's own is only for what no configuration allows.
    statuses={RefusalReason.QUARANTINED: 503},
)


def run() -> int:
    """Runs the process that the platform's settings file describes."""
    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)
    return fleet.run_from_file(path, DIALECT, _load_control_api)


def _load_control_api():
    """Loads the calls to control instances, which entries do without."""
    from gentianwall.platform.control_api import ControlApi

    return lambda gate, settings: ControlApi(gate).handle
