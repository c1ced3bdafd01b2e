"""Validated models of the settings file and the configuration, read from YAML."""

from __future__ import annotations
