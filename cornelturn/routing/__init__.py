"""Decisions of the dispatcher: pure classes without sockets."""

from __future__ import annotations
