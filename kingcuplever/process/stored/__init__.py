"""Persistence: records on the platform's log, and how they are written.

Modules here use the log's interface and plain data only.  They make no
scheduling decisions and serve no connections.
"""
