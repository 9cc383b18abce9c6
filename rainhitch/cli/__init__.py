"""The command line: subcommands, each loaded only when it is called."""

import argparse
import importlib
import os
import sys
from collections.abc import Sequence

from rainhitch import __version__

# name: the module that holds `fill(parser)` and `run(arguments) -> exit code`, and what it is for
COMMANDS = {
    "rehearse": ("rainhitch.cli.rehearse", "play a day with real routers in a world of stand-ins"),
    "explore": ("rainhitch.cli.explore", "draw days in virtual time, and keep those that break something"),
    "members": (
        "rainhitch.cli.members",
        "the list of servers in etcd: show it, watch it, drain, retire, restore, put",
    ),
    "fleet": ("rainhitch.cli.fleet", "what each router believes of the others and shares, side by side"),
    "logs": ("rainhitch.cli.logs", "add up what a fleet's routers wrote down, or follow one request"),
    "schema": ("rainhitch.cli.schema", "the JSON Schema of a file that operators write"),
    "plan": ("rainhitch.cli.plan", "what a change of the list would move and cost, told ahead"),
}


BAD_INPUT, INTERRUPTED = 2, 130  # exit codes


def bad(line: str) -> int:
    """Says in a line what is wrong with the input; gives the exit code."""
    print(f"rainhitch: {line}", file=sys.stderr)
    return BAD_INPUT


def run(words: Sequence[str]) -> int:
    """Runs what the words say; gives the exit code."""
    parser = argparse.ArgumentParser(
        prog="rainhitch",
        description="A router in front of cache servers that share one slow origin. "
        "Without arguments it is the router, configured by BALANCER_CONFIG.",
    )
    parser.add_argument("--version", action="version", version=f"rainhitch {__version__}")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    for name, (module, help_text) in COMMANDS.items():
        under = commands.add_parser(name, help=help_text, add_help=name != words[0])
        if name == words[0]:
            under = commands.choices[name]
            under.add_argument("-h", "--help", action="help", help="show this help")
            importlib.import_module(module).fill(under)
    told = parser.parse_args(words)
    if told.command is None:
        parser.print_help()
        return 2
    try:
        code = int(importlib.import_module(COMMANDS[told.command][0]).run(told))
        sys.stdout.flush()
        return code
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())  # who read it has read enough
        return 0
