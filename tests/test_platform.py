"""Tests that request bodies of the platform are decoded or refused."""

from __future__ import annotations

import copy
import json
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianwall import codec
from gentianwall.claims.commands import AnnounceServer, Command
from gentianwall.config.routes import (
    Organisation,
    RouteConfiguration,
    RouteKind,
    digest_key,
)
from gentianwall.config.schema import ConfigErrors
from gentianwall.membership.messages import MAX_SLOTS
from gentianwall.platform.announcements import (
    Announcement,
    Deregistration,
    InvalidAnnouncement,
    decode_deregistration,
    decode_heartbeat,
)
from gentianwall.platform.configurations import decode_configuration
from gentianwall.routing.reports import SpeedReport, parse_speed_report
from gentianwall.routing.routes import RouteTable

HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "pa",
    "version": "v1",
    "maxConcurrency": 4,
    "state": "ready",
    "warmupLeftMs": 250,
    "sequence": 4,
    "born": 1700000000000,
}
ROUTE = {
    "host": "Jepu9.example",
    "pathPrefix": "/lepu270/",
    "routeType": "safe",
    "timeoutMs": 600,
    "targetLatencyMs": 200,
    "priority": 2,
    "trafficSplit": [
        {"service": "huvo11a", "weight": 90},
        {"service": "kafi81c", "weight": 10},
    ],
    "maxAttempts": 2,
}


MISSING = object()


def _make_heartbeat(**changes):
    table = {**HEARTBEAT, **changes}
    present = {k: v for k, v in table.items() if v is not MISSING}
    return json.dumps(present).encode()


def _make_document(version="r7", **changes):
    spec = {k: v for k, v in {**ROUTE, **changes}.items() if v is not None}
    service_spec = {"healthPath": "/healthz", "maxConns": 260}
    return {
        "version": version,
        "resources": [
            {"type": "routes", "metadata": {"name": "r"}, "spec": spec},
            {
                "type": "services",
                "metadata": {"name": "huvo11a"},
                "spec": service_spec,
            },
            {
                "type": "services",
                "metadata": {"name": "kafi81c"},
                "spec": service_spec,
            },
            {
                "type": "limits",
                "metadata": {},
                "spec": {"maxHeaderBytes": 100, "idleTimeoutMs": 9000},
            },
        ],
    }


