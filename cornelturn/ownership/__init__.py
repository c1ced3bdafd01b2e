"""Ownership: which entry schedules a pool or keeps a duty."""

from __future__ import annotations
