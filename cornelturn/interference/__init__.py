"""Interference: filling work that slows down serving work on the same target."""
