"""Scheduling decisions of the dispatcher of a pool, free of I/O.

Kept apart from sockets and message encoding so that any front end can use them.
"""

from __future__ import annotations
