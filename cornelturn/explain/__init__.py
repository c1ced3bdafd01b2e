"""Analysis of the logs of several entries: outcomes of jobs, figures of a fleet."""
