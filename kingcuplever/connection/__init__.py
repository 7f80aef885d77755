"""Connections to peers and to systems of the platform, and their formats."""
