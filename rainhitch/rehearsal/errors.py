"""The error of a rehearsal that can't be made or did not come to its end."""

from rainhitch.errors import RainhitchError


class RehearsalError(RainhitchError):
    """A run can't be made as asked; one line says why."""
