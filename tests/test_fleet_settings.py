"""Tests that settings of a fleet process are validated and reloaded."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from gentianwall.commands.fleet import SettingsWatcher
from gentianwall.config.fleet import FleetSettings, load_fleet_settings
from gentianwall.config.schema import ConfigErrors

OPTIONS = {
    "name": '"e"',
    "role": '"entry"',
    "failure_domain": '"z"',
    "host": '"10.0.0.1"',
    "link_port": "7002",
    "control_link_port": "7001",
    "seeds": '["10.0.0.2:8000", "10.0.0.3:8000"]',
    "callers_address": '"10.0.0.1:8080"',
    "readiness_address": '"10.0.0.1:8081"',
}


def _write(path, **changes):
    lines = {**OPTIONS, **changes}
    text = "".join(f"{k} = {v}\n" for k, v in lines.items() if v is not None)
    path.write_text(text)
    return str(path)


@pytest.fixture
def file(tmp_path):
    """Path of the settings file."""
    return tmp_path / "settings.toml"


def test_link_addresses_are_derived_from_host_and_seeds(file):
    settings = load_fleet_settings(_write(file, disks_lost_at_once="2"))
    assert isinstance(settings, FleetSettings)
    assert settings.link_address == "10.0.0.1:7002"
    assert settings.seed_link_addresses == ("10.0.0.2:7001", "10.0.0.3:7001")
    assert settings.target_voters == 5


@pytest.mark.parametrize(
    ("change", "option"),
    [
        ({"role": '"both"'}, "role"),
        ({"seeds": '["nowhere"]'}, "seeds[0]"),
        ({"callers_address": None}, "callers_address"),
        ({"link_port": "70000"}, "link_port"),
        ({"role": '"control"'}, "control_address"),
        ({"surprise": "1"}, "surprise"),
        ({"overload_policy": '"all"'}, "overload_policy"),
    ],
)
def test_an_invalid_or_missing_option_is_named_in_the_errors(
    file, change, option
):
    errors = load_fleet_settings(_write(file, **change))
    assert isinstance(errors, ConfigErrors)
    assert option in [problem.option for problem in errors.problems]


def test_a_changed_file_is_applied_once_without_a_signal(file):
    path = _write(file)
    applied = []
    watcher = SettingsWatcher(path, load_fleet_settings(path), applied.append)
    watcher.check()
    assert applied == []
    _write(file, seeds='["10.0.0.9:8000"]')
    os.utime(file, ns=(1, 1))
    watcher.check()
    watcher.check()
    assert [settings.seeds for settings in applied] == [("10.0.0.9:8000",)]


def test_an_invalid_or_missing_file_changes_nothing(file):
    path = _write(file)
    applied = []
    watcher = SettingsWatcher(path, load_fleet_settings(path), applied.append)
    file.write_text("seeds = [")
    watcher.read()
    assert applied == []
    file.unlink()
    watcher.check()
    assert applied == []


def test_only_processes_that_reload_ignore_the_reload_signal():
    program = (
        "import signal; signal.signal(signal.SIGHUP, signal.SIG_DFL);"
        "import gentianwall.__main__;"
        "print(signal.getsignal(signal.SIGHUP) is signal.SIG_DFL)"
    )
    command = [sys.executable, "-c", program]
    assert subprocess.check_output(command).strip() == b"True"
