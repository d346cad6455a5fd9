"""Tests for the review of route configurations before they are sent."""

from __future__ import annotations

import json

import attrs
import pytest

from gentianwall.commands import routes as routes_command
from gentianwall.commands.review import (
    describe_review,
    exit_code,
    render_review,
)
from gentianwall.config.review import Severity, review_configuration
from gentianwall.config.route_file import parse_route_file
from gentianwall.ctl.client import Reply, Unreachable
from gentianwall.platform import check
from gentianwall.platform.configurations import to_wire_option

VALID = """
number = 7
[services.desk]
[routes.orders]
host = "shop.example"
path_prefix = "/orders/"
kind = "safe"
timeout_ms = 2000
target_ms = 500
targets = { desk = 1 }
[organisations.acme]
keys = ["key-one", "key-two"]
rate_per_s = 20
burst = 20
"""
OTHER_ROUTE = """
[routes.other]
host = "SHOP.example"
path_prefix = "/orders/"
kind = "safe"
timeout_ms = 1
targets = { desk = 1 }
"""
PLATFORM_DOCUMENT = {
    "version": "r7",
    "resources": [
        {"type": "services", "metadata": {"name": "desk"}, "spec": {}},
        {
            "type": "routes",
            "metadata": {"name": "orders"},
            "spec": {
                "routeType": "safe",
                "host": "shop.example",
                "pathPrefix": "/",
                "service": "desk",
            },
        },
    ],
}


def _parse(text):
    return parse_route_file(text.encode())


def _findings(text):
    review = review_configuration(_parse(text))
    return [(f.severity, f.option, f.reason) for f in review.findings]


def test_a_configuration_without_contradictions_has_no_findings():
    """Guards against warnings that operators would learn to ignore."""
    assert _findings(VALID) == []


@pytest.mark.parametrize(
    ("old", "new", "option", "reason"),
    [
        ("", OTHER_ROUTE, "routes.other", "'orders' has the same host"),
        ("", "[services.b]", "services.b", "no route"),
        ("", "[organisations.b]", "organisations.b.keys", "no keys"),
        ("key-two", "key-one", "organisations.acme.keys", "twice"),
        ("= 500", "= 2001", "routes.orders.target_ms", "above the timeout"),
        ("rate_per_s = 20", "", "organisations.acme.burst", "no effect"),
        ("burst = 20", "burst = 19", "organisations.acme.burst", "one second"),
        (
            "[services.desk]",
            "[services.desk]\nwarmup_per_s = 1",
            "services.desk.warmup_per_s",
            "without a warm-up time",
        ),
        (
            "{ desk = 1 }\n",
            "{ desk = 0, b = 0 }\n[services.b]\n",
            "routes.orders.targets",
            "all weights are 0",
        ),
        (
            "",
            "[limits]\nidle_timeout_ms = 2999",
            "limits.idle_timeout_ms",
            "below the header timeout",
        ),
    ],
)
def test_each_part_without_effect_gives_one_warning(old, new, option, reason):
    """Guards against a contradiction that is missed or reported elsewhere."""
    text = VALID.replace(old, new) if old else VALID + new
    [(severity, found_option, found_reason)] = _findings(text)
    assert (severity, found_option) == (Severity.WARNING, option)
    assert reason in found_reason


def test_values_at_the_bounds_and_a_single_target_of_weight_0_are_fine():
    """Guards against warnings for parts that have an effect."""
    text = VALID.replace("= 500", "= 2000").replace("desk = 1", "desk = 0")
    cold = "[services.desk]\nwarmup_per_s = 1\nwarmup_ms = 1"
    text = text.replace("[services.desk]", cold)
    assert _findings(text + "[limits]\nidle_timeout_ms = 3000") == []
    public = VALID.replace("target_ms = 500", "public = true")
    assert _findings(public.partition("[organisations")[0]) == []


def test_public_routes_are_named_but_do_not_change_the_exit_code():
    """Guards against scripts that fail because of an intended public route."""
    text = VALID.replace("target_ms = 500", "public = true")
    review = review_configuration(_parse(text))
    [finding] = review.findings
    assert finding.option == "routes.orders.public"
    assert finding.severity is Severity.INFORMATION
    assert exit_code(review) == 0


