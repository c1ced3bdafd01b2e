"""Sessions to targets: orders, leases and what runs there."""

from __future__ import annotations
