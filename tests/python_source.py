"""Reads this project's own modules as syntax trees."""

import ast
import gc
from pathlib import Path


def parsed(path: Path) -> ast.Module:
    """Parses a module while no garbage is collected.

    A finalizer that fails within ast.parse has its traceback formatted there, for which Python 3.11 calls
    ast.parse itself: the outer call then ends with `SystemError: AST constructor recursion depth mismatch`.
    """
    gc.disable()
    try:
        return ast.parse(path.read_text())
    finally:
        gc.enable()
