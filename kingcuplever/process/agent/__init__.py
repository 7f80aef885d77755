"""The agent beside a worker: registrations, task lists, leases, orders.

Modules here may call the worker and connect to the owner; they make no
decisions about jobs.
"""
