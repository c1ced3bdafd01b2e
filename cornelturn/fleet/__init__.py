"""Fleet management: configuration, leases, availability budgets, waves, moves."""

from __future__ import annotations
