"""Shared fixtures, and the tests that are known to be red."""

from __future__ import annotations

import pathlib

import pytest
from hypothesis import HealthCheck, settings

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")


def pytest_collection_modifyitems(items):
    if not KNOWN_RED.exists():
        return
    red = [
        line.removeprefix("test:").strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith("test:")
    ]
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED"))
