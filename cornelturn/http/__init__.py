"""The callers' and the operators' HTTP borders."""

from __future__ import annotations
