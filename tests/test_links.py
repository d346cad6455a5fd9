"""Tests for the encoding and decoding of messages between processes."""

from __future__ import annotations

import zlib

import pytest

from gentianwall import codec
from gentianwall.config.routes import (
    CallerLimits,
    Route,
    RouteConfiguration,
    RouteKind,
    RouteTarget,
)
from gentianwall.control.messages import FeedNotice, FeedPoll
from gentianwall.links import messages
from gentianwall.links.messages import (
    PROTOCOL_VERSION,
    BodyEncoder,
    Envelope,
    Frame,
    decode_envelope,
)


def _make_notice(routes):
    configuration = RouteConfiguration(
        7,
        tuple(
            Route(
                f"r-{n}",
                f"h{n}.example",
                "/",
                RouteKind.SAFE,
                1000.0,
                400.0,
                1,
                2,
                (RouteTarget("s", 1.0),),
            )
            for n in range(routes)
        ),
        (),
        CallerLimits(),
    )
    return FeedNotice(3, 7, configuration, 0, (), 0, None, ("c",), 1)


def _make_frame(message, protocol=PROTOCOL_VERSION, encoder=None):
    is_compressed, body = (encoder or BodyEncoder()).pack(message)
    frame = Frame(protocol, "a", "boot", 1.0, 2, is_compressed, body)
    return codec.pack(frame, Frame)


@pytest.mark.parametrize(
    "message", [FeedPoll(1, 2, 3, True), _make_notice(300)]
)
def test_a_decoded_message_equals_the_encoded_one(message):
    assert decode_envelope(_make_frame(message)) == Envelope(
        "a", "boot", 1.0, 2, message
    )


def test_a_large_message_is_compressed_to_less_than_a_third():
    assert (
        len(_make_frame(_make_notice(300)))
        < len(codec.pack(_make_notice(300), FeedNotice)) / 3
    )


def test_a_notice_to_many_receivers_is_encoded_once(monkeypatch):
    encoded_types = []
    pack = codec.pack

    def record_type(value, kind):
        encoded_types.append(type(value))
        return pack(value, kind)

    monkeypatch.setattr(codec, "pack", record_type)
    encoder = BodyEncoder()
    notice, other_notice = _make_notice(50), _make_notice(60)
    for _ in range(10):
        _make_frame(notice, encoder=encoder)
        _make_frame(FeedPoll(1, 2, 3, True), encoder=encoder)
        _make_frame(other_notice, encoder=encoder)
    assert encoded_types.count(FeedNotice) == 2


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00" * 40,
        _make_frame(FeedPoll(1, 2, 3, True), protocol=PROTOCOL_VERSION - 1),
        _make_frame(_make_notice(300))[:-9],
    ],
)
def test_bytes_that_are_not_a_frame_of_this_protocol_are_malformed(data):
    assert isinstance(decode_envelope(data), codec.Malformed)


@pytest.mark.parametrize(
    "body",
    [b"no", zlib.compress(b"x" * 9000)[:-5], zlib.compress(b"x" * 20_000)],
)
def test_a_frame_with_an_invalid_or_too_large_body_is_malformed(
    body, monkeypatch
):
    monkeypatch.setattr(messages, "MAX_BODY_BYTES", 10_000)
    frame = Frame(PROTOCOL_VERSION, "a", "boot", 1.0, 2, True, body)
    envelope = decode_envelope(codec.pack(frame, Frame))
    assert isinstance(envelope, codec.Malformed)
