"""Operators' reports in the familiar layout."""

from __future__ import annotations
