"""Data classes and decoding that the other packages share."""

from __future__ import annotations
