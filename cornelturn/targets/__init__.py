"""Sessions with targets: their orders, leases and reports."""

from __future__ import annotations
