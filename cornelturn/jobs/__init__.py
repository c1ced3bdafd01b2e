"""Jobs: what callers hand in, and how far each has got."""

from __future__ import annotations
