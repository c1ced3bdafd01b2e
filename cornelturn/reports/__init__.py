"""Reports for operators: their contents, page layout and output formats."""

from __future__ import annotations
