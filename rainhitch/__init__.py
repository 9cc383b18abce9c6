"""A router in front of cache servers that share one slow origin, and the kit that rehearses its days."""

__version__ = "0.2.0"
