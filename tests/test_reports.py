"""Tests that what servers report is read, or ignored if malformed."""

from __future__ import annotations

import math

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.web.http_headers import Headers

from gentianwall.http.reports import parse_load_report, read_retry_after_ms
from gentianwall.routing.reports import parse_speed_report
from gentianwall.routing.servers import LoadReport

NUMBERS = st.sampled_from(
    ["0", "3", "-1", "nan", "inf", "1e400", "1e300", "9" * 400, "\xb2", ""]
)


@given(st.lists(NUMBERS, max_size=5))
def test_a_load_report_has_numbers_that_can_be_computed_with(numbers):
    report = parse_speed_report(",".join(numbers))
    if report is not None:
        assert all(0 <= n <= 1_000_000 for n in attrs.astuple(report))


# Each of these ended the handling of an answer that was complete.
@pytest.mark.parametrize(
    "value",
    [
        "JSON " + "[" * 8000,
        'JSON {"cpu_utilization": ' + "9" * 400 + "}",
        'JSON {"named_metrics": {"inflight": ' + "9" * 400 + "}}",
        "TEXT cpu_utilization=inf",
        "TEXT cpu_utilization=nan",
    ],
)
def test_a_load_report_without_a_usable_number_is_ignored(value):
    assert parse_load_report(value) is None


def test_a_load_report_in_json_is_read():
    value = 'JSON {"cpu_utilization": 1, "named_metrics": {"inflight": 3}}'
    assert parse_load_report(value) == LoadReport(3.0, 1.0)


@pytest.mark.parametrize(
    ("value", "retry_after_ms"),
    [
        (b"5", 5000.0),
        (b"Mon, 07 Dec 2026 08:00:00 GMT", 1000.0),
        (b"\xb2", 1000.0),
        (b"9" * 400, 1000.0),
    ],
)
def test_a_retry_after_time_is_finite(value, retry_after_ms):
    read_ms = read_retry_after_ms(Headers({b"Retry-After": [value]}))
    assert math.isfinite(read_ms)
    assert read_ms == retry_after_ms


def test_an_answer_without_a_retry_after_time_names_none():
    assert read_retry_after_ms(Headers()) is None
