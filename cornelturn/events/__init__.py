"""Events: log lines, mailboxes and metrics."""

from __future__ import annotations
