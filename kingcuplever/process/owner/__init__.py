"""The owner of the scheduling: its election and the tasks of its term.

Modules here run tasks, hold connections and read the clock; decisions about
jobs are made in ``scheduling``, without any of these.
"""
