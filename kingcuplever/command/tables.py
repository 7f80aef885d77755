"""Formats rows as aligned text tables."""

from collections.abc import Mapping
from collections.abc import Sequence
import json
from typing import Any


def render(rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> str:
    """Return rows as an aligned table with a heading."""
    if not rows:
        return "nothing"
    cells = [[column.upper() for column in columns]]
    for row in rows:
        cells.append(
            [_format_value(row.get(column, "")) for column in columns]
        )
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]
    return "\n".join(lines)


def render_one(row: Mapping[str, Any]) -> str:
    """Return one row as lines of name and value."""
    width = max(len(name) for name in row)
    return "\n".join(
        f"{name.ljust(width)}  {_format_value(value)}"
        for name, value in row.items()
    )


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, (dict, list)):
        return json.dumps(value)
    return str(value)
