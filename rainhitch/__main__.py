"""`python -m rainhitch` runs the router; with arguments it runs a subcommand, loaded only then."""

import signal
import sys


def main() -> int:
    """Runs the router or a subcommand, and returns the exit code."""
    arguments = sys.argv[1:]
    if arguments:
        from rainhitch.cli import run

        return run(arguments)
    # Guards against a SIGHUP during the import of the router, which would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from rainhitch.program import main as run_router

    return run_router()


if __name__ == "__main__":
    sys.exit(main())
