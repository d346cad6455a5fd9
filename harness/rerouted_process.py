"""Runs a module whose connections to servers are rerouted through proxies.

Usage: `python -m harness.rerouted_process MODULE ARGUMENT...` with
`REROUTED_HOSTS` as JSON, a map of host prefixes to the prefixes that replace
them. So a test can cut the links between one process and all servers, although
every process on loopback connects to the same addresses.
"""

from __future__ import annotations

import json
import os
import runpy
import sys

from twisted.internet import reactor

VARIABLE = "REROUTED_HOSTS"


def _reroute(prefixes: dict[str, str]) -> None:
    connect = reactor.connectTCP

    def connect_rerouted(host, port, *args, **kwargs):
        for prefix, replacement in prefixes.items():
            if host.startswith(prefix):
                host = replacement + host.removeprefix(prefix)
                break
        return connect(host, port, *args, **kwargs)

    reactor.connectTCP = connect_rerouted


if __name__ == "__main__":
    _reroute(json.loads(os.environ[VARIABLE]))
    sys.argv = sys.argv[1:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
