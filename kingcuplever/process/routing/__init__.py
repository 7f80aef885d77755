"""The requests' path: members, targets, keys, limits, and where requests go.

Decisions touch plain data and time that is handed in; one task drives them.
"""
