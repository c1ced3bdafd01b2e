"""Decides at the entry that a caller reached whether a job is accepted."""
