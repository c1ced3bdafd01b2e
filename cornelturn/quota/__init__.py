"""Limits of what an organisation has running in all pools together."""
