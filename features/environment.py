"""Starts a separate cluster of real processes for each feature."""

from __future__ import annotations

import pathlib

from harness.cluster import Cluster

KNOWN_FAILURES_FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
DEFAULT_SIZE = "1x1"


def _known_failing_scenarios() -> list[str]:
    if not KNOWN_FAILURES_FILE.exists():
        return []
    return [
        line.removeprefix("scenario:").strip()
        for line in KNOWN_FAILURES_FILE.read_text().splitlines()
        if line.startswith("scenario:")
    ]


def before_feature(context, feature):
    """Starts a cluster for a feature.

    The tag `size.ExC` sets the number of entries and of control instances,
    `relays` puts a relay in front of every link address, and `secured` turns on
    tokens and link keys.
    """
    size_tags = [t for t in feature.tags if t.startswith("size.")]
    size = size_tags[0].removeprefix("size.") if size_tags else DEFAULT_SIZE
    entries, _, controls = size.partition("x")
    has_relays = "relays" in feature.tags
    is_secured = "secured" in feature.tags
    context.cluster = Cluster(
        int(entries), int(controls), has_relays, is_secured
    )
    context.resources = []
    try:
        context.cluster.start()
    except BaseException:
        context.cluster.close()
        raise


def before_scenario(context, scenario):
    """Skips scenarios that KNOWN-RED.txt lists."""
    if scenario.name in _known_failing_scenarios():
        scenario.skip("listed in KNOWN-RED.txt")


def after_feature(context, feature):
    """Kills the cluster's processes; closes relays and fake servers."""
    context.cluster.close()
    for resource in context.resources:
        resource.close()
