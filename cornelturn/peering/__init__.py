"""The inner protocol: messages, codec, sockets and membership."""

from __future__ import annotations
