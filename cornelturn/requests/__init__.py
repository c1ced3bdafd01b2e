"""The front: attempts, claims and durable requests."""

from __future__ import annotations
