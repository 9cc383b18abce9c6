"""The records that routers write of each second, and their sums over a fleet."""
