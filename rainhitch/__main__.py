"""`python -m rainhitch` is the router; with arguments it is the command line, loaded only then."""

import sys


def main() -> int:
    """Runs the router, or a subcommand; gives the exit code."""
    if len(sys.argv) > 1:
        from rainhitch.cli import run

        return run(sys.argv[1:])
    from rainhitch.program import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
