"""Requests of callers: attempts at targets, claims of starts, and durable requests."""

from __future__ import annotations
