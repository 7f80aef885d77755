"""Modules whose state and tasks live as long as one process."""
