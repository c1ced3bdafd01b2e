"""The adapter to the users' platform: their wire, settings and headers."""

from __future__ import annotations
