"""Scheduling decisions: which task runs where, and what must be stopped.

Pure state machines.  Nothing here reads a clock, opens a socket or writes a
log line; typed facts and the time go in, typed commands come out.
"""
