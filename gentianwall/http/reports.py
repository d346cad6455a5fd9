"""What servers report in headers of answers: their load, and a time to wait.

Load reports are in the ORCA header `endpoint-load-metrics`. Both formats are
supported: `TEXT a=0.5, b=3` and `JSON {...}`. A value without a format name is
parsed as `TEXT`.
"""

from __future__ import annotations

import json
import math
import re

from twisted.web.http_headers import Headers

from gentianwall.routing.servers import LoadReport

REPORT_HEADER = b"endpoint-load-metrics"
DEFAULT_RETRY_AFTER_MS = 1000.0
_DELAY_SECONDS = re.compile(rb"[0-9]{1,9}")
IN_FLIGHT_NAMES = (
    "named_metrics.requests_in_flight",
    "named_metrics.inflight",
    "requests_in_flight",
)
UTILIZATION_NAMES = ("application_utilization", "cpu_utilization")


def read_load_report(headers: Headers) -> LoadReport | None:
    """Returns the load report in an answer's headers, or None."""
    values = headers.getRawHeaders(REPORT_HEADER)
    return parse_load_report(values[0].decode("latin-1")) if values else None


def read_retry_after_ms(headers: Headers) -> float | None:
    """Returns the time that a server asks callers to wait, if there is one.

    The other form of `Retry-After`, a date, stands for the default, as does
    what is malformed.
    """
    values = headers.getRawHeaders(b"Retry-After")
    if not values:
        return None
    if not _DELAY_SECONDS.fullmatch(values[0]):
        return DEFAULT_RETRY_AFTER_MS
    return 1000.0 * int(values[0])


def parse_load_report(value: str) -> LoadReport | None:
    """Parses the value of the load report header.

    Returns:
        The report, or None if it has no valid load value.
    """
    format_name, _, rest = value.strip().partition(" ")
    match format_name.upper():
        case "TEXT":
            numbers = _parse_text(rest)
        case "JSON":
            numbers = _parse_json(rest)
        case _:
            numbers = _parse_text(value)
    in_flight = _first_valid(numbers, IN_FLIGHT_NAMES)
    utilization = _first_valid(numbers, UTILIZATION_NAMES)
    if in_flight < 0 and utilization < 0:
        return None
    return LoadReport(in_flight, max(0.0, utilization))


def _first_valid(numbers: dict[str, float], names: tuple[str, ...]) -> float:
    for name in names:
        number = numbers.get(name)
        if number is not None and math.isfinite(number) and number >= 0:
            return number
    return -1.0


def _parse_text(text: str) -> dict[str, float]:
    numbers = {}
    for item in text.split(","):
        name, equals, number = item.partition("=")
        if not equals:
            continue
        try:
            numbers[name.strip()] = float(number)
        except ValueError:
            continue
    return numbers


def _parse_json(text: str) -> dict[str, float]:
    try:
        # Integers may be too large to be converted later.
        content = json.loads(text, parse_int=float)
    except (ValueError, RecursionError):
        return {}
    numbers: dict[str, float] = {}
    if not isinstance(content, dict):
        return numbers
    for name, value in content.items():
        if isinstance(value, int | float):
            numbers[name] = float(value)
        elif isinstance(value, dict):
            for inner_name, number in value.items():
                if isinstance(number, int | float):
                    numbers[f"{name}.{inner_name}"] = float(number)
    return numbers
