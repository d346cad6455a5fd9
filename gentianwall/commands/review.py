"""Reviews configuration documents and renders the result."""

from __future__ import annotations

import enum
import json
import pathlib
from collections.abc import Callable

import attrs
import cattrs

from gentianwall.config.review import (
    Change,
    Finding,
    Review,
    Severity,
    locate_findings,
    make_findings,
    review_configuration,
)
from gentianwall.config.routes import RouteConfiguration
from gentianwall.config.schema import ConfigErrors, ConfigProblem

Parser = Callable[[bytes], RouteConfiguration | ConfigErrors]


class ReviewExitCode(enum.IntEnum):
    """Exit codes of reviews."""

    NO_WARNINGS = 0
    WARNINGS = 1
    ERRORS = 2


@attrs.frozen
class InForce:
    """A configuration document to compare with.

    Attributes:
        origin: Prefix of the options in findings about this document.
        document: The document, or why it cannot be read.
    """

    origin: str
    document: bytes | ConfigErrors


def read_document(path: str) -> bytes | ConfigErrors:
    """Reads a configuration document."""
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        return ConfigErrors((ConfigProblem(path, str(error.strerror)),))


def review_document(
    document: bytes | ConfigErrors,
    parse: Parser,
    in_force: InForce | None = None,
    find_line: Callable[[str], int] | None = None,
) -> Review:
    """Reviews a document and compares it with the one in force, if given.

    Args:
        document: The document, or why it cannot be read.
        parse: Parses and checks a document as control instances do.
        in_force: The document to compare it with, if any.
        find_line: Returns the line that sets an option of the document, or 0;
            None if the lines are unknown.
    """
    configuration = _parse(document, parse)
    if isinstance(configuration, ConfigErrors):
        return Review(None, findings=make_findings(configuration))
    compared = None
    unusable: tuple[Finding, ...] = ()
    if in_force is not None:
        compared = _parse(in_force.document, parse)
        if isinstance(compared, ConfigErrors):
            # The lines and options are those of another document.
            unusable = make_findings(compared, f"{in_force.origin}: ")
            compared = None
    review = review_configuration(configuration, compared)
    if find_line is not None:
        review = locate_findings(review, find_line)
    return attrs.evolve(review, findings=unusable + review.findings)


def _parse(
    document: bytes | ConfigErrors, parse: Parser
) -> RouteConfiguration | ConfigErrors:
    return document if isinstance(document, ConfigErrors) else parse(document)


def exit_code(review: Review) -> ReviewExitCode:
    """Returns the exit code of a review."""
    if review.has(Severity.ERROR):
        return ReviewExitCode.ERRORS
    if review.has(Severity.WARNING):
        return ReviewExitCode.WARNINGS
    return ReviewExitCode.NO_WARNINGS


def describe_review(review: Review) -> dict:
    """Returns the content of a review for output as JSON."""
    return cattrs.unstructure(review)


def render_review(review: Review) -> str:
    """Renders a review as text, with one line for each finding and field."""
    lines = [_render_finding(finding) for finding in review.findings]
    if review.number_in_force is not None:
        lines.append(
            f"changes from number {review.number_in_force} to {review.number}:"
        )
        for change in review.changes:
            lines += _render_change(change)
        if not review.changes:
            lines.append("  none")
    return "\n".join([*lines, _verdict(review)])


def _verdict(review: Review) -> str:
    if review.number is None:
        return "invalid"
    if review.has(Severity.ERROR):
        return "valid, with errors in the comparison"
    if review.has(Severity.WARNING):
        return "valid, with warnings"
    return "valid"


def _render_finding(finding: Finding) -> str:
    problem = ConfigProblem(finding.option, finding.reason, finding.line)
    return f"{finding.severity.value}: {problem}"


def _render_change(change: Change) -> list[str]:
    lines = [f"  {change.kind.value} {change.part}"]
    for field in change.fields:
        old, new = json.dumps(field.old), json.dumps(field.new)
        lines.append(f"    {field.field}: {old} -> {new}")
    if change.keys_added or change.keys_removed:
        lines.append(
            f"    keys: {change.keys_added} added, "
            f"{change.keys_removed} removed"
        )
    return lines