def test_a_heartbeat_is_decoded_into_an_announcement():
    decoded = decode_heartbeat("i-1", _make_heartbeat(state="draining"))
    assert isinstance(decoded, Announcement)
    notice = decoded.notice
    assert (notice.key.service, notice.key.server) == ("huvo11a", "i-1")
    assert (notice.host, notice.port) == ("10.128.0.9", 8080)
    assert (notice.slots, notice.state) == (4, "draining")
    assert notice.incarnation == 1700000000000
    assert (decoded.sequence, decoded.warmup_ms) == (4, 250.0)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"address": "nowhere"},
        {"maxConcurrency": "4"},
        {"maxConcurrency": True},
        {"maxConcurrency": 0},
        {"sequence": None},
        {"service": 5},
        {"service": ""},
        {"born": 17.5},
        {"born": "1700000000000"},
        {"warmupLeftMs": "soon"},
        {"warmupLeftMs": math.inf},
        {"sequence": 2**64},
        {"born": 10**40},
        {"maxConcurrency": 2**64},
        {"maxConcurrency": 10**6},
        {"maxConcurrency": 4.0},
        {"address": ":80"},
        {"address": "[::1"},
        {"address": "127.9.9.9:80:80"},
        {"address": "127.9.9.9\0:80"},
        {"address": "localhost:80"},
        {"address": "fe80::1%x:80"},
        {"address": "10.128.0.9:\u0668\u0660"},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:70000"},
        {"address": "10.128.0.9:" + "9" * 5000},
        {"address": ["10.128.0.9:80"]},
        {"warmupLeftMs": 1e308},
        {"warmupLeftMs": -1},
        {"warmupLeftMs": True},
        {"warmupLeftMs": MISSING},
        {"sequence": -1},
        {"sequence": 4.5},
        {"sequence": MISSING},
        {"service": "s" * 100_000},
        {"service": "a\nb"},
        {"service": MISSING},
        {"zone": ""},
        {"zone": "z\0"},
        {"zone": MISSING},
        {"version": 1},
        {"version": ["v1"]},
        {"version": ""},
        {"version": MISSING},
        {"state": ["ready"]},
        {"state": MISSING},
        {"address": MISSING},
        {"maxConcurrency": MISSING},
        {"born": 2**62},
    ],
)
def test_a_heartbeat_with_an_invalid_value_is_refused(change):
    decoded = decode_heartbeat("i-1", _make_heartbeat(**change))
    assert isinstance(decoded, InvalidAnnouncement)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff", b"[" * 9999])
def test_a_body_that_is_not_a_json_object_is_refused(body):
    assert isinstance(decode_heartbeat("i-1", body), InvalidAnnouncement)
    assert isinstance(decode_configuration(body), ConfigErrors)


# Texts that JSON parsers of Python accept and that cannot be stored.
UNSTORABLE_TEXTS = [b"\xed\xa0\xbd", b"\\ud83d", b"\\uDC00x", b"\xff"]


# One such report ended all commits until its leader was killed.
@pytest.mark.parametrize("text", UNSTORABLE_TEXTS)
def test_a_text_that_cannot_be_stored_is_refused_wherever_it_is(text):
    heartbeat = _make_heartbeat()
    document = json.dumps(_make_document()).encode()
    for value in (b"huvo11a", b"10.128.0.9", b'"pa', b"v1"):
        body = heartbeat.replace(value, value + text)
        assert isinstance(decode_heartbeat("i-1", body), InvalidAnnouncement)
    for value in (b'"r"', b"huvo11a", b"Jepu9", b"/lepu270/", b"/healthz"):
        body = document.replace(value, value[:-1] + text + value[-1:])
        assert isinstance(decode_configuration(body), ConfigErrors)
    body = b'{"born": 7, "note": "' + text + b'"}'
    assert isinstance(decode_deregistration("i-1", body), InvalidAnnouncement)


@pytest.mark.parametrize("server", ["", "i" * 300, "i\0", "i\ud83d"])
def test_a_server_without_a_usable_name_is_refused(server):
    heartbeat = decode_heartbeat(server, _make_heartbeat())
    assert isinstance(heartbeat, InvalidAnnouncement)
    deregistration = decode_deregistration(server, b'{"born": 7}')
    assert isinstance(deregistration, InvalidAnnouncement)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(exclude_categories=())),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
    max_leaves=5,
)


@settings(max_examples=500)
@given(
    server=st.text(st.characters(exclude_categories=())),
    changes=st.dictionaries(st.sampled_from(sorted(HEARTBEAT)), JSON_VALUES),
)
def test_an_announcement_that_is_decoded_can_be_stored(server, changes):
    decoded = decode_heartbeat(server, _make_heartbeat(**changes))
    if isinstance(decoded, Announcement):
        notice = decoded.notice
        assert 0 < notice.port < 65536
        assert 0 < notice.slots <= MAX_SLOTS
        command = AnnounceServer(notice, decoded.sequence, decoded.warmup_ms, 0)
        stored = codec.unpack(codec.pack(command, Command), Command)
        assert stored == command


def test_a_deregistration_may_have_an_empty_body():
    assert decode_deregistration("i-1", b"") == Deregistration("i-1", 0)
    assert decode_deregistration("i-1", b'{"born": 7}') == Deregistration(
        "i-1", 7
    )
    assert isinstance(decode_deregistration("", b""), InvalidAnnouncement)


def test_a_configuration_is_decoded_into_routes_and_limits():
    decoded = decode_configuration(json.dumps(_make_document()).encode())
    assert isinstance(decoded, RouteConfiguration)
    route = decoded.routes[0]
    assert decoded.number == 7
    assert (route.host, route.kind) == ("jepu9.example", RouteKind.SAFE)
    assert (route.timeout_ms, route.target_ms) == (600.0, 200.0)
    assert [t.weight for t in route.targets] == [90.0, 10.0]
    assert decoded.limits.header_bytes == 100
    assert decoded.limits.header_timeout_ms == 3000.0


@pytest.mark.parametrize(
    "change",
    [
        {"host": ""},
        {"pathPrefix": "lepu270/"},
        {"routeType": "odd"},
        {"targetLatencyMs": 60_600},
        {"trafficSplit": [{"service": "huvo11a", "weight": -1}]},
        {"trafficSplit": [{"service": "none", "weight": 1}]},
        {"trafficSplit": None},
        {"trafficSplit": []},
        {"timeoutMs": "600"},
        {"timeoutMs": 0},
        {"timeoutMs": -600},
        {"timeoutMs": math.inf},
        {"priority": math.inf},
        {"priority": 1e300},
        {"maxAttempts": math.nan},
        {"trafficSplit": [{"service": "huvo11a", "weight": math.nan}]},
    ],
)
def test_an_invalid_configuration_is_refused(change):
    body = json.dumps(_make_document(**change)).encode()
    assert isinstance(decode_configuration(body), ConfigErrors)


