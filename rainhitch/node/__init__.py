"""The router on real sockets.

What is called a node in `rehearsal/` is a cache server, and is not here.
"""
