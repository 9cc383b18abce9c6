"""The base class of the errors that this package raises."""

from rainhitch.errors import RainhitchError


class NodeError(RainhitchError):
    """Base class of the errors of `rainhitch.node`."""
