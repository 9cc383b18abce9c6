"""The errors of the command line."""

from collections.abc import Iterator
from contextlib import contextmanager

from rainhitch.errors import RainhitchError


class InputError(RainhitchError, ValueError):
    """What was given makes no sense; each line says one thing that is wrong. `cli.run` prints them."""

    def __init__(self, *lines: str) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


@contextmanager
def requires_rehearsal_extra() -> Iterator[None]:
    """Turns the lack of a module that only the kit needs into the advice to install it.

    Stands round the whole subcommand, since the kit imports some modules only when it needs them.

    Raises:
        InputError: A module is missing.
    """
    try:
        yield
    except ModuleNotFoundError as problem:
        raise InputError(f"{problem.name} is missing: install rainhitch[rehearsal]") from None
