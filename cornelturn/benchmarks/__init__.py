"""Benchmarks of processor time, throughput and memory; each module is a command."""

from __future__ import annotations
