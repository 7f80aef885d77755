"""Ownership of the scheduling: who has it, and what it does meanwhile.

Modules here own tasks, links and the clock; decisions about jobs are in
``scheduling``.
"""
