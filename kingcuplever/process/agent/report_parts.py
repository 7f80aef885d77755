"""Splits a side's report into parts that each fit into a frame.

Each part is true without the others: the owner takes what a part lists, and
concludes nothing from what it lacks while further parts follow.
"""

from collections.abc import Iterator

from kingcuplever.connection import frames
from kingcuplever import messages

Row = messages.EndedRow | messages.RefusedRow | messages.RunningRow


def split_report(
    report: messages.WorkerReport,
) -> list[messages.WorkerReport]:
    """Return the parts of a report, those with its ends first.

    An ended worker is dropped with the first report of its end, so there is
    one part with as many of its runs as fit.
    """
    if report.gone:
        runs = frames.take_rows(report.running, frames.MAX_LIST_BYTES)
        return [report._replace(running=runs)]
    rows: list[Row] = [*report.ended, *report.refused, *report.running]
    parts = [_make_part(report, part) for part in _split_rows(rows)]
    return [part._replace(more=True) for part in parts[:-1]] + parts[-1:]


def _split_rows(rows: list[Row]) -> Iterator[list[Row]]:
    """Split rows into lists within the bound; one at least, if empty."""
    part: list[Row] = []
    left_bytes = frames.MAX_LIST_BYTES
    for row in rows:
        row_bytes = frames.bound_row_bytes(row)
        if part and row_bytes > left_bytes:
            yield part
            part, left_bytes = [], frames.MAX_LIST_BYTES
        part.append(row)
        left_bytes -= row_bytes
    yield part


def _make_part(
    report: messages.WorkerReport, rows: list[Row]
) -> messages.WorkerReport:
    """Return the report with these rows only."""
    return report._replace(
        running=tuple(r for r in rows if isinstance(r, messages.RunningRow)),
        ended=tuple(r for r in rows if isinstance(r, messages.EndedRow)),
        refused=tuple(r for r in rows if isinstance(r, messages.RefusedRow)),
    )
