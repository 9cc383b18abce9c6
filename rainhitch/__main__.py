"""`python -m rainhitch` runs the router; with arguments it runs a subcommand, loaded only then."""

import sys


def main() -> int:
    """Runs the router or a subcommand, and returns the exit code."""
    arguments = sys.argv[1:]
    if arguments:
        from rainhitch.cli import run

        return run(arguments)
    from rainhitch.program import main as run_router

    return run_router()


if __name__ == "__main__":
    sys.exit(main())
