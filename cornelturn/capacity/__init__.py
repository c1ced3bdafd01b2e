"""How many machines each pool holds, and which machines change their pool."""
