"""A router in front of cache servers that share one slow origin, and a kit that rehearses its failures."""

__version__ = "0.2.0"