def test_a_route_with_an_empty_split_is_served_by_its_service():
    document = _make_document(trafficSplit=[], service="huvo11a")
    decoded = decode_configuration(json.dumps(document).encode())
    table = RouteTable(decoded)
    route = table.find("jepu9.example", "/lepu270/2f")
    assert table.choose_service(route) == "huvo11a"


@pytest.mark.parametrize(
    "version", ["7", "r", "r-7", "r7x", "r" + "9" * 30, "r\u0667", 7, None]
)
def test_a_version_that_is_not_r_and_an_integer_is_refused(version):
    body = json.dumps(_make_document(version=version)).encode()
    assert isinstance(decode_configuration(body), ConfigErrors)


def test_a_truncated_configuration_is_refused():
    body = json.dumps(_make_document()).encode()
    for end in range(0, len(body), 7):
        assert isinstance(decode_configuration(body[:end]), ConfigErrors)


@pytest.mark.parametrize(
    ("text", "report"),
    [
        ("3,0,8", SpeedReport(3, 0, 8, 1.0)),
        ("3,2,8,400", SpeedReport(3, 2, 8, 4.0)),
        ("3,2", None),
        ("a,b,c", None),
        ("-1,0,2", None),
        ("1,0,0", None),
    ],
)
def test_a_load_report_is_parsed_or_ignored_if_malformed(text, report):
    assert parse_speed_report(text) == report


def _organisation(name="acme", **spec):
    return {"type": "tenants", "metadata": {"name": name}, "spec": spec}


def _decode_with(*organisations):
    document = _make_document(public=True, routeType="download")
    document["resources"] += organisations
    return decode_configuration(json.dumps(document).encode())


def test_organisations_are_decoded_and_their_keys_kept_as_digests_only():
    decoded = _decode_with(
        _organisation(
            apiKeys=["k-1", "k\u00e9"], priority=0, ratePerS=2.5, burst=9
        ),
        _organisation("no keys"),
    )
    digests = tuple(digest_key(k.encode()) for k in ("k-1", "k\u00e9"))
    assert decoded.organisations == (
        Organisation("acme", digests, 0, 2.5, 9.0),
        Organisation("no keys", (), None, 0.0, 0.0),
    )
    assert decoded.routes[0].is_public
    assert decoded.routes[0].kind is RouteKind.DOWNLOAD
    assert "digest" not in repr(decoded)
    packed = codec.pack(decoded, RouteConfiguration)
    assert codec.unpack(packed, RouteConfiguration) == decoded
    assert b"k-1" not in packed


@pytest.mark.parametrize(
    ("organisations", "option"),
    [
        ([{"apiKeys": ["k"]}, {"apiKeys": ["j", "k"]}], "tenants.t1.apiKeys"),
        ([{"apiKeys": ["k", ""]}], "tenants.t0.apiKeys"),
        ([{"apiKeys": "secret"}], "tenants.t0.apiKeys"),
        ([{"apiKeys": ["secret", 7]}], "tenants.t0.apiKeys"),
        ([{"priority": -1}], "tenants.t0.priority"),
        ([{"ratePerS": -0.5}], "tenants.t0.ratePerS"),
        ([{"burst": -1}], "tenants.t0.burst"),
        ([{"name": "same"}, {"name": "same"}], "tenants.same.name"),
        ([{"name": ""}], "tenants..name"),
        ([{"name": "a\r\nb: c"}], "tenants.a\r\nb: c.name"),
        ([{"name": " a"}], "tenants. a.name"),
        ([{"name": "\u00e9"}], "tenants.\u00e9.name"),
    ],
)
def test_invalid_organisations_are_refused_with_the_field(
    organisations, option
):
    """Guards against keys that identify two, and against values in errors."""
    resources = [
        _organisation(spec.pop("name", f"t{index}"), **spec)
        for index, spec in enumerate(copy.deepcopy(organisations))
    ]
    errors = _decode_with(*resources)
    assert isinstance(errors, ConfigErrors)
    assert [problem.option for problem in errors.problems] == [option]
    assert "secret" not in str(errors)
