"""Formats output as plain tables or JSON."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence


def render_table(header: Sequence[str], rows: Iterable[Sequence]) -> str:
    """Renders a table with each column as wide as its widest cell."""
    lines = [list(header)] + [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(line[column]) for line in lines)
        for column in range(len(header))
    ]
    texts = []
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        texts.append("  ".join(cells).rstrip())
    return "\n".join(texts)


def print_output(content: object, text: str, output_format: str) -> None:
    """Prints the content as JSON if the format is `json`, else the text."""
    print(json.dumps(content, indent=2) if output_format == "json" else text)
