"""Approval of targets for steps: what is known, and what to ask the service about."""
