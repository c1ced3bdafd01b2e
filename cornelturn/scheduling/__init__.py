"""Scheduling of the tasks of one pool by its owner."""

from __future__ import annotations
