"""Shared parts of the review's cases."""
