"""Schedules multi-accelerator jobs under the guarantees of accounts."""

import ctypes.util
from typing import Final

VERSION: Final = "0.1.0"


def _import_trio_without_subprocess() -> None:
    """Import trio without starting a child process.

    On import, trio searches for libpthread, which it uses to name threads;
    the search runs ``ldconfig``.  The hosts forbid child processes.  Without
    the library, threads merely stay unnamed.
    """
    find_library = ctypes.util.find_library
    ctypes.util.find_library = _find_no_library
    try:
        import trio  # noqa: F401
    finally:
        ctypes.util.find_library = find_library


def _find_no_library(name: str) -> str | None:
    """Return ``None``, as the search for a missing library does."""
    return None


_import_trio_without_subprocess()
