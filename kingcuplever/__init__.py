"""kingcuplever: schedules multi-accelerator jobs under guarantees."""

import ctypes.util
from typing import Final

VERSION: Final = "0.1.0"


def _import_trio_without_children() -> None:
    """Import trio so that it starts no other process.

    To name its threads, trio looks libpthread up while it is imported, and
    the look-up runs ``ldconfig``.  Hosts forbid that a process starts
    another; without the library, threads merely stay unnamed.
    """
    look_up = ctypes.util.find_library
    ctypes.util.find_library = _find_nothing
    try:
        import trio  # noqa: F401
    finally:
        ctypes.util.find_library = look_up


def _find_nothing(name: str) -> str | None:
    """Stand in for the look-up of libraries."""
    return None


_import_trio_without_children()
