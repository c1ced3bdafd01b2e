"""Benchmarks, run as modules."""

from __future__ import annotations
