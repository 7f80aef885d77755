"""Scheduler for multi-accelerator jobs under client account guarantees."""

from typing import Final

VERSION: Final = "0.1.0"
