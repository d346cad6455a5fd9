"""Plain tables and JSON for the operators' screen."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence


def render_table(head: Sequence[str], rows: Iterable[Sequence]) -> str:
    """Returns a table with columns as wide as their cells."""
    lines = [list(head)] + [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(head))
    ]
    texts = []
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        texts.append("  ".join(cells).rstrip())
    return "\n".join(texts)


def show(content: object, text: str, style: str) -> None:
    """Prints content as JSON, or the text made of it."""
    print(json.dumps(content, indent=2) if style == "json" else text)
