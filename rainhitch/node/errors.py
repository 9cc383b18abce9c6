"""The errors that the router on sockets raises on purpose."""

from rainhitch.errors import RainhitchError


class NodeError(RainhitchError):
    """Base of the errors of `rainhitch.node`."""
