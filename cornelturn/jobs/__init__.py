"""Jobs: their model, progress and rows, and how callers submit and query them."""

from __future__ import annotations
