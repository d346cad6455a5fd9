"""Tests of the encoding of configurations, which are large and read often."""

from __future__ import annotations

import sys

import attrs
import pytest

from gentianwall import codec
from gentianwall.claims.commands import Command, PutConfiguration
from gentianwall.config.routes import Route, RouteTarget
from harness.gateway_entry import CONFIGURATION

ROUTES = 2000


@pytest.fixture
def command():
    """A command with a configuration of many routes."""
    first = CONFIGURATION.routes[0]
    routes = tuple(
        attrs.evolve(first, name=f"r-{n}", path_prefix=f"/p{n}/")
        for n in range(ROUTES)
    )
    configuration = attrs.evolve(CONFIGURATION, routes=routes)
    return PutConfiguration(configuration, b"{}", 5)


def test_a_configuration_is_decoded_as_it_was_encoded(command):
    assert codec.unpack(codec.pack(command, Command), Command) == command


def _count_calls(function):
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return calls


def test_decoding_takes_at_most_two_calls_for_each_field(command):
    data = codec.pack(command, Command)
    codec.unpack(data, Command)
    fields = len(attrs.fields(Route)) + len(attrs.fields(RouteTarget))
    calls = _count_calls(lambda: codec.unpack(data, Command))
    assert calls < 2 * fields * ROUTES


def test_a_row_of_another_shape_is_malformed(command):
    data = codec.pack((1, "no", 3), tuple[int, str, int])
    assert isinstance(codec.unpack(data, Command), codec.Malformed)
