"""The fault soak: random faults on real processes, by seed."""
