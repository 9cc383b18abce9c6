"""The I/O layer of the router: client and server connections, timers, discovery and shutdown.

The nodes that `rehearsal/` refers to are cache servers; they are not part of this package.
"""
