"""What subcommands print: errors, progress and JSON."""

import sys
from typing import Any

ERASE_LINE = "\r\x1b[K"


def print_error(line: str) -> None:
    """Prints a line on standard error, with the program's name."""
    print(f"rainhitch: {line}", file=sys.stderr)


def shows_progress() -> bool:
    """Returns whether standard error is a terminal, where a line of progress may be redrawn."""
    return sys.stderr.isatty()


def draw_progress(line: str) -> None:
    """Draws a line of progress over the one before; an empty one erases it."""
    print(f"{ERASE_LINE}{line}", end="", file=sys.stderr, flush=True)


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    import orjson

    print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
