"""Logging through absl with a fixed prefix for each part."""

from __future__ import annotations

import logging
import sys

from absl import logging as absl_logging


class PartLogger(logging.LoggerAdapter):
    """Puts the name of a part before each message."""

    def process(self, msg, kwargs):  # noqa: D102
        return f"{self.extra['part']}: {msg}", kwargs


def get_logger(part: str) -> PartLogger:
    """Returns the logger of a part, such as `entry` or `replication`."""
    return PartLogger(absl_logging.get_absl_logger(), {"part": part})


def set_up(instance: str, verbose: bool) -> None:
    """Sends log lines to standard error, marked with the instance."""
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(
        logging.Formatter(f"%(asctime)s %(levelname).1s {instance} %(message)s")
    )
    level = absl_logging.DEBUG if verbose else absl_logging.INFO
    absl_logging.set_verbosity(level)
