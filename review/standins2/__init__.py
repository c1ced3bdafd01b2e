"""Stand-ins and helpers of the scripted cases of the second review."""
