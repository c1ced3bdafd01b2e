"""Explains from the logs of several entries what became of a job."""
