"""Targets of uneven speed: estimates, placement by them, and copies of tasks."""
