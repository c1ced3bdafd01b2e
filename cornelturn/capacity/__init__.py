"""Capacity: how many machines each pool has, and which machines change pools."""
