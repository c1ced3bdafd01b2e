"""The entry process: its tasks and how they are wired."""

from __future__ import annotations
