"""The base class of the project's errors.

Each package derives its own errors from `RainhitchError`, so that callers can catch expected failures without
catching programming errors. A message says what was expected, what was found, and where.
"""


class RainhitchError(Exception):
    """Base class of every error that the project raises deliberately."""
