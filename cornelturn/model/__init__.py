"""Data classes that every other package shares."""

from __future__ import annotations
