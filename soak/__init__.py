"""Soak test: seeded random faults on real processes."""
