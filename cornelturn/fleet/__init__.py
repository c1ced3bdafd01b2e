"""Configuration, leases, availability budgets, maintenance and moves."""

from __future__ import annotations
