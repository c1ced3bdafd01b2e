"""Fair shares of a pool among organisations: shares, rates and the start order."""

from __future__ import annotations
