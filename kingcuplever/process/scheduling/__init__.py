"""Scheduling decisions: which task runs where, and what must be stopped.

Pure state machines.  Nothing here reads a clock, opens a socket or writes a
log line; callers pass in typed events and the time, and get typed commands.
"""
