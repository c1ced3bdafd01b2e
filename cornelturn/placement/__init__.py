"""Placement: which target a task goes to."""

from __future__ import annotations
