"""What travels between processes is packed once and read whole or not."""

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


def _notice(routes):
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


def _frame(message, protocol=PROTOCOL_VERSION, packer=None):
    is_compressed, body = (packer or BodyEncoder()).pack(message)
    frame = Frame(protocol, "a", "boot", 1.0, 2, is_compressed, body)
    return codec.pack(frame, Frame)


@pytest.mark.parametrize("message", [FeedPoll(1, 2, 3, True), _notice(300)])
def test_a_message_arrives_as_it_was_sent(message):
    assert decode_envelope(_frame(message)) == Envelope(
        "a", "boot", 1.0, 2, message
    )


def test_a_large_message_is_sent_small():
    assert (
        len(_frame(_notice(300)))
        < len(codec.pack(_notice(300), FeedNotice)) / 3
    )


def test_a_notice_to_many_is_packed_once(monkeypatch):
    packed = []
    pack = codec.pack

    def count(value, kind):
        packed.append(type(value))
        return pack(value, kind)

    monkeypatch.setattr(codec, "pack", count)
    packer = BodyEncoder()
    notice, other = _notice(50), _notice(60)
    for _ in range(10):
        _frame(notice, packer=packer)
        _frame(FeedPoll(1, 2, 3, True), packer=packer)
        _frame(other, packer=packer)
    assert packed.count(FeedNotice) == 2


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00" * 40,
        _frame(FeedPoll(1, 2, 3, True), protocol=PROTOCOL_VERSION - 1),
        _frame(_notice(300))[:-9],
    ],
)
def test_bytes_that_are_no_message_are_malformed(data):
    assert isinstance(decode_envelope(data), codec.Malformed)


@pytest.mark.parametrize(
    "body",
    [b"no", zlib.compress(b"x" * 9000)[:-5], zlib.compress(b"x" * 20_000)],
)
def test_a_body_that_is_no_message_is_malformed(body, monkeypatch):
    monkeypatch.setattr(messages, "MAX_BODY_BYTES", 10_000)
    frame = Frame(PROTOCOL_VERSION, "a", "boot", 1.0, 2, True, body)
    envelope = decode_envelope(codec.pack(frame, Frame))
    assert isinstance(envelope, codec.Malformed)
