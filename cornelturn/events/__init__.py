"""Log lines, metrics, mailboxes of tasks, and measurement of the event loop."""

from __future__ import annotations
