"""The inner protocol between entries: messages, codec, sockets and membership."""

from __future__ import annotations
