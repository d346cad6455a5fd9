"""Runs a process with the settings file and headers of the platform."""

from __future__ import annotations

import os

from gentianwall.commands import fleet
from gentianwall.core.refusals import RefusalReason
from gentianwall.http.dialect import Dialect

SETTINGS_VARIABLE = "GENTIANWALL_NODE_FILE"
SETTINGS_PATH = "/etc/gentianwall/boot.conf"

# In these header names an instance is a server, not a gentianwall process.
DIALECT = Dialect(
    request_id=b"X-Gentianwall-Request-Id",
    deadline_ms=b"X-Gentianwall-Deadline-Ms",
    expected_server=b"X-Gentianwall-Expect-Instance",
    server_stamp=b"X-Gentianwall-Server-Stamp",
    server_name=b"X-Gentianwall-Instance-Id",
    load=b"X-Gentianwall-Server-Load",
    rate_limit=b"Server-Limit",
    leaving=b"Server-Leaving",
    warmup_ms=b"X-Gentianwall-Warmup-Ms",
    not_executed=b"X-Gentianwall-Not-Executed",
    organisation=b"X-Gentianwall-Tenant-Id",
    # On this platform gentianwall itself may answer with a 4xx status only if
    # no configuration allows the request, so a quarantined request is refused
    # with 503 instead of 422.
    statuses={RefusalReason.QUARANTINED: 503},
)


def run() -> int:
    """Runs the process that the platform's settings file describes."""
    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)
    return fleet.run_from_file(path, DIALECT, _load_control_api)


def _load_control_api():
    """Returns the factory of the control API's request handler.

    The import is local because entries do not need the control API.
    """
    from gentianwall.platform.control_api import ControlApi

    return lambda leader_client, settings: ControlApi(leader_client).handle
