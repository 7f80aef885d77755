"""What lasts: records on the platform's log, and how they are kept.

Modules here may use the log's interface and plain data.  They make no
scheduling decision and own no listener.
"""
