"""The command line: subcommands, each loaded only when it is called.

A subcommand's module has `add_arguments(parser)`, a frozen dataclass of its arguments that one function reads
from argparse's namespace, and `run(namespace)`, which returns one of `rainhitch.cli.exit_codes`.
"""

import argparse
import importlib
import os
import sys
from collections.abc import Sequence
from typing import NamedTuple

from rainhitch import __version__
from rainhitch.cli.errors import InputError
from rainhitch.cli.exit_codes import BAD_INPUT, SUCCESS
from rainhitch.cli.output import print_error


class Subcommand(NamedTuple):
    """A subcommand: its module, and what the help says of it."""

    module: str
    help_text: str


SUBCOMMANDS = {
    "rehearse": Subcommand(
        "rainhitch.cli.rehearse", "run a scenario with real routers and fakes of the systems around them"
    ),
    "explore": Subcommand(
        "rainhitch.cli.explore", "run drawn scenarios in virtual time, and keep those that break something"
    ),
    "members": Subcommand(
        "rainhitch.cli.members",
        "the list of servers in etcd: show it, watch it, drain, retire, restore, put",
    ),
    "fleet": Subcommand(
        "rainhitch.cli.fleet", "what each router believes of the others and shares with them, side by side"
    ),
    "logs": Subcommand("rainhitch.cli.logs", "add up the logs of a fleet's routers, or follow one request"),
    "schema": Subcommand("rainhitch.cli.schema", "the JSON Schema of a file that operators write"),
    "plan": Subcommand("rainhitch.cli.plan", "forecast what a change of the list would move and cost"),
}


def run(arguments: Sequence[str]) -> int:
    """Runs the subcommand that the arguments name; returns the exit code."""
    parser = argparse.ArgumentParser(
        prog="rainhitch",
        description="A router in front of cache servers that share one slow origin. "
        "Without arguments it is the router, configured by BALANCER_CONFIG.",
    )
    parser.add_argument("--version", action="version", version=f"rainhitch {__version__}")
    subparsers = parser.add_subparsers(dest="command", metavar="COMMAND")
    for name, subcommand in SUBCOMMANDS.items():
        is_called = name == arguments[0]
        subparser = subparsers.add_parser(name, help=subcommand.help_text, add_help=not is_called)
        if is_called:
            subparser.add_argument("-h", "--help", action="help", help="show this help")
            importlib.import_module(subcommand.module).add_arguments(subparser)
    namespace = parser.parse_args(arguments)
    if namespace.command is None:
        parser.print_help()
        return BAD_INPUT
    module = importlib.import_module(SUBCOMMANDS[namespace.command].module)
    try:
        exit_code = int(module.run(namespace))
        sys.stdout.flush()
    except InputError as problem:
        for line in problem.lines:
            print_error(line)
        return BAD_INPUT
    except BrokenPipeError:
        # The reader of the output has read enough. Without this the interpreter's own flush at its end fails.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return SUCCESS
    return exit_code
