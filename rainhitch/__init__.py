"""Decisions of a router in front of cache servers that share one slow origin."""
