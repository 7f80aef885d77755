"""Routing of callers' requests: members, targets, idempotency keys and limits.

Decisions are made by state machines over plain data that take the time as an
argument and do no I/O; one task per entry drives the router.
"""
