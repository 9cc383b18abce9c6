"""The root of the package's errors.

Each package derives its own small hierarchy from `RainhitchError`, so that a caller may catch what the
project raises on purpose without catching faults of the program. A message says what was expected, what came,
and where.
"""


class RainhitchError(Exception):
    """Base of every error that the project raises on purpose."""
