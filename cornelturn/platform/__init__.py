"""Adapter to the users' platform: its wire formats, settings file and headers."""

from __future__ import annotations
