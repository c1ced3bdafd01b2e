"""Placement of tasks near their data, and of steps on one rack."""
