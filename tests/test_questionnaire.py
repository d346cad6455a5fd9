"""The worked examples and the reference are what the code makes."""

from __future__ import annotations

import pathlib

import pytest

from gentianwall.commands import questionnaire as asking
from gentianwall.config.declaration import Declaration, parse_declaration
from gentianwall.config.questionnaire import (
    generate_files,
    parse_answers,
)
from gentianwall.config.reference import render_reference
from gentianwall.config.schema import ConfigErrors
from gentianwall.config.settings import Settings, parse_settings

ROOT = pathlib.Path(__file__).parent.parent
TEAMS = ["mint", "cooperative"]


@pytest.fixture(params=TEAMS)
def folder(request):
    return ROOT / "examples" / request.param


def test_the_committed_files_are_generated_from_the_answers(folder):
    answers = parse_answers((folder / "answers.toml").read_text())
    for name, text in generate_files(answers).files.items():
        assert (folder / name).read_text() == text


def test_everything_generated_passes_its_own_check(folder):
    for path in folder.glob("*.toml"):
        text = path.read_text()
        if path.name == "declaration.toml":
            assert isinstance(parse_declaration(text), Declaration)
        elif path.name != "answers.toml":
            settings = parse_settings(text)
            assert isinstance(settings, Settings), settings
            controls = settings.instances_with_role("control")
            assert len({c.failure_domain for c in controls}) == 3


def _declaration(team):
    text = (ROOT / "examples" / team / "declaration.toml").read_text()
    return parse_declaration(text)


def test_what_the_teams_weigh_shows_in_their_declarations():
    mint, cooperative = map(_declaration, TEAMS)
    assert mint.measuring.silence_ms < cooperative.measuring.silence_ms
    assert mint.measuring.budget_ratio > cooperative.measuring.budget_ratio


def test_patience_is_rewarded(folder):
    tiers = parse_declaration((folder / "declaration.toml").read_text()).tiers
    prices = [t.price for t in sorted(tiers, key=lambda t: t.max_wait_ms)]
    assert prices == sorted(prices, reverse=True)
    assert len(set(prices)) == len(prices)


def test_bad_answers_are_reported_together():
    errors = parse_answers('team = "x"\nweigh = "luck"\nservices = []\n')
    assert isinstance(errors, ConfigErrors)
    text = str(errors)
    assert "weigh" in text and "callers" in text and "instances" in text


def test_answers_can_be_asked_for(monkeypatch, tmp_path):
    replies = iter(
        ["Team", "luck", "tail-latency", "", "0.002"]
        + ["s1", "5", "", "", "", "n"]
        + ["people", "500", "", "n"]
        + ["i1", "127.0.0.1", "a", "y", "n"]
    )
    monkeypatch.setattr("builtins.input", lambda prompt: next(replies))
    paths = asking.run("", str(tmp_path))
    assert not isinstance(paths, ConfigErrors), str(paths)
    assert (tmp_path / "i1-control.toml").exists()


def test_the_reference_is_made_from_the_schema():
    page = ROOT / "docs" / "user-guide" / "configuration.md"
    assert page.read_text() == render_reference()
