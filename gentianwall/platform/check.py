"""Checks a configuration document of the platform without sending it."""

from __future__ import annotations

from typing import Annotated, Literal

import attrs
import cyclopts

from gentianwall.commands import review as review_command
from gentianwall.config.review import Review
from gentianwall.ctl.tables import print_output
from gentianwall.platform.configurations import (
    decode_configuration,
    to_wire_option,
)

app = cyclopts.App(name="python3 -m gentianwall.platform")


@app.command
def check(
    path: str,
    *,
    against: Annotated[
        str, cyclopts.Parameter(help="Document to compare it with.")
    ] = "",
    format: Annotated[
        Literal["text", "json"], cyclopts.Parameter(help="Output format.")
    ] = "text",
) -> int:
    """Checks a configuration document without sending it.

    Exit codes: 0 valid without warnings, 1 valid with warnings, 2 errors.
    """
    in_force = None
    if against:
        document = review_command.read_document(against)
        in_force = review_command.InForce("(against)", document)
    review = _with_wire_names(
        review_command.review_document(
            review_command.read_document(path), decode_configuration, in_force
        )
    )
    print_output(
        review_command.describe_review(review),
        review_command.render_review(review),
        format,
    )
    return review_command.exit_code(review)


def _with_wire_names(review: Review) -> Review:
    """Names options of findings and parts of changes as in the document.

    Fields of changes keep the product's names, whose units their values have.
    """
    return attrs.evolve(
        review,
        findings=tuple(
            attrs.evolve(finding, option=to_wire_option(finding.option))
            for finding in review.findings
        ),
        changes=tuple(
            attrs.evolve(change, part=to_wire_option(change.part))
            for change in review.changes
        ),
    )


def run(arguments: list[str]) -> int:
    """Runs the command that the arguments name; returns its exit code."""
    try:
        return app(arguments, result_action="return_value", exit_on_error=False)
    except cyclopts.CycloptsError:
        # Cyclopts has printed the error. Its exit code 1 would stand for a
        # valid document with warnings.
        return review_command.ReviewExitCode.ERRORS