def test_changes_show_values_but_of_keys_only_their_number():
    """Guards against keys or digests in what operators see of a change."""
    new = VALID.replace("= 7", "= 8").replace(
        "timeout_ms = 2", "timeout_ms = 3"
    )
    new = new.replace('["key-one", "key-two"]', '["key-one", "a", "b"]')
    new = new.replace("desk", "till") + "[limits]\nbody_bytes = 9\n"
    old, new = _parse(VALID), _parse(new)
    text = render_review(review_configuration(new, old))
    assert text.splitlines() == [
        "changes from number 7 to 8:",
        "  changed routes.orders",
        "    timeout_ms: 2000.0 -> 3000.0",
        '    targets: "desk = 1.0" -> "till = 1.0"',
        "  removed services.desk",
        "  changed organisations.acme",
        "    keys: 2 added, 1 removed",
        "  changed limits",
        "    body_bytes: 67108864 -> 9",
        "  added services.till",
        "valid",
    ]
    shown = f"{describe_review(review_configuration(new, old))}"
    assert "key-" not in shown
    assert old.organisations[0].key_digests[0].hex() not in shown


@pytest.mark.parametrize(("number", "code"), [(6, 2), (7, 2), (8, 0)])
def test_the_number_must_be_above_the_one_in_force(number, code):
    """Guards against a file that passes the check and is not put in force."""
    new = attrs.evolve(_parse(VALID), number=number)
    assert exit_code(review_configuration(new, _parse(VALID))) == code


def test_findings_have_lines_and_errors_are_those_of_the_parser(tmp_path):
    """Guards against a check that decides otherwise than control instances."""
    path = tmp_path / "routes.toml"
    path.write_text(VALID.replace("burst = 20", ""))
    [finding] = routes_command.review_routes(str(path)).findings
    assert finding.line == 11
    path.write_text(VALID.replace("desk = 1", "missing = 1"))
    review = routes_command.review_routes(str(path))
    [problem] = parse_route_file(path.read_bytes()).problems
    assert review.findings[0].reason == problem.reason
    assert review.findings[0].line == problem.line == 10
    assert exit_code(review) == 2


@attrs.frozen
class StubClient:
    """Returns the same reply to each request."""

    reply: Reply | Unreachable

    def get(self, path):
        return self.reply


@pytest.mark.parametrize(
    ("reply", "code"),
    [
        (Reply(200, {"number": 6, "document": VALID.replace("7", "6")}), 0),
        (Reply(200, {"number": 7, "document": VALID}), 2),
        (Reply(503, {"title": "no leader"}), 2),
        (Unreachable("connection refused"), 2),
    ],
)
def test_what_cannot_be_compared_is_an_error(tmp_path, reply, code):
    """Guards against exit code 0 although nothing was compared."""
    path = tmp_path / "routes.toml"
    path.write_text(VALID)
    review = routes_command.review_routes(str(path), "", StubClient(reply))
    assert exit_code(review) == code


def test_documents_of_the_platform_are_reviewed_with_their_names(
    tmp_path, capsys
):
    """Guards against option names that the document does not contain."""
    old, new = tmp_path / "old.json", tmp_path / "new.json"
    old.write_text(json.dumps(PLATFORM_DOCUMENT))
    tenant = {"type": "tenants", "metadata": {"name": "acme"}, "spec": {}}
    resources = [*PLATFORM_DOCUMENT["resources"], tenant]
    new.write_text(json.dumps({"version": "r8", "resources": resources}))
    arguments = ["check", str(new), "--against", str(old), "--format", "json"]
    assert check.run(arguments) == 1
    content = json.loads(capsys.readouterr().out)
    assert [f["option"] for f in content["findings"]] == [
        "tenants.acme.apiKeys"
    ]
    assert [c["part"] for c in content["changes"]] == ["tenants.acme"]
    assert check.run(["check", str(old)]) == 0
    assert check.run(["check", str(old), "--unknown"]) == 2
    assert to_wire_option("services.keys") == "services.keys"
