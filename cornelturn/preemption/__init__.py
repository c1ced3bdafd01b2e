"""Stops of runs whose capacity urgent work needs."""
