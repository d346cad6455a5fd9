"""Tests that declarations are checked and all their problems reported."""

from __future__ import annotations

from gentianwall.config.declaration import Declaration, parse_declaration
from gentianwall.config.schema import ConfigErrors

VALID_DECLARATION = """
[[tiers]]
name = "soon"
max_wait_ms = 100
price = 2

[[tiers]]
name = "later"
max_wait_ms = 1000
price = 1

[services.stampa]
"""


def test_a_valid_declaration_is_accepted():
    declaration = parse_declaration(VALID_DECLARATION)
    assert isinstance(declaration, Declaration)
    assert declaration.services["stampa"].max_queued_calls == 256


def test_all_problems_are_reported_at_once_with_option_and_line():
    text = VALID_DECLARATION + 'max_queud_calls = 3\nserver_lease_ms = "x"\n'
    errors = parse_declaration(text)
    assert isinstance(errors, ConfigErrors)
    texts = [str(problem) for problem in errors.problems]
    assert any("did you mean 'max_queued_calls'" in text for text in texts)
    assert any("must be of type int" in text for text in texts)
    lines = text.splitlines()
    for problem in errors.problems:
        assert problem.option.split(".")[-1] in lines[problem.line - 1]


def test_a_tier_with_a_longer_wait_may_not_cost_more():
    errors = parse_declaration(
        VALID_DECLARATION.replace("price = 1", "price = 3")
    )
    assert isinstance(errors, ConfigErrors)
    assert "pays more" in str(errors)


def test_invalid_toml_is_an_error():
    assert isinstance(parse_declaration("tiers = ["), ConfigErrors)
