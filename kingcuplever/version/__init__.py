"""Modules whose state lives as long as one configuration version."""
