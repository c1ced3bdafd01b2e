"""Fleet capacity and maintenance manager."""

from __future__ import annotations

__version__ = "0.1.0"
