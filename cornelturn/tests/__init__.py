"""Tests of the package."""

from __future__ import annotations
