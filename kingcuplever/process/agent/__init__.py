"""What runs beside a worker: its registrations, lists, leases and orders.

Modules here may call the worker and dial the owner; they decide nothing
about jobs.
"""
