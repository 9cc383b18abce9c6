"""The errors of this package."""

from rainhitch.errors import RainhitchError


class AdminError(RainhitchError):
    """An operator's command that can't be carried out, or state on disk that can't be used."""


class CommandRejectedError(AdminError):
    """A command was not carried out; the text is the reply to the operator."""


class CordonError(AdminError, ValueError):
    """A set of cordoned servers that can't be read, or has too many members."""
