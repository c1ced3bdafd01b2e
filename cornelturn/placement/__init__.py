"""Placement: the choice of a target for a task."""

from __future__ import annotations
