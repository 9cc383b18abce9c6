"""`python -m rainhitch` is the router; with arguments it is the command line, loaded only then."""

import sys


def main() -> int:
    """Runs the router, or a subcommand; returns the exit code."""
    arguments = sys.argv[1:]
    if arguments:
        from rainhitch.cli import run

        return run(arguments)
    from rainhitch.program import main as run_router

    return run_router()


if __name__ == "__main__":
    sys.exit(main())
