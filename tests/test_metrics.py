"""Tests that metrics are documented and that their values are consistent."""

from __future__ import annotations

import pathlib
import re

import pytest

from gentianwall.metrics import (
    LATENCY_BUCKETS_S,
    PROCESS_METRICS,
    REQUEST_METRICS,
    Metrics,
    RequestKey,
)

METRICS_PAGE = (
    pathlib.Path(__file__).parent.parent / "docs/operators/metrics.md"
)


@pytest.fixture
def metrics_text():
    """Returns metrics with recorded values in the text format served."""
    metrics = Metrics()
    for duration_s in (0.0004, 0.3, 99.0):
        key = RequestKey("orders", "safe", "answered", "200", 1)
        metrics.record_request(key, duration_s)
    metrics.record_answer("orders", "soon", "planner", 2.0, 0.25)
    metrics.record_refusal("orders", "overloaded")
    metrics.process_values.update(dict.fromkeys(PROCESS_METRICS, 3.0))
    return metrics.text().decode()


def test_each_metric_has_a_help_text_and_is_documented(metrics_text):
    page = METRICS_PAGE.read_text()
    served = set(re.findall(r"^# HELP (\S+) \S", metrics_text, re.MULTILINE))
    assert served == {
        *REQUEST_METRICS,
        *(f"gentianwall_{name}" for name in PROCESS_METRICS),
    }
    assert set(re.findall(r"`(gentianwall_\w+)`", page)) == served


def test_process_totals_are_counters_and_the_others_are_gauges(metrics_text):
    metric_types = dict(
        re.findall(r"^# TYPE (\S+) (\S+)", metrics_text, re.MULTILINE)
    )
    for name in PROCESS_METRICS:
        is_total = name.endswith("_total")
        metric_type = "counter" if is_total else "gauge"
        assert metric_types[f"gentianwall_{name}"] == metric_type


def test_a_histogram_has_consistent_count_sum_and_buckets(metrics_text):
    labels = 'kind="safe",outcome="answered",service="orders"'
    lines = [
        line
        for line in metrics_text.splitlines()
        if line.startswith("gentianwall_request_seconds")
    ]
    values = {line.split(" ")[0]: float(line.split(" ")[1]) for line in lines}
    assert values[f"gentianwall_request_seconds_count{{{labels}}}"] == 3
    total_s = values[f"gentianwall_request_seconds_sum{{{labels}}}"]
    assert total_s == pytest.approx(99.3004)
    buckets = [
        value
        for name, value in values.items()
        if name.startswith("gentianwall_request_seconds_bucket")
    ]
    assert len(buckets) == len(LATENCY_BUCKETS_S) + 1
    assert buckets == sorted(buckets)
    assert buckets[0] == 1
    assert buckets[-1] == 3
