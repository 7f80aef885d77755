"""Checks the control requests by which tests set a stand-in's faults."""

from typing import Any

from kingcuplever import errors


def check_names(changes: dict[str, Any], *known: str) -> None:
    """Check that a stand-in knows every name of a control request.

    A fault with a misspelled name would never come, and its test would pass
    without it.

    :raises errors.InvalidRequest: naming those that it does not know.
    """
    unknown = sorted({*changes} - {*known})
    if unknown:
        raise errors.InvalidRequest(
            f"Unknown control {', '.join(unknown)}; send {', '.join(known)}."
        )
